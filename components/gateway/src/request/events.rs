//! Where the events of a stream begin and end, so that a broken stream can go on after the last one
//! that was handed over whole.

use bytes::{Bytes, BytesMut};

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Says after which event the stream begins.
    pub fn start_after(&mut self, id: u64) {
        self.last_id = Some(id);
    }

    /// Takes bytes and gives those that end with a whole event, if there are any.
    pub fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = last_event_end(&self.partial)?;
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = find_last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// What is left at the end of a stream that ended as it should.
    pub fn finish(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Forgets the part of an event that came before a stream broke.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// The end of the last whole event: a blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = find_last(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
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
