//! Compares the expected latency of each generation with its outcome, from gateways' log lines.
//!
//! `cargo run --release --example outcomes -- FILE...` reads JSON lines and ignores any text before the first brace of
//! each. See `docs/OPERATIONS.md#what-came-of-placements`.

use std::{
    collections::BTreeMap,
    fmt,
    fs::File,
    io::{self, BufRead, BufReader},
};

mod outcomes_parts;

use bpaf::Bpaf;
use derive_more::Display;
use hdrhistogram::Histogram;
use serde::Deserialize;

use outcomes_parts::{
    parts::Parts,
    prefills::{Prefill, Prefills},
};

/// Summarizes the outcomes of placements from gateways' log lines.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Longest pause between two events that callers tolerate, in milliseconds
    #[bpaf(fallback(200), display_fallback)]
    pause_ms: u64,
    /// Files of log lines
    #[bpaf(positional("FILE"), some("at least one file of log lines is required"))]
    files: Vec<String>,
}

/// The fields of a log line that are used.
#[derive(Debug, Deserialize)]
struct Line {
    message: String,
    request: Option<String>,
    reads: Option<String>,
    writes: Option<String>,
    prompt: Option<u64>,
    held: Option<u64>,
    fetched: Option<u64>,
    reading: Option<u64>,
    expected_us: Option<u64>,
    left_us: Option<u64>,
    first_us: Option<u64>,
    longest_gap_us: Option<u64>,
    cause: Option<String>,
    reason: Option<String>,
    /// Name of the gateway.
    process: Option<String>,
    time_ms: Option<u64>,
    /// The parts of the prompt, as `KEY:TOKENS`.
    parts: Option<String>,
}

/// Upper bounds of the size classes, in uncached prompt tokens. Longer prompts form a last class.
const SIZE_BOUNDS: [u64; 3] = [1 << 10, 1 << 12, 1 << 14];

/// Which engine prefills the prompt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "lowercase")]
enum Placement {
    /// The engine that decodes the answer.
    #[display("whole")]
    Single,
    /// Another engine.
    Split,
}

/// Properties by which placements are grouped; each kind is a row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementKind {
    /// Whether the first token was expected after its deadline.
    placed_late: bool,
    placement: Placement,
    /// The first of [`SIZE_BOUNDS`] that exceeds the uncached tokens; `u64::MAX` if none does.
    below_tokens: u64,
    /// Whether the engine had other prompts to prefill first.
    prompts_ahead: bool,
}

/// A placed request that has not been answered yet.
#[derive(Debug)]
struct PlacedRequest {
    kind: PlacementKind,
    expected_us: u64,
    /// Time that was left until the first token was due.
    first_token_timeout_us: u64,
}

/// Outcome of the requests of a kind.
#[derive(Debug)]
struct Outcome {
    answered: u64,
    /// Answers whose first token was late.
    late_first_token: u64,
    /// Answers whose first token was in time but that stalled for too long.
    stalled: u64,
    expected_us: Histogram<u64>,
    first_token_us: Histogram<u64>,
    stall_us: Histogram<u64>,
}

impl Outcome {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        // two significant digits are more than the table shows
        Ok(Self {
            answered: 0,
            late_first_token: 0,
            stalled: 0,
            expected_us: Histogram::new(2)?,
            first_token_us: Histogram::new(2)?,
            stall_us: Histogram::new(2)?,
        })
    }
}

/// Everything collected from the log lines.
#[derive(Debug, Default)]
struct Summary {
    placed: BTreeMap<String, PlacedRequest>,
    outcomes: BTreeMap<PlacementKind, Outcome>,
    failures: BTreeMap<String, u64>,
    prefills: Prefills,
    parts: Parts,
    unparsed_lines: u64,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = options().run();
    let mut summary = Summary::default();
    for file in &options.files {
        for line in BufReader::new(File::open(file)?).split(b'\n') {
            summary.add_line(&line?, options.pause_ms)?;
        }
    }
    summary.print(&mut io::stdout().lock())?;
    Ok(())
}

impl Summary {
    fn add_line(&mut self, line: &[u8], pause_ms: u64) -> Result<(), Box<dyn std::error::Error>> {
        let Some(start) = line.iter().position(|byte| *byte == b'{') else {
            return Ok(());
        };
        let Ok(line) = serde_json::from_slice::<Line>(&line[start..]) else {
            self.unparsed_lines += 1;
            return Ok(());
        };
        match line.message.as_str() {
            "placed" | "placed late" => self.add_placement(line),
            "started" => {
                let gateway = line.process.unwrap_or_default();
                self.parts.record_start(&gateway, line.time_ms.unwrap_or(0));
            }
            "a prompt was read" => {
                let request = line.request.unwrap_or_default();
                self.prefills
                    .record_prefill_end(&request, line.time_ms.unwrap_or(0));
            }
            "answered" => self.add_answer(&line, pause_ms)?,
            "an attempt failed" => self.count_failure("attempt", line.cause),
            "refused" => self.count_failure("refused", line.reason),
            "left by the caller" | "broken off by the endpoint" | "cut when its time was over" => {
                self.count_failure("ended", Some(line.message));
            }
            _ => {}
        }
        Ok(())
    }

    fn count_failure(&mut self, kind: &str, reason: Option<String>) {
        let reason = reason.unwrap_or_default();
        *self
            .failures
            .entry(format!("{kind}: {reason}"))
            .or_default() += 1;
    }

    fn add_placement(&mut self, line: Line) {
        let Some(request) = line.request else {
            return;
        };
        let cached_tokens = line.held.unwrap_or(0) + line.fetched.unwrap_or(0);
        let uncached_tokens = line.prompt.unwrap_or(0).saturating_sub(cached_tokens);
        let kind = PlacementKind {
            placed_late: line.message == "placed late",
            placement: if line.reads == line.writes {
                Placement::Single
            } else {
                Placement::Split
            },
            below_tokens: SIZE_BOUNDS
                .into_iter()
                .find(|size| uncached_tokens < *size)
                .unwrap_or(u64::MAX),
            prompts_ahead: line.reading.unwrap_or(0) > 0,
        };
        let gateway = line.process.unwrap_or_default();
        let placed_ms = line.time_ms.unwrap_or(0);
        let parts = line.parts.unwrap_or_default();
        self.parts
            .record_placement(&gateway, placed_ms, &parts, cached_tokens);
        if kind.placement == Placement::Split {
            let prefill = Prefill {
                gateway,
                placed_ms,
                done_ms: None,
                uncached_tokens,
                placed_late: kind.placed_late,
                expected_us: line.expected_us.unwrap_or(0),
                known_work_ahead: line.reading.unwrap_or(0),
            };
            let engine = line.reads.unwrap_or_default();
            self.prefills.record_placement(&request, &engine, prefill);
        }
        let placed = PlacedRequest {
            kind,
            expected_us: line.expected_us.unwrap_or(0),
            first_token_timeout_us: line.left_us.unwrap_or(0),
        };
        self.placed.insert(request, placed);
    }

    fn add_answer(&mut self, line: &Line, pause_ms: u64) -> Result<(), Box<dyn std::error::Error>> {
        let placed = line.request.as_ref().and_then(|id| self.placed.remove(id));
        let Some((placed, first_token_us)) = placed.zip(line.first_us) else {
            return Ok(());
        };
        let outcome = match self.outcomes.entry(placed.kind) {
            std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::btree_map::Entry::Vacant(entry) => entry.insert(Outcome::new()?),
        };
        let stall_us = line.longest_gap_us.unwrap_or(0);
        let late_first_token = first_token_us > placed.first_token_timeout_us;
        outcome.answered += 1;
        outcome.late_first_token += u64::from(late_first_token);
        outcome.stalled += u64::from(!late_first_token && stall_us > pause_ms * 1_000);
        outcome.expected_us.record(placed.expected_us)?;
        outcome.first_token_us.record(first_token_us)?;
        outcome.stall_us.record(stall_us)?;
        Ok(())
    }

    fn print(&self, to: &mut impl io::Write) -> io::Result<()> {
        writeln!(
            to,
            "{:<26} {:>8} {:>6} {:>6}  {:>17}  {:>17}  {:>17}",
            "placed",
            "answered",
            "late",
            "paused",
            "expected 50 90 99",
            "first 50 90 99",
            "pause 50 90 99"
        )?;
        for (kind, outcome) in &self.outcomes {
            let ratio = |count: u64| policy::to_f64(count) / policy::to_f64(outcome.answered);
            writeln!(
                to,
                "{:<26} {:>8} {:>6.2} {:>6.2}  {}  {}  {}",
                kind.to_string(),
                outcome.answered,
                ratio(outcome.late_first_token),
                ratio(outcome.stalled),
                format_quantiles(&outcome.expected_us),
                format_quantiles(&outcome.first_token_us),
                format_quantiles(&outcome.stall_us)
            )?;
        }
        self.prefills.print(to)?;
        self.parts.print(to)?;
        for (failure, count) in &self.failures {
            writeln!(to, "{count:>8} {failure}")?;
        }
        writeln!(
            to,
            "{:>8} placed, with no end in these lines",
            self.placed.len()
        )?;
        writeln!(
            to,
            "{:>8} lines that could not be read",
            self.unparsed_lines
        )
    }
}

/// Formats the quantiles 0.5, 0.9 and 0.99 in milliseconds.
fn format_quantiles(times: &Histogram<u64>) -> String {
    let [a, b, c] = [0.5, 0.9, 0.99].map(|quantile| times.value_at_quantile(quantile) / 1_000);
    format!("{a:>5} {b:>5} {c:>5}")
}

impl fmt::Display for PlacementKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let late = if self.placed_late { "late " } else { "" };
        let ahead = if self.prompts_ahead {
            ", others ahead"
        } else {
            ""
        };
        match self.below_tokens {
            u64::MAX => write!(f, "{late}{} long{ahead}", self.placement),
            below => write!(f, "{late}{} <{below}{ahead}", self.placement),
        }
    }
}
