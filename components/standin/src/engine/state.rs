//! The state of an engine stand-in, under one lock.

use std::time::Duration;

use bytes::Bytes;
use endpoint::engine::{CacheEvent, Done, FinishReason, Frame, Generate, Order, Report, prefix};
use futures::channel::mpsc::UnboundedSender;
use protocol::order::{self, Wanted};

use super::{Setup, word};
use crate::batch::{Batch, Job, Step, Token};

type Sender = UnboundedSender<std::io::Result<Bytes>>;

/// The ways in which an engine can be told to fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faults {
    /// It doesn't.
    #[default]
    None,
    /// It refuses every request.
    Refuse,
    /// It breaks a stream before the token at this offset.
    CutAt(u64),
    /// It closes a stream in an orderly way before the token at this offset.
    EndAt(u64),
    /// It leaves out the token at this offset.
    SkipAt(u64),
    /// It sends every frame twice.
    Double,
    /// It sends, before each frame, one of another attempt.
    Cross,
    /// It sends bytes that are no frame.
    Garbage,
}

/// What an engine has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts taken.
    pub attempts: u64,
    /// Attempts cancelled before their end.
    pub cancelled: u64,
    /// Changes carried out.
    pub changes: u64,
    /// Orders refused for an old number.
    pub stale: u64,
    /// Orders that struck while a different one was being carried out.
    pub conflicts: u64,
    /// Streams cut by a change.
    pub cut: u64,
    /// Tokens written.
    pub tokens: u64,
}

pub(super) enum Begun {
    /// The number is old.
    Stale,
    /// The wanted end holds already.
    Reached,
    /// Away for this long.
    Changing(Duration),
}

struct Stream {
    generate: Generate,
    prompt_tokens: u64,
    cached_tokens: u64,
    sender: Sender,
}

impl std::fmt::Debug for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "stream {}", self.generate.attempt)
    }
}

#[derive(Debug)]
pub(super) struct State {
    setup: Setup,
    batch: Batch,
    /// Sorted by attempt.
    streams: Vec<Stream>,
    boot: u64,
    number: u64,
    changing: bool,
    /// What the change under way leads to.
    becoming: Wanted,
    pub(super) holds: Wanted,
    pub(super) faults: Faults,
    pub(super) counts: Counts,
}

impl State {
    pub(super) fn new(setup: Setup) -> Self {
        Self {
            batch: Batch::new(setup.speed),
            streams: Vec::new(),
            boot: rand::random(),
            number: 0,
            changing: false,
            becoming: Wanted::default(),
            holds: setup.holds.clone(),
            faults: Faults::None,
            counts: Counts::default(),
            setup,
        }
    }

    pub(super) fn start(&mut self, generate: Generate, sender: Sender) -> bool {
        if self.changing || self.faults == Faults::Refuse {
            return false;
        }
        let Err(at) = self.find(generate.attempt) else {
            return false;
        };
        self.counts.attempts += 1;
        let weights = format!(
            "{}/{}/{}",
            generate.model, generate.adapter, generate.version
        );
        let prompt_tokens = prefix::estimate_tokens(&generate.prompt) + generate.resume_from;
        let until = if generate.export {
            generate.resume_from + 1
        } else {
            generate.max_tokens
        };
        let cached_tokens = self.batch.submit(Job {
            id: generate.attempt,
            priority: generate.priority,
            prompt_tokens,
            blocks: prefix::block_hashes(&weights, &generate.prompt),
            until,
            from: generate.resume_from,
            imported: generate.import.is_some(),
        });
        self.streams.insert(
            at,
            Stream {
                generate,
                prompt_tokens,
                cached_tokens,
                sender,
            },
        );
        true
    }

    pub(super) fn cancel(&mut self, attempt: u64) {
        if let Ok(at) = self.find(attempt) {
            self.counts.cancelled += 1;
            self.streams.remove(at);
            self.batch.cancel(attempt);
        }
    }

    pub(super) fn step(&mut self) -> Option<Step> {
        self.batch.step()
    }

    pub(super) fn deliver(&mut self, tokens: &[Token]) {
        for token in tokens {
            let Ok(at) = self.find(token.id) else {
                continue;
            };
            self.counts.tokens += 1;
            let goes_on = send(&self.streams[at], *token, self.faults);
            if token.last || !goes_on {
                self.streams.remove(at);
                self.batch.cancel(token.id);
            }
        }
    }

    pub(super) fn begin(&mut self, order: &Order) -> Begun {
        if self.setup.fences && !order::passes_fencing(self.number, order.number) {
            self.counts.stale += 1;
            return Begun::Stale;
        }
        self.number = self.number.max(order.number);
        let away = Duration::from_millis(self.setup.speed.change_ms);
        if self.changing && self.becoming == order.wanted {
            // the same order again changes nothing; its answer comes when the end is reached
            return Begun::Changing(away);
        }
        if self.changing {
            self.counts.conflicts += 1;
        }
        if self.holds == order.wanted && !self.changing {
            return Begun::Reached;
        }
        self.changing = true;
        self.becoming = order.wanted.clone();
        self.counts.changes += 1;
        self.counts.cut += u64::try_from(self.streams.len()).unwrap_or(0);
        for stream in self.streams.drain(..) {
            broken(&stream);
        }
        self.batch.clear();
        Begun::Changing(away)
    }

    pub(super) fn finish(&mut self, order: &Order) {
        // a different order that struck meanwhile has its own end
        if self.becoming == order.wanted {
            self.holds = order.wanted.clone();
            self.changing = false;
        }
    }

    pub(super) fn report(&self) -> Report {
        Report {
            boot: self.boot,
            holds: self.holds.clone(),
            changing: self.changing,
            number: self.number,
            requests: u64::try_from(self.batch.requests()).unwrap_or(0),
            waiting_prompt_tokens: self.batch.waiting_prompt_tokens(),
            writing: u64::try_from(self.batch.writing()).unwrap_or(0),
            cache_sequence: self.batch.cache().sequence(),
        }
    }

    pub(super) fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.batch.cache().events_after(sequence).to_vec()
    }

    fn find(&self, attempt: u64) -> Result<usize, usize> {
        self.streams
            .binary_search_by_key(&attempt, |stream| stream.generate.attempt)
    }
}

/// Sends a token and says whether the stream goes on; a caller that hung up ends it.
fn send(stream: &Stream, token: Token, faults: Faults) -> bool {
    let frame = frame(stream, token);
    let line = line(&frame);
    let all = |lines: &[Bytes]| {
        lines
            .iter()
            .all(|line| stream.sender.unbounded_send(Ok(line.clone())).is_ok())
    };
    match faults {
        Faults::CutAt(at) if at == token.offset => {
            broken(stream);
            false
        }
        Faults::EndAt(at) if at == token.offset => false,
        Faults::SkipAt(at) if at == token.offset => true,
        Faults::Double => all(&[line.clone(), line]),
        Faults::Cross => {
            let other = Frame {
                attempt: frame.attempt ^ 1,
                text: "not yours ".to_owned(),
                ..frame
            };
            all(&[self::line(&other), line])
        }
        Faults::Garbage => all(&[Bytes::from_static(b"{\xff}\n")]),
        _ => all(&[line]),
    }
}

fn frame(stream: &Stream, token: Token) -> Frame {
    let generate = &stream.generate;
    let reason = if generate.export {
        FinishReason::Exported
    } else {
        FinishReason::Length
    };
    Frame {
        attempt: generate.attempt,
        offset: token.offset,
        tokens: 1,
        text: word(&generate.prompt, token.offset),
        done: token.last.then_some(Done {
            reason,
            prompt_tokens: stream.prompt_tokens,
            cached_tokens: stream.cached_tokens,
        }),
    }
}

fn line(frame: &Frame) -> Bytes {
    // a frame of plain fields always has a JSON form
    let mut line = serde_json::to_vec(frame).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

fn broken(stream: &Stream) {
    // a caller that hung up needs no sign
    let _ = stream
        .sender
        .unbounded_send(Err(std::io::ErrorKind::ConnectionReset.into()));
}
