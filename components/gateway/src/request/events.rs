//! Where the events of a stream begin and end, so that a broken stream can go on after the last one
//! that was handed over whole.

use bytes::{Bytes, BytesMut};

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Says after which event the stream begins.
    pub fn start_after(&mut self, id: u64) {
        self.last = Some(id);
    }

    /// Takes bytes and gives those that end with a whole event, if there are any.
    pub fn push(&mut self, bytes: &Bytes) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let end = last_end(&self.rest)?;
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Some(whole)
    }

    /// What is left at the end of a stream that ended as it should.
    pub fn finish(&mut self) -> Option<Bytes> {
        (!self.rest.is_empty()).then(|| self.rest.split().freeze())
    }

    /// Forgets the part of an event that came before a stream broke.
    pub fn forget(&mut self) {
        self.rest.clear();
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }
}

/// The end of the last whole event: a blank line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let plain = find_last(bytes, b"\n\n").map(|at| at + 2);
    let returns = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    plain.max(returns)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

fn last_id(bytes: &[u8]) -> Option<u64> {
    bytes
        .split(|byte| *byte == b'\n')
        .rev()
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
