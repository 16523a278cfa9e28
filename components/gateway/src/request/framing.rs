//! How an endpoint marks the end of a response's body.

use derive_more::Display;
use hyper::{
    header::{self, HeaderValue},
    http::response,
};

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
    /// Returns the framing of a response that has a body; `None` if its headers contradict each other or name a transfer
    /// coding other than chunks. Readers disagree on where such a body ends ([RFC 9112], section 6.3).
    ///
    /// [RFC 9112]: https://www.rfc-editor.org/rfc/rfc9112#section-6.3
    pub fn of(head: &response::Parts) -> Option<Self> {
        let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
        let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
        match (codings.next(), codings.next()) {
            (None, _) if has_length => Some(Self::Length),
            (None, _) => Some(Self::Close),
            (Some(coding), None) if !has_length && is_chunked(coding) => Some(Self::Chunks),
            (Some(_), _) => None,
        }
    }
}

fn is_chunked(coding: &HeaderValue) -> bool {
    coding
        .as_bytes()
        .trim_ascii()
        .eq_ignore_ascii_case(b"chunked")
}
