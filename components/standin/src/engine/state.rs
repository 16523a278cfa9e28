//! The state of an engine stand-in, guarded by one lock.

use std::time::Duration;

use bytes::Bytes;
use endpoint::engine::{CacheEvent, Done, FinishReason, Frame, Generate, Order, Report, prefix};
use futures::channel::mpsc::UnboundedSender;
use protocol::order::{self, Wanted};

use super::{Setup, token_text};
use crate::batch::{Batch, Job, Step, Token};

type Sender = UnboundedSender<std::io::Result<Bytes>>;

/// Faults of an engine that can be injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Refuses every request.
    Refuse,
    /// Resets a stream before the token at this offset.
    ResetAt(u64),
    /// Closes a stream in an orderly way before the token at this offset.
    CloseAt(u64),
    /// Omits the token at this offset.
    SkipAt(u64),
    /// Sends every frame twice.
    DuplicateFrames,
    /// Sends a frame of another attempt before each frame.
    ForeignFrames,
    /// Sends bytes that can't be decoded as a frame.
    MalformedFrames,
}

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts accepted.
    pub attempts: u64,
    /// Attempts cancelled before they finished.
    pub cancelled: u64,
    /// Changes of role or model started.
    pub changes: u64,
    /// Orders refused for a stale number.
    pub stale_orders: u64,
    /// Orders that arrived while a different one was being carried out.
    pub conflicting_orders: u64,
    /// Streams interrupted by a change of role or model.
    pub interrupted: u64,
    /// Tokens decoded.
    pub tokens: u64,
}

pub(super) enum OrderStart {
    /// The order's number is stale.
    Stale,
    /// The engine already holds what is wanted.
    Reached,
    /// The engine is unavailable for this long.
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
    highest_order: u64,
    changing: bool,
    /// What the change in progress leads to.
    target: Wanted,
    pub(super) holds: Wanted,
    pub(super) fault: Fault,
    pub(super) counts: Counts,
}

impl State {
    pub(super) fn new(setup: Setup) -> Self {
        Self {
            batch: Batch::new(setup.speed),
            streams: Vec::new(),
            boot: rand::random(),
            highest_order: 0,
            changing: false,
            target: Wanted::default(),
            holds: setup.holds.clone(),
            fault: Fault::None,
            counts: Counts::default(),
            setup,
        }
    }

    pub(super) fn start(&mut self, generate: Generate, sender: Sender) -> bool {
        if self.changing || self.fault == Fault::Refuse {
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
        let end_offset = if generate.export {
            generate.resume_from + 1
        } else {
            generate.max_tokens
        };
        let cached_tokens = self.batch.submit(Job {
            id: generate.attempt,
            priority: generate.priority,
            prompt_tokens,
            blocks: prefix::block_hashes(&weights, &generate.prompt),
            end_offset,
            start_offset: generate.resume_from,
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
            let stays_open = send_token(&self.streams[at], *token, self.fault);
            if token.last || !stays_open {
                self.streams.remove(at);
                self.batch.cancel(token.id);
            }
        }
    }

    pub(super) fn begin_order(&mut self, order: &Order) -> OrderStart {
        if self.setup.fences && !order::passes_fencing(self.highest_order, order.number) {
            self.counts.stale_orders += 1;
            return OrderStart::Stale;
        }
        self.highest_order = self.highest_order.max(order.number);
        let duration = Duration::from_millis(self.setup.speed.change_ms);
        if self.changing && self.target == order.wanted {
            // a retry of the same order changes nothing; it is answered when the change is complete
            return OrderStart::Changing(duration);
        }
        if self.changing {
            self.counts.conflicting_orders += 1;
        }
        if self.holds == order.wanted && !self.changing {
            return OrderStart::Reached;
        }
        self.changing = true;
        self.target = order.wanted.clone();
        self.counts.changes += 1;
        self.counts.interrupted += u64::try_from(self.streams.len()).unwrap_or(0);
        for stream in self.streams.drain(..) {
            reset_stream(&stream);
        }
        self.batch.clear();
        OrderStart::Changing(duration)
    }

    pub(super) fn finish_order(&mut self, order: &Order) {
        // if a different order arrived meanwhile, its own call completes the change
        if self.target == order.wanted {
            self.holds = order.wanted.clone();
            self.changing = false;
        }
    }

    pub(super) fn report(&self) -> Report {
        Report {
            boot: self.boot,
            holds: self.holds.clone(),
            changing: self.changing,
            number: self.highest_order,
            requests: u64::try_from(self.batch.requests()).unwrap_or(0),
            waiting_prompt_tokens: self.batch.waiting_prompt_tokens(),
            writing: u64::try_from(self.batch.decoding()).unwrap_or(0),
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

/// Sends a token and returns whether the stream stays open. A caller that closed the connection
/// ends the stream.
fn send_token(stream: &Stream, token: Token, fault: Fault) -> bool {
    let frame = build_frame(stream, token);
    let line = encode_line(&frame);
    let send_all = |lines: &[Bytes]| {
        lines
            .iter()
            .all(|line| stream.sender.unbounded_send(Ok(line.clone())).is_ok())
    };
    match fault {
        Fault::ResetAt(at) if at == token.offset => {
            reset_stream(stream);
            false
        }
        Fault::CloseAt(at) if at == token.offset => false,
        Fault::SkipAt(at) if at == token.offset => true,
        Fault::DuplicateFrames => send_all(&[line.clone(), line]),
        Fault::ForeignFrames => {
            let other = Frame {
                attempt: frame.attempt ^ 1,
                text: "not yours ".to_owned(),
                ..frame
            };
            send_all(&[self::encode_line(&other), line])
        }
        Fault::MalformedFrames => send_all(&[Bytes::from_static(b"{\xff}\n")]),
        _ => send_all(&[line]),
    }
}

fn build_frame(stream: &Stream, token: Token) -> Frame {
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
        text: token_text(&generate.prompt, token.offset),
        done: token.last.then_some(Done {
            reason,
            prompt_tokens: stream.prompt_tokens,
            cached_tokens: stream.cached_tokens,
        }),
    }
}

fn encode_line(frame: &Frame) -> Bytes {
    // can't fail: all fields of a frame have a JSON form
    let mut line = serde_json::to_vec(frame).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

fn reset_stream(stream: &Stream) {
    // fails only if the caller has closed the connection
    let _ = stream
        .sender
        .unbounded_send(Err(std::io::ErrorKind::ConnectionReset.into()));
}
