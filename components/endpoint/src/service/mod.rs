//! A plain service: any method, forwarded through whole.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    body::Incoming,
    header::{self, HeaderName},
};

use crate::Failure;

/// Headers that this hop sets itself, or that are meant for it alone.
const NOT_FORWARDED: &[HeaderName] = &[header::HOST, header::CONTENT_LENGTH, header::AUTHORIZATION];

/// Plain services reached over HTTP; one adapter serves all of them.
#[derive(Clone, Debug, Default)]
pub struct Service {
    client: call::Client,
}

impl Service {
    /// Sends a request and gives the answer's head; its body streams.
    ///
    /// # Errors
    ///
    /// [`Failure`] says whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, Failure> {
        let uri: Uri = format!("http://{address}{path}")
            .parse()
            .map_err(|_| Failure::NotSent)?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = end_to_end(headers);
        Ok(self.client.send(request).await?)
    }
}

/// The headers that are forwarded on: those of the message, not of the connection or of this hop's
/// caller.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = call::headers::end_to_end(headers);
    for name in NOT_FORWARDED {
        forwarded.remove(name);
    }
    forwarded
}
