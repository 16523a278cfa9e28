//! Plain services: requests of any method are forwarded unchanged.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    body::Incoming,
    header::{self, HeaderName},
};

use crate::Failure;

/// End-to-end headers that are not forwarded: those set anew for each hop, and credentials meant for this hop.
const NOT_FORWARDED: &[HeaderName] = &[header::HOST, header::CONTENT_LENGTH, header::AUTHORIZATION];

/// Client of plain services over HTTP; one instance serves all services.
#[derive(Clone, Debug, Default)]
pub struct ServiceClient {
    client: call::Client,
}

impl ServiceClient {
    /// Sends a request and returns the response head; the body is streamed.
    ///
    /// # Errors
    ///
    /// [`Failure`] says whether the request may have executed.
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
        *request.headers_mut() = forwarded_headers(headers);
        Ok(self.client.send(request).await?)
    }
}

/// Returns the headers to forward: without hop-by-hop headers and without `NOT_FORWARDED`.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = call::headers::end_to_end(headers);
    for name in NOT_FORWARDED {
        forwarded.remove(name);
    }
    forwarded
}
