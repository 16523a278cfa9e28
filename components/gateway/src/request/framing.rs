//! How an endpoint marks the end of a response's body.

use derive_more::Display;
use hyper::{header, http::response};

/// What marks the end of a body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Framing {
    /// The length that the headers announce.
    #[display("length")]
    Length,
    /// The last chunk.
    #[display("chunks")]
    Chunks,
    /// The end of the connection, which looks the same if the endpoint broke the response off.
    #[display("close")]
    Close,
}

impl Framing {
    /// Returns the framing of a response that has a body.
    pub fn of(head: &response::Parts) -> Self {
        match &head.headers {
            headers if headers.contains_key(header::TRANSFER_ENCODING) => Self::Chunks,
            headers if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            _ => Self::Close,
        }
    }
}
