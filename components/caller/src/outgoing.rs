//! What has been sent of a response in progress, and which bytes may be sent beside it to probe the caller.

use std::io;

use hyper::{Method, Response, StatusCode, Version, body::Body, header};

use crate::Stage;

/// Sent to a caller that may have disconnected. HTTP/1.1 clients skip interim responses and go on waiting.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
/// The beginning of each response to an older version, which has neither interim responses nor chunks. Its bytes are sent one
/// at a time.
const STATUS_LINE: &[u8] = b"HTTP/1.0 ";
/// Sent ahead of the size of the next chunk of a response, which may have leading zeros.
const LEADING_ZERO: &[u8] = b"0";
/// Leading zeros of one size. Some clients accept 16 digits at most, and sizes need up to eight.
const MAX_LEADING_ZEROS: u8 = 8;

/// How the HTTP library marks the end of a body to callers that speak HTTP/1.1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By the last chunk.
    Chunks,
    /// By a length, or there is no body.
    #[default]
    Length,
}

impl Framing {
    pub(crate) fn of(method: &Method, response: &Response<impl Body>) -> Self {
        let status = response.status();
        let has_body = !matches!(*method, Method::HEAD | Method::CONNECT)
            && !status.is_informational()
            && !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let has_length = response.body().size_hint().exact().is_some()
            || response.headers().contains_key(header::CONTENT_LENGTH);
        if has_body && !has_length {
            Self::Chunks
        } else {
            Self::Length
        }
    }
}

/// Bytes that are no part of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeBytes {
    Interim,
    /// The byte of the status line at this index, ahead of the library.
    StatusLine(usize),
    LeadingZero,
}

impl ProbeBytes {
    pub(crate) fn as_bytes(self) -> &'static [u8] {
        match self {
            Self::Interim => INTERIM_RESPONSE,
            Self::StatusLine(index) => &STATUS_LINE[index..=index],
            Self::LeadingZero => LEADING_ZERO,
        }
    }
}

/// What has been sent to a caller.
#[derive(Debug, Default)]
pub(crate) struct Outgoing {
    /// Whether the last write could not proceed because the send buffer was full.
    pub(crate) is_blocked: bool,
    /// Whether all bytes that the HTTP library has produced are written, so that the next ones begin a chunk.
    pub(crate) is_flushed: bool,
    /// Whether the connection is reset when the socket is closed, by this process or at its end.
    pub(crate) resets_on_close: bool,
    framing: Framing,
    /// Leading zeros of the size of the next chunk that have been sent.
    zeros: u8,
    /// Bytes of the status line that were sent before the HTTP library has produced them.
    sent_ahead: usize,
}

impl Outgoing {
    /// Begins a response.
    pub(crate) fn begin(&mut self, framing: Framing) {
        self.framing = framing;
    }

    /// Returns bytes that may be sent now to probe a caller that speaks this version: an interim response, or the next byte
    /// of the status line to callers that don't know such, before the response has begun; later a digit between two chunks
    /// that does not change the size of the next one.
    pub(crate) fn probe_bytes(&self, stage: Stage, version: Version) -> Option<ProbeBytes> {
        let may_have_zero =
            self.framing == Framing::Chunks && self.is_flushed && self.zeros < MAX_LEADING_ZEROS;
        match stage {
            _ if self.is_blocked => None,
            Stage::Waiting if version == Version::HTTP_11 => Some(ProbeBytes::Interim),
            Stage::Waiting if self.sent_ahead < STATUS_LINE.len() => {
                Some(ProbeBytes::StatusLine(self.sent_ahead))
            }
            Stage::Responding if version == Version::HTTP_11 && may_have_zero => {
                Some(ProbeBytes::LeadingZero)
            }
            Stage::Receiving | Stage::Waiting | Stage::Responding => None,
        }
    }

    /// Records that such bytes were sent.
    pub(crate) fn record_probe(&mut self, bytes: ProbeBytes) {
        match bytes {
            ProbeBytes::Interim => {}
            ProbeBytes::StatusLine(index) => self.sent_ahead = index + 1,
            ProbeBytes::LeadingZero => self.zeros += 1,
        }
    }

    /// Records a write of the HTTP library, and whether the send buffer is full. Returns whether it was before.
    pub(crate) fn record_write(&mut self, is_blocked: bool) -> bool {
        self.is_flushed = false;
        if !is_blocked {
            self.zeros = 0;
        }
        std::mem::replace(&mut self.is_blocked, is_blocked)
    }

    /// Returns how many of the bytes that the HTTP library is about to write have been sent ahead, from now on none.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::InvalidData`] if they are others, which the caller could not make sense of.
    pub(crate) fn take_sent_ahead(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let sent = std::mem::take(&mut self.sent_ahead);
        if bytes.starts_with(&STATUS_LINE[..sent]) {
            Ok(sent)
        } else {
            Err(io::ErrorKind::InvalidData.into())
        }
    }
}
