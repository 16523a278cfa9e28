//! Shared parts of prompts that were prefilled again although an engine had prefilled them before, and why.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
};

use derive_more::Display;

/// A part is assumed to be still in prefill for this time after its first placement.
const ASSUMED_PREFILL_MS: u64 = 250;

/// Why a shared part was prefilled.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    #[display("for the first time in these lines")]
    First,
    #[display("again: its gateway had started since")]
    GatewayRestarted,
    #[display("again: it was being read elsewhere")]
    InPrefill,
    #[display("again: believed to be gone, or not known")]
    Unknown,
}

/// When a shared part was placed for the first and for the last time.
#[derive(Debug)]
struct SharedPart {
    first_placed_ms: u64,
    last_placed_ms: u64,
}

/// The shared parts of all prompts.
#[derive(Debug, Default)]
pub struct Parts {
    /// Placed parts, by key.
    placed: BTreeMap<String, SharedPart>,
    /// Last start of each gateway, in milliseconds.
    gateway_starts: BTreeMap<String, u64>,
    prefilled_tokens: BTreeMap<Cause, u64>,
    cached_tokens: u64,
}

impl Parts {
    /// Records the start of a gateway.
    pub fn record_start(&mut self, gateway: &str, at_ms: u64) {
        self.gateway_starts.insert(gateway.to_owned(), at_ms);
    }

    /// Records a prompt that was placed: its parts as `KEY:TOKENS`, and how many of its first tokens were cached or could
    /// be fetched as far as its gateway knew.
    pub fn record_placement(&mut self, gateway: &str, at_ms: u64, parts: &str, cached_tokens: u64) {
        let parts: Vec<(&str, u64)> = parts
            .split_whitespace()
            .filter_map(|part| part.split_once(':'))
            .filter_map(|(key, tokens)| Some((key, tokens.parse().ok()?)))
            .collect();
        let mut end = 0;
        let mut counted = BTreeSet::new();
        // the last part is not shared with other requests
        for (key, tokens) in parts.iter().take(parts.len().saturating_sub(1)) {
            end += tokens;
            if end <= cached_tokens {
                self.cached_tokens += tokens;
            } else if counted.insert(*key) {
                let cause = self.prefill_cause(gateway, at_ms, key);
                *self.prefilled_tokens.entry(cause).or_default() += tokens;
            }
            let shared = self.placed.entry((*key).to_owned()).or_insert(SharedPart {
                first_placed_ms: at_ms,
                last_placed_ms: at_ms,
            });
            shared.last_placed_ms = at_ms;
        }
    }

    fn prefill_cause(&self, gateway: &str, at_ms: u64, key: &str) -> Cause {
        let started_ms = self.gateway_starts.get(gateway).copied().unwrap_or(0);
        match self.placed.get(key) {
            None => Cause::First,
            Some(shared) if at_ms.saturating_sub(shared.first_placed_ms) < ASSUMED_PREFILL_MS => {
                Cause::InPrefill
            }
            Some(shared) if started_ms > shared.last_placed_ms => Cause::GatewayRestarted,
            Some(_) => Cause::Unknown,
        }
    }

    /// Writes the number of cached tokens, and the number of prefilled tokens by cause.
    pub fn print(&self, to: &mut impl io::Write) -> io::Result<()> {
        writeln!(to, "{:<44} {:>12}", "shared parts", "tokens")?;
        writeln!(to, "{:<44} {:>12}", "held, or fetched", self.cached_tokens)?;
        for (cause, tokens) in &self.prefilled_tokens {
            writeln!(to, "{:<44} {tokens:>12}", cause.to_string())?;
        }
        Ok(())
    }
}
