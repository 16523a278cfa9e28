//! Carries out orders: close the endpoint, commit the intent, send the order, commit the outcome. See
//! `docs/DESIGN.md#orders-to-engines`.

mod closing;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cloud::table::{Outcome, Read, Transaction};
use endpoint::{Failure, engine::Order};
use protocol::order::{self, CallOutcome, Row, Stage, Wanted};
use telemetry::timeline::Kind;

use super::{
    Process,
    gates::Id,
    registration,
    steward::{self, HeldLease},
    store,
};

/// Prefix of the row keys of orders.
pub const PREFIX: &str = "order/";
/// Prefix of the row keys of changes requested by operators.
pub const REQUEST_PREFIX: &str = "request/";
/// How long the engine's reports are polled for the effect of an order whose response was lost.
const LOST_ORDER_TIMEOUT: Duration = Duration::from_secs(30);
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for an engine's response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval between reads of the rows of closed endpoints.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);
/// Time allowed for a peer's reply beyond the time that the peer itself waits.
const REPLY_MARGIN: Duration = Duration::from_secs(2);

/// A state that an endpoint should reach, and the operator's row that requests it, if any.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    pub id: Id,
    /// The wanted state.
    pub wanted: Wanted,
    /// Key and version of the operator's row.
    pub operator_row: Option<(String, u64)>,
}

/// The next action for an endpoint. Rows come with the version that they replace.
#[derive(Clone, Debug)]
pub enum Task {
    /// Close the endpoint at all daemons, then commit the intent and send the order.
    CloseAndOrder(ChangeRequest, Row, u64),
    /// Nothing was sent: open the endpoint again.
    Reopen(Id, Row, u64),
    /// Send the same order again.
    Resend(ChangeRequest, Row, u64),
    /// The wanted state is reached: remove the operator's row.
    Fulfilled(ChangeRequest),
}

/// Returns the row key of the order to an endpoint.
pub fn key_of(id: &Id) -> String {
    format!("{PREFIX}{}/{}", id.data_centre, id.number)
}

/// Returns the endpoint of an order's row key.
pub fn id_of(key: &str) -> Option<Id> {
    let (data_centre, number) = key.strip_prefix(PREFIX)?.split_once('/')?;
    Some(Id {
        data_centre: data_centre.into(),
        number: number.parse().ok()?,
    })
}

/// Carries out a task as far as possible.
pub async fn execute(process: &Arc<Process>, held: &HeldLease, task: Task) {
    match task {
        Task::Fulfilled(request) => remove_request(process, held, &request).await,
        Task::Reopen(id, row, version) => {
            if commit(process, held, &id, &row, version).await.is_some() {
                announce_outcome(process, &id, row.number).await;
            }
        }
        Task::Resend(request, row, version) => {
            // daemons that closed the endpoint for this order keep it closed until the outcome is known
            if let Some(version) = commit(process, held, &request.id, &row, version).await {
                send(process, held, &request, &row, version).await;
            }
        }
        Task::CloseAndOrder(request, row, version) => {
            close_and_send(process, held, request, row, version).await;
        }
    }
}

async fn close_and_send(
    process: &Arc<Process>,
    held: &HeldLease,
    request: ChangeRequest,
    row: Row,
    version: u64,
) {
    let Some(version) = commit(process, held, &request.id, &row, version).await else {
        return;
    };
    let closed = closing::close_everywhere(process, &request.id, row.number).await;
    if !closed {
        let reopened = Row {
            stage: Stage::Reopened,
            ..row.clone()
        };
        // if this fails too, the next steward reopens the endpoint
        if commit(process, held, &request.id, &reopened, version)
            .await
            .is_some()
        {
            announce_outcome(process, &request.id, row.number).await;
        }
        return;
    }
    let intent = order::intent_row(&row);
    if let Some(version) = commit(process, held, &request.id, &intent, version).await {
        send(process, held, &request, &intent, version).await;
    }
}

/// Commits a row under the steward's lease. Returns the row's new version, or `None` if it is not certain
/// that the row was written.
async fn commit(
    process: &Process,
    held: &HeldLease,
    id: &Id,
    row: &Row,
    version: u64,
) -> Option<u64> {
    let key = key_of(id);
    let text = store::to_json(row);
    let transaction = Transaction::default()
        .check(&held.key, held.version)
        .check(&key, version)
        .write(&key, text.clone());
    match process
        .store
        .commit_confirmed(transaction, &key, &text)
        .await
    {
        Ok(Outcome::Committed(version)) => {
            record_stage(process, id, row);
            Some(version)
        }
        Ok(Outcome::Conflict(_)) => {
            log::warn!(
                "{id}: commit of order {} rejected: the lease or the order's row has changed",
                row.number
            );
            None
        }
        Err(error) => {
            log::warn!("{id}: commit of order {} failed: {error}", row.number);
            None
        }
    }
}

fn record_stage(process: &Process, id: &Id, row: &Row) {
    let kind = match row.stage {
        Stage::Closing => Kind::OrderClosing,
        Stage::Intent => Kind::OrderIntent,
        Stage::Done => Kind::OrderDone,
        Stage::Failed => Kind::OrderFailed,
        Stage::Reopened => Kind::OrderReopened,
    };
    let detail = format!(
        "order {} epoch {}: {}",
        row.number, row.epoch, row.wanted.role
    );
    process.timeline.record(kind, id.to_string(), detail);
    let outcome = row.stage.to_string();
    process.metrics.orders.with_label_values(&[&outcome]).inc();
}

async fn send(
    process: &Arc<Process>,
    held: &HeldLease,
    request: &ChangeRequest,
    row: &Row,
    version: u64,
) {
    let Some((address, boot)) = address_and_boot(process, &request.id) else {
        return;
    };
    let order = Order {
        number: row.number,
        wanted: row.wanted.clone(),
    };
    if !steward::is_lease_valid(process, held) {
        // The lease has expired, as when the process was stopped for a while: the order will never be sent,
        // and recording that lets a successor proceed. A suspension of the machine is not noticed here,
        // because the lease is measured on a clock that stands still during it.
        withdraw_sender(process, &request.id, row.number).await;
        return;
    }
    let outcome = match process.engine.order(address, &order, ORDER_TIMEOUT).await {
        Ok(()) => CallOutcome::Reached,
        Err(Failure::NotSent | Failure::Refused(_)) => CallOutcome::NotReached,
        Err(Failure::Lost) => find_outcome(process, address, row, boot).await,
    };
    if outcome == CallOutcome::Lost {
        process.record_lost_order(&request.id, row.number);
    }
    let next = order::outcome_row(row, outcome);
    let mut backoff = REPORT_POLL_INTERVAL;
    // the outcome is certain, so it is worth retrying the commit until the table recovers
    let mut committed = false;
    for _ in 0..MAX_OUTCOME_COMMITS {
        committed = commit(process, held, &request.id, &next, version)
            .await
            .is_some();
        if committed {
            break;
        }
        tokio::time::sleep(backoff).await;
        backoff *= 2;
    }
    if !committed && outcome != CallOutcome::Lost {
        withdraw_sender(process, &request.id, row.number).await;
    }
    if !next.blocks_dispatch(outcome == CallOutcome::Reached) {
        announce_outcome(process, &request.id, row.number).await;
    }
    // an order of a former steward is completed first; a different request is handled by the next task
    if outcome == CallOutcome::Reached && row.wanted == request.wanted {
        remove_request(process, held, request).await;
    }
}

const MAX_OUTCOME_COMMITS: u32 = 5;

/// Records that the call of this former sender has ended, so that a successor need not wait for it. This
/// removes only the daemon's own entry from the row, so it needs no lease.
async fn withdraw_sender(process: &Process, id: &Id, number: u64) {
    if process.is_lost_order(id, number) {
        // an earlier copy of this order may still take effect
        return;
    }
    let key = key_of(id);
    let Ok(rows) = process.store.read(store::by_keys(&[&key])).await else {
        return;
    };
    let found = store::find(&rows, &key);
    let Some(mut row) = store::parse::<Row>(found) else {
        return;
    };
    let position = row.possible_senders.binary_search(&process.incarnation);
    if let (true, Ok(at)) = (row.number == number, position) {
        row.possible_senders.remove(at);
        let transaction = Transaction::default()
            .check(&key, store::version_of(found))
            .write(&key, store::to_json(&row));
        // if this fails, the successor waits until this process is gone
        let _ = process.store.commit(transaction).await;
    }
}

fn address_and_boot(process: &Process, id: &Id) -> Option<(SocketAddr, Option<u64>)> {
    process.all_pools().iter().find_map(|pool| {
        pool.with_entry(id, |entry| {
            let boot = entry.report.as_ref().map(|(report, _)| report.boot);
            (entry.endpoint.address, boot)
        })
    })
}

/// Determines the outcome of an order whose response was lost. When the engine's report shows the order's
/// number, a copy of the order has arrived: this sender's or, after a resend, perhaps the one of an earlier
/// sender. If the engine has restarted, the copy counts as lost with the connection.
async fn find_outcome(
    process: &Process,
    address: SocketAddr,
    row: &Row,
    boot: Option<u64>,
) -> CallOutcome {
    let deadline = tokio::time::Instant::now() + LOST_ORDER_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if let Ok(report) = process.engine.report(address, REPORT_POLL_INTERVAL).await {
            let received = report.number >= row.number && !report.changing;
            match () {
                () if boot.is_some_and(|boot| boot != report.boot) => {
                    return CallOutcome::NotReached;
                }
                () if received && report.holds == row.wanted => return CallOutcome::Reached,
                () if received => return CallOutcome::NotReached,
                () => {}
            }
        }
        tokio::time::sleep(REPORT_POLL_INTERVAL).await;
    }
    CallOutcome::Lost
}

/// Removes the operator's row once the wanted state is reached.
async fn remove_request(process: &Process, held: &HeldLease, request: &ChangeRequest) {
    let Some((key, version)) = &request.operator_row else {
        return;
    };
    let transaction = Transaction::default()
        .check(&held.key, held.version)
        .check(key, *version)
        .remove(key);
    // if this fails, the row is found fulfilled in the next round
    let _ = process.store.commit(transaction).await;
}

/// Notifies all daemons that the outcome of an order is known. A daemon that misses it reads the row.
async fn announce_outcome(process: &Arc<Process>, id: &Id, number: u64) {
    process.gates.open(id, number);
    for pool in process.all_pools() {
        pool.wake();
    }
    let notifications = process
        .members
        .addresses(process.addresses.peers)
        .into_iter()
        .map(|address| notify_open(process, id, number, address));
    futures::future::join_all(notifications).await;
}

async fn notify_open(process: &Process, id: &Id, number: u64, address: SocketAddr) {
    let open = wire::OpenRequest {
        endpoint: id.number,
        data_centre: id.data_centre.to_string(),
        number,
    };
    if let Some(mut client) = process.members.client(address) {
        let _ = tokio::time::timeout(REPLY_MARGIN, client.open(open)).await;
    }
}

/// Opens closed endpoints once their rows show the outcome of the order.
pub async fn reopen_endpoints(process: Arc<Process>) {
    loop {
        tokio::time::sleep(REOPEN_INTERVAL).await;
        let closed = process.gates.closed();
        if closed.is_empty() {
            continue;
        }
        let read = Read {
            keys: closed.iter().map(|(id, _)| key_of(id)).collect(),
            prefixes: Vec::new(),
        };
        let Ok(rows) = process.store.read(read).await else {
            continue;
        };
        for (id, number) in closed {
            let found = store::find(&rows, &key_of(&id));
            let Some(row) = store::parse::<Row>(found) else {
                continue;
            };
            let reached = registration::has_wanted_state(&process, &id, &row);
            match () {
                () if row.number < number => {}
                () if row.blocks_dispatch(reached) => process.gates.close(&id, row.number),
                () => {
                    process.gates.open(&id, row.number);
                    process
                        .timeline
                        .record(Kind::Opened, id.to_string(), "by its row");
                }
            }
        }
        for pool in process.all_pools() {
            pool.wake();
        }
    }
}
