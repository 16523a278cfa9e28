//! Orders to an engine: the intent is committed first, then the order is sent, then its outcome is
//! committed. See `docs/DESIGN.md#orders-to-engines`.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// What an engine is for.
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
    /// Reads prompts only.
    #[display("prefill")]
    Prefill,
    /// Writes answers only.
    #[display("decode")]
    Decode,
    /// Does both.
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

/// The text names no role.
#[derive(Clone, Copy, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("a role is prefill, decode or mixed")]
pub struct UnknownRole;

/// The end that an order wants, never a toggle.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Wanted {
    /// The role.
    pub role: Role,
    /// The model to hold; empty leaves what is loaded.
    pub model: String,
    /// The adapter.
    pub adapter: String,
    /// The version.
    pub version: String,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Daemons are asked to stop dispatching; nothing was or will be sent at this stage.
    #[display("closing")]
    Closing,
    /// The order may be on its way at any moment.
    #[display("intent")]
    Intent,
    /// Its sender knows that its call has ended and the engine has the wanted end.
    #[display("done")]
    Done,
    /// Its sender knows that its call has ended, or that it never sent it; the end wasn't reached.
    #[display("failed")]
    Failed,
    /// Given up while closing; daemons dispatch again.
    #[display("reopened")]
    Reopened,
}

/// The row of the latest order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// The order's number, which is its fencing number; each new order adds one.
    pub number: u64,
    /// The epoch it was committed under.
    pub epoch: u64,
    /// Who may send it.
    pub sender: Incarnation,
    /// Earlier incarnations that may still send this same order.
    pub earlier: Vec<Incarnation>,
    /// What it wants.
    pub wanted: Wanted,
    /// How far it has come.
    pub stage: Stage,
}

impl Row {
    /// Whether daemons must not dispatch to the endpoint on account of this row.
    ///
    /// While an intent is open the order may strike at any moment, unless the engine already has
    /// the wanted end: an order is idempotent.
    #[must_use]
    pub fn blocks_dispatch(&self, reached: bool) -> bool {
        match self.stage {
            Stage::Closing => true,
            Stage::Intent => !reached,
            Stage::Failed => !self.earlier.is_empty() && !reached,
            Stage::Done | Stage::Reopened => false,
        }
    }
}

/// What a steward may do next for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Commit this row, then ask the daemons to close.
    Close(Row),
    /// Commit this row: nothing was sent, so daemons may dispatch again.
    Reopen(Row),
    /// Commit this row, then send the order again: the same one, which changes nothing twice.
    Resend(Row),
    /// A different order may still strike; wait until its sender is certainly gone.
    Wait(Incarnation),
    /// The endpoint has, or is getting, what is wanted.
    Nothing,
}

/// Decides the next step of a steward that holds `epoch`.
///
/// `gone` tells of incarnations that certainly can't send any more: off the VM list, or their
/// address answers as another incarnation. For an engine that checks fencing numbers it isn't
/// asked, since a newer number ends the older order. `clean` says that no copy of this order that
/// `me` may have sent can strike any more: it never left, or its call has ended.
///
/// It is asked only while `me` carries no order to this endpoint out, so a row of its own that is
/// still open was left behind by a lost answer of the table.
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
        // the former steward can't commit its intent any more, so nothing of it can be sent
        Stage::Closing => Step::Reopen(Row {
            stage: Stage::Reopened,
            epoch,
            ..row.clone()
        }),
        Stage::Intent => Step::Resend(adopted_row(row, me, epoch, no_copy_in_flight, is_gone)),
        Stage::Done if row.wanted == *wanted => Step::Nothing,
        Stage::Done | Stage::Failed | Stage::Reopened => {
            let possible_sender = (!fences)
                .then(|| row.earlier.iter().find(|other| !is_gone(**other)))
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
        earlier: Vec::new(),
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
    let mut earlier: Vec<Incarnation> = row
        .earlier
        .iter()
        .copied()
        .chain(may_take_effect.then_some(row.sender))
        .filter(|other| !is_gone(*other))
        .collect();
    earlier.sort_unstable();
    earlier.dedup();
    Row {
        epoch,
        sender: me,
        earlier,
        stage: Stage::Intent,
        ..row.clone()
    }
}

/// The row that commits an intent after all daemons have closed.
#[must_use]
pub fn intent_row(row: &Row) -> Row {
    Row {
        stage: Stage::Intent,
        ..row.clone()
    }
}

/// How a sender's call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The engine has what was wanted.
    Reached,
    /// The engine refused, or the order never left; it can't strike later.
    NotReached,
    /// The call was lost: the order may still strike.
    Lost,
}

/// The row that commits an outcome, after the sender's call has ended.
#[must_use]
pub fn outcome_row(row: &Row, outcome: CallOutcome) -> Row {
    let mut next = row.clone();
    match outcome {
        CallOutcome::Reached => next.stage = Stage::Done,
        CallOutcome::NotReached => next.stage = Stage::Failed,
        CallOutcome::Lost => {
            next.stage = Stage::Failed;
            next.earlier.push(row.sender);
            next.earlier.sort_unstable();
            next.earlier.dedup();
        }
    }
    next
}

/// Whether an engine that checks fencing numbers takes an order.
#[must_use]
pub fn passes_fencing(highest: u64, number: u64) -> bool {
    number >= highest
}
