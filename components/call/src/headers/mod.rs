//! Selection of the headers that a proxy forwards.

use hyper::{
    HeaderMap,
    header::{self, HeaderName},
};

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
static HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the end-to-end headers: all but the hop-by-hop headers and those that `Connection` lists.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP.contains(name) && !connection_options.iter().any(|n| n == name.as_str())
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
