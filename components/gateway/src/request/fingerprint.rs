//! Identifies what a request asks for, regardless of who sends it and how often.

use derive_more::{Display, From, Into};
use hyper::{Method, Uri};
use xxhash_rust::xxh3::Xxh3;

/// A hash of what a request asks for, the same in every process: method, host, path, query and
/// body. The caller's request id is not included, as each retry has another one.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(method: &Method, host: &str, uri: &Uri, body: &[u8]) -> Self {
        let path = uri
            .path_and_query()
            .map_or(uri.path(), |path| path.as_str());
        let mut hasher = Xxh3::new();
        for part in [method.as_str().as_bytes(), host.as_bytes(), path.as_bytes()] {
            hasher.update(part);
            // a separator, so that the boundary between two parts is unambiguous
            hasher.update(&[0]);
        }
        hasher.update(body);
        Self(hasher.digest())
    }
}
