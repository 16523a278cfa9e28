//! Finds the boundaries of a stream's events, so that a broken stream is noticed and can be resumed
//! after the last event that was delivered completely.
//!
//! Lines end with LF, CR LF or CR, and a blank line ends an event. See
//! `docs/DESIGN.md#the-end-of-a-response`.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes. An incomplete event is kept in memory.
const MAX_EVENT_BYTES: usize = 256 << 10;
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Buffers the incomplete event at the end of a stream, so that only complete events are passed on.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Bytes after the last complete event.
    partial: BytesMut,
    /// Start of the first line in `partial` whose end has not arrived.
    line_start: usize,
    /// Number of bytes of `partial` in which no end of line remains to be found.
    scanned: usize,
    /// Whether the last byte was a CR that ended a line, so that an LF after it belongs to that line.
    ended_with_cr: bool,
    /// Whether a line of this response has ended.
    has_line: bool,
    /// The complete lines of the incomplete event.
    event: Event,
    last_id: Option<u64>,
    /// Whether an event without an id has been completed after the last one with an id.
    lacks_id: bool,
}

/// The lines of an event that have arrived.
#[derive(Debug, Default)]
struct Event {
    /// Whether there is a line that is not a comment.
    has_field: bool,
    has_data: bool,
    id: Option<u64>,
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
        let mut complete = None;
        while self.scanned < self.partial.len() {
            let byte = self.partial[self.scanned];
            self.scanned += 1;
            match byte {
                b'\n' if self.ended_with_cr => {
                    self.ended_with_cr = false;
                    self.line_start = self.scanned;
                    // the LF of a blank line whose CR has ended an event
                    if complete.is_some_and(|end| end + 1 == self.scanned) {
                        complete = Some(self.scanned);
                    }
                }
                b'\n' | b'\r' => {
                    self.ended_with_cr = byte == b'\r';
                    if self.end_line() {
                        complete = Some(self.scanned);
                    }
                }
                _ => self.ended_with_cr = false,
            }
        }
        let end = complete?;
        self.scanned -= end;
        self.line_start -= end;
        Some(self.partial.split_to(end).freeze())
    }

    /// Ends the line before the last scanned byte. Returns whether no event is incomplete after it.
    fn end_line(&mut self) -> bool {
        let mut line = &self.partial[self.line_start..self.scanned - 1];
        if !std::mem::replace(&mut self.has_line, true) {
            line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        }
        self.line_start = self.scanned;
        match line {
            [] => {
                let event = std::mem::take(&mut self.event);
                match event.id {
                    Some(id) => (self.last_id, self.lacks_id) = (Some(id), false),
                    None => self.lacks_id |= event.has_data,
                }
                true
            }
            [b':', ..] => !self.event.has_field,
            field => {
                let (name, value) = split_field(field);
                self.event.has_field = true;
                match name {
                    b"data" => self.event.has_data = true,
                    b"id" => self.event.id = parse_id(value).or(self.event.id),
                    _ => {}
                }
                false
            }
        }
    }

    /// Whether the stream would be incomplete if it ended here.
    pub fn is_within_event(&self) -> bool {
        self.event.has_field || self.line_start < self.partial.len()
    }

    /// Whether the incomplete event is longer than any event may be, so that no more of it is to be read.
    pub fn is_overlong(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns the remaining bytes of a complete stream.
    pub fn finish(&mut self) -> Option<Bytes> {
        (!self.partial.is_empty()).then(|| self.partial.split().freeze())
    }

    /// Returns the number of bytes of the incomplete event at the end.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Discards the incomplete event at the point where a stream broke. Another response continues
    /// the stream.
    pub fn discard_partial(&mut self) {
        *self = Self {
            last_id: self.last_id,
            lacks_id: self.lacks_id,
            ..Self::default()
        };
    }

    /// Whether another response can continue after the last complete event. Without the id of that
    /// event it would repeat events.
    pub fn can_resume(&self) -> bool {
        !self.lacks_id
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Splits a line into the name of its field and its value, which is empty without a colon.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    let colon = line.iter().position(|byte| *byte == b':');
    colon.map_or((line, &[]), |colon| (&line[..colon], &line[colon + 1..]))
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
