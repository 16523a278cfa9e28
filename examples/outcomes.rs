//! Says of gateways' log lines what was expected of each generation and what came of it.
//!
//! `cargo run --release --example outcomes -- FILE...` reads JSON lines, whatever stands before the first brace of each.
//! See `docs/OPERATIONS.md#what-came-of-placements`.

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
    lines::{Lines, Read},
    parts::Parts,
};

/// What came of placements, read from gateways' log lines.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// The longest pause between two events that callers bear, in milliseconds
    #[bpaf(fallback(200), display_fallback)]
    pause_ms: u64,
    /// Files of log lines
    #[bpaf(positional("FILE"), some("name a file of log lines"))]
    files: Vec<String>,
}

/// A log line, as far as it is used.
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
    /// The gateway.
    process: Option<String>,
    time_ms: Option<u64>,
    /// The parts of the prompt, as `KEY:TOKENS`.
    parts: Option<String>,
}

/// Bounds of unread tokens that are printed of together; longer prompts come last.
const SIZES: [u64; 3] = [1 << 10, 1 << 12, 1 << 14];

/// Who reads the prompt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "lowercase")]
enum Plan {
    /// The engine that answers.
    Whole,
    /// Another one.
    Split,
}

/// What a placement looked like; those of one kind are printed of together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Kind {
    late: bool,
    plan: Plan,
    /// Unread tokens: the first of [`SIZES`] that they stay below.
    below: u64,
    /// Whether other prompts were ahead.
    ahead: bool,
}

/// A request that was placed.
#[derive(Debug)]
struct Placed {
    kind: Kind,
    expected_us: u64,
    left_us: u64,
}

/// What came of the requests of a kind.
#[derive(Debug)]
struct Outcome {
    answered: u64,
    late: u64,
    paused: u64,
    expected: Histogram<u64>,
    first: Histogram<u64>,
    pause: Histogram<u64>,
}

impl Outcome {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        // two digits are more than the table shows
        Ok(Self {
            answered: 0,
            late: 0,
            paused: 0,
            expected: Histogram::new(2)?,
            first: Histogram::new(2)?,
            pause: Histogram::new(2)?,
        })
    }
}

/// All that was read.
#[derive(Debug, Default)]
struct Account {
    placed: BTreeMap<String, Placed>,
    outcomes: BTreeMap<Kind, Outcome>,
    losses: BTreeMap<String, u64>,
    lines: Lines,
    parts: Parts,
    unread: u64,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = options().run();
    let mut account = Account::default();
    for file in &options.files {
        for line in BufReader::new(File::open(file)?).split(b'\n') {
            account.take(&line?, options.pause_ms)?;
        }
    }
    account.print(&mut io::stdout().lock())?;
    Ok(())
}

impl Account {
    fn take(&mut self, line: &[u8], pause_ms: u64) -> Result<(), Box<dyn std::error::Error>> {
        let Some(start) = line.iter().position(|byte| *byte == b'{') else {
            return Ok(());
        };
        let Ok(line) = serde_json::from_slice::<Line>(&line[start..]) else {
            self.unread += 1;
            return Ok(());
        };
        match line.message.as_str() {
            "placed" | "placed late" => self.place(line),
            "started" => {
                let gateway = line.process.unwrap_or_default();
                self.parts.start(&gateway, line.time_ms.unwrap_or(0));
            }
            "a prompt was read" => {
                let request = line.request.unwrap_or_default();
                self.lines.read(&request, line.time_ms.unwrap_or(0));
            }
            "answered" => self.answer(&line, pause_ms)?,
            "an attempt failed" => self.lose("attempt", line.cause),
            "refused" => self.lose("refused", line.reason),
            "left by the caller" | "broken off by the endpoint" | "cut when its time was over" => {
                self.lose("ended", Some(line.message));
            }
            _ => {}
        }
        Ok(())
    }

    fn lose(&mut self, what: &str, why: Option<String>) {
        let why = why.unwrap_or_default();
        *self.losses.entry(format!("{what}: {why}")).or_default() += 1;
    }

    fn place(&mut self, line: Line) {
        let Some(request) = line.request else {
            return;
        };
        let held = line.held.unwrap_or(0) + line.fetched.unwrap_or(0);
        let unread = line.prompt.unwrap_or(0).saturating_sub(held);
        let kind = Kind {
            late: line.message == "placed late",
            plan: if line.reads == line.writes {
                Plan::Whole
            } else {
                Plan::Split
            },
            below: SIZES
                .into_iter()
                .find(|size| unread < *size)
                .unwrap_or(u64::MAX),
            ahead: line.reading.unwrap_or(0) > 0,
        };
        let gateway = line.process.unwrap_or_default();
        let placed_ms = line.time_ms.unwrap_or(0);
        let parts = line.parts.unwrap_or_default();
        self.parts.place(&gateway, placed_ms, &parts, held);
        if kind.plan == Plan::Split {
            let read = Read {
                gateway,
                placed_ms,
                done_ms: None,
                unread,
                late: kind.late,
                expected_us: line.expected_us.unwrap_or(0),
                believed: line.reading.unwrap_or(0),
            };
            let engine = line.reads.unwrap_or_default();
            self.lines.place(&request, &engine, read);
        }
        let placed = Placed {
            kind,
            expected_us: line.expected_us.unwrap_or(0),
            left_us: line.left_us.unwrap_or(0),
        };
        self.placed.insert(request, placed);
    }

    fn answer(&mut self, line: &Line, pause_ms: u64) -> Result<(), Box<dyn std::error::Error>> {
        let placed = line.request.as_ref().and_then(|id| self.placed.remove(id));
        let Some((placed, first)) = placed.zip(line.first_us) else {
            return Ok(());
        };
        let outcome = match self.outcomes.entry(placed.kind) {
            std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::btree_map::Entry::Vacant(entry) => entry.insert(Outcome::new()?),
        };
        let pause = line.longest_gap_us.unwrap_or(0);
        let late = first > placed.left_us;
        outcome.answered += 1;
        outcome.late += u64::from(late);
        outcome.paused += u64::from(!late && pause > pause_ms * 1_000);
        outcome.expected.record(placed.expected_us)?;
        outcome.first.record(first)?;
        outcome.pause.record(pause)?;
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
            let part = |count: u64| policy::to_f64(count) / policy::to_f64(outcome.answered);
            writeln!(
                to,
                "{:<26} {:>8} {:>6.2} {:>6.2}  {}  {}  {}",
                kind.to_string(),
                outcome.answered,
                part(outcome.late),
                part(outcome.paused),
                spread(&outcome.expected),
                spread(&outcome.first),
                spread(&outcome.pause)
            )?;
        }
        self.lines.print(to)?;
        self.parts.print(to)?;
        for (loss, count) in &self.losses {
            writeln!(to, "{count:>8} {loss}")?;
        }
        writeln!(
            to,
            "{:>8} placed, with no end in these lines",
            self.placed.len()
        )?;
        writeln!(to, "{:>8} lines that could not be read", self.unread)
    }
}

/// Three quantiles in milliseconds.
fn spread(times: &Histogram<u64>) -> String {
    let [a, b, c] = [0.5, 0.9, 0.99].map(|part| times.value_at_quantile(part) / 1_000);
    format!("{a:>5} {b:>5} {c:>5}")
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let late = if self.late { "late " } else { "" };
        let ahead = if self.ahead { ", others ahead" } else { "" };
        match self.below {
            u64::MAX => write!(f, "{late}{} long{ahead}", self.plan),
            below => write!(f, "{late}{} <{below}{ahead}", self.plan),
        }
    }
}
