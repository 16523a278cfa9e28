//! Finds the boundaries of a stream's events, so that a broken stream can be resumed after the last
//! event that was delivered completely.

use bytes::{Bytes, BytesMut};

/// Buffers the incomplete event at the end of a stream, so that only complete events are passed on.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Sets the id of the event after which the stream begins.
    pub fn start_after(&mut self, id: u64) {
        self.last_id = Some(id);
    }

    /// Appends bytes and returns everything up to the end of the last complete event, if one has
    /// been completed.
    pub fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial)?;
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = find_last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Returns the remaining bytes of a stream that ended normally.
    pub fn finish(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Returns the number of bytes of the incomplete event at the end.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Discards the incomplete event at the point where a stream broke.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the end of the last complete event, which is marked by a blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|index| index + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|index| index + 4);
    lf.max(crlf)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

fn find_last_id(bytes: &[u8]) -> Option<u64> {
    bytes
        .split(|byte| *byte == b'\n')
        .rev()
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
