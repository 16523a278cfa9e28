//! Orders to engines: the intent is committed first, then the order is sent, then its outcome is
//! committed. See `docs/DESIGN.md#orders-to-engines`.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Role of an engine.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill only.
    #[display("prefill")]
    Prefill,
    /// Decode only.
    #[display("decode")]
    Decode,
    /// Prefill and decode.
    #[default]
    #[display("mixed")]
    Mixed,
}

impl std::str::FromStr for Role {
    type Err = UnknownRole;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            "mixed" => Ok(Self::Mixed),
            _ => Err(UnknownRole),
        }
    }
}

/// Error of a text that is not the name of a role.
#[derive(Clone, Copy, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("a role is prefill, decode or mixed")]
pub struct UnknownRole;

/// Wanted state of an engine. An order gives it in full, never as a change, so that orders are
/// idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Wanted {
    /// Role of the engine.
    pub role: Role,
    /// Model to load; if empty, the loaded model stays.
    pub model: String,
    /// Adapter of the model.
    pub adapter: String,
    /// Version of the model.
    pub version: String,
}

/// Stage of an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Daemons are asked to stop dispatching; the order has not been sent and is not sent at this
    /// stage.
    #[display("closing")]
    Closing,
    /// The order may have been sent, or may be sent at any time.
    #[display("intent")]
    Intent,
    /// The sender's call has ended, and the engine has the wanted state.
    #[display("done")]
    Done,
    /// The sender's call has ended, or was never made, and the engine isn't known to have the
    /// wanted state. If the order may still take effect, its sender is in `possible_senders`.
    #[display("failed")]
    Failed,
    /// Abandoned while closing; daemons dispatch again.
    #[display("reopened")]
    Reopened,
}

/// Row of the latest order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Number of the order, also its fencing number; incremented with each new order.
    pub number: u64,
    /// Epoch of the lease under which the row was committed.
    pub epoch: u64,
    /// Process that may send the order.
    pub sender: Incarnation,
    /// Senders whose copy of this order may still take effect.
    #[serde(rename = "earlier")]
    pub possible_senders: Vec<Incarnation>,
    /// Wanted state of the engine.
    pub wanted: Wanted,
    /// Stage of the order.
    pub stage: Stage,
}

impl Row {
    /// Whether this row forbids daemons to dispatch to the endpoint.
    ///
    /// At the stage `Intent`, and at `Failed` with possible senders, the order may take effect at
    /// any time. That does no harm if the engine has the wanted state already (`reached`), since
    /// orders are idempotent.
    #[must_use]
    pub fn blocks_dispatch(&self, reached: bool) -> bool {
        match self.stage {
            Stage::Closing => true,
            Stage::Intent => !reached,
            Stage::Failed => !self.possible_senders.is_empty() && !reached,
            Stage::Done | Stage::Reopened => false,
        }
    }
}

/// Next step of a steward for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Commit this row, then ask the daemons to close.
    Close(Row),
    /// Commit this row: the order was not sent, so daemons may dispatch again.
    Reopen(Row),
    /// Commit this row, then send the same order again, which is safe since orders are idempotent.
    Resend(Row),
    /// Wait until this process is certainly gone: a different order that it sent may still take
    /// effect.
    Wait(Incarnation),
    /// Nothing to do: the last order reached the wanted state.
    Nothing,
}

/// Decides the next step of a steward that holds the lease with `epoch`.
///
/// `is_gone` tells whether an incarnation certainly sends nothing any more. If the engine checks
/// fencing numbers (`fences`), a new order doesn't wait for the possible senders of the last one,
/// since its higher number makes the engine refuse the older order. `no_copy_in_flight` tells that
/// no copy of this order that `me` may have sent can take effect any more: it was never sent, or
/// its call has ended.
///
/// Must be called only while `me` has no order to this endpoint in flight. A row with `me` as
/// sender that is still open was therefore left behind by a commit that failed or whose response
/// was lost.
#[must_use]
pub fn next_step(
    row: Option<&Row>,
    wanted: &Wanted,
    me: Incarnation,
    epoch: u64,
    fences: bool,
    no_copy_in_flight: bool,
    is_gone: impl Fn(Incarnation) -> bool,
) -> Step {
    let Some(row) = row else {
        return Step::Close(closing_row(None, wanted, me, epoch));
    };
    match row.stage {
        // the former steward can't commit its intent any more, so it can't send the order
        Stage::Closing => Step::Reopen(Row {
            stage: Stage::Reopened,
            epoch,
            ..row.clone()
        }),
        Stage::Intent => Step::Resend(adopted_row(row, me, epoch, no_copy_in_flight, is_gone)),
        Stage::Done if row.wanted == *wanted => Step::Nothing,
        Stage::Done | Stage::Failed | Stage::Reopened => {
            let possible_sender = (!fences)
                .then(|| row.possible_senders.iter().find(|other| !is_gone(**other)))
                .flatten();
            match possible_sender {
                Some(_) if row.wanted == *wanted && row.stage == Stage::Failed => {
                    Step::Resend(adopted_row(row, me, epoch, no_copy_in_flight, is_gone))
                }
                Some(other) => Step::Wait(*other),
                None => Step::Close(closing_row(Some(row), wanted, me, epoch)),
            }
        }
    }
}

fn closing_row(row: Option<&Row>, wanted: &Wanted, me: Incarnation, epoch: u64) -> Row {
    Row {
        number: row.map_or(1, |row| row.number + 1),
        epoch,
        sender: me,
        possible_senders: Vec::new(),
        wanted: wanted.clone(),
        stage: Stage::Closing,
    }
}

fn adopted_row(
    row: &Row,
    me: Incarnation,
    epoch: u64,
    no_copy_in_flight: bool,
    is_gone: impl Fn(Incarnation) -> bool,
) -> Row {
    let may_take_effect = row.stage == Stage::Intent && (row.sender != me || !no_copy_in_flight);
    let mut possible_senders: Vec<Incarnation> = row
        .possible_senders
        .iter()
        .copied()
        .chain(may_take_effect.then_some(row.sender))
        .filter(|other| !is_gone(*other))
        .collect();
    possible_senders.sort_unstable();
    possible_senders.dedup();
    Row {
        epoch,
        sender: me,
        possible_senders,
        stage: Stage::Intent,
        ..row.clone()
    }
}

/// Returns the row that commits the intent, once all daemons have closed their gates.
#[must_use]
pub fn intent_row(row: &Row) -> Row {
    Row {
        stage: Stage::Intent,
        ..row.clone()
    }
}

/// Outcome of a sender's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The engine has the wanted state.
    Reached,
    /// The engine doesn't have the wanted state and the order can't take effect later: it was
    /// refused, never sent, or lost in a restart of the engine.
    NotReached,
    /// The answer was lost: the order may still take effect.
    Lost,
}

/// Returns the row that commits the outcome, once the sender's call has ended.
#[must_use]
pub fn outcome_row(row: &Row, outcome: CallOutcome) -> Row {
    let mut next = row.clone();
    match outcome {
        CallOutcome::Reached => next.stage = Stage::Done,
        CallOutcome::NotReached => next.stage = Stage::Failed,
        CallOutcome::Lost => {
            next.stage = Stage::Failed;
            next.possible_senders.push(row.sender);
            next.possible_senders.sort_unstable();
            next.possible_senders.dedup();
        }
    }
    next
}

/// Whether an engine that checks fencing numbers accepts an order.
#[must_use]
pub fn passes_fencing(highest: u64, number: u64) -> bool {
    number >= highest
}
