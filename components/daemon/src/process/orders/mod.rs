//! Carries orders out: close, intent, send, outcome. See `docs/DESIGN.md#orders-to-engines`.

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
    steward::{self, Held},
    store,
};

/// Prefix of the rows of orders.
pub const PREFIX: &str = "order/";
/// Prefix of the rows in which operators ask for orders.
pub const REQUESTS: &str = "request/";
/// How long a lost order's effect is looked for in the engine's reports.
const LOOK: Duration = Duration::from_secs(30);
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for the engine's answer to an order.
const ANSWER: Duration = Duration::from_secs(120);
/// Between two looks at the rows of closed endpoints.
const REOPEN_PAUSE: Duration = Duration::from_secs(1);
/// What a peer's answer may take beyond its own wait.
const SLACK: Duration = Duration::from_secs(2);

/// What an endpoint should become, and the operator's row that asks for it.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The endpoint.
    pub id: Id,
    /// What it should have.
    pub wanted: Wanted,
    /// Key and version of the operator's row.
    pub row: Option<(String, u64)>,
}

/// The next thing to do with an endpoint; rows come with the version that they replace.
#[derive(Clone, Debug)]
pub enum Task {
    /// Close it everywhere, then send the order.
    Close(Wish, Row, u64),
    /// Nothing was sent: open it again.
    Reopen(Id, Row, u64),
    /// Send the same order again.
    Resend(Wish, Row, u64),
    /// The operator's wish holds: take its row away.
    Fulfilled(Wish),
}

/// The key of an endpoint's order.
pub fn key_of(id: &Id) -> String {
    format!("{PREFIX}{}/{}", id.data_centre, id.number)
}

/// The endpoint of an order's key.
pub fn id_of(key: &str) -> Option<Id> {
    let (data_centre, number) = key.strip_prefix(PREFIX)?.split_once('/')?;
    Some(Id {
        data_centre: data_centre.into(),
        number: number.parse().ok()?,
    })
}

/// Carries a task out as far as it goes.
pub async fn carry_out(process: &Arc<Process>, held: &Held, task: Task) {
    match task {
        Task::Fulfilled(wish) => fulfilled(process, held, &wish).await,
        Task::Reopen(id, row, version) => {
            if commit(process, held, &id, &row, version).await.is_some() {
                announce(process, &id, row.number).await;
            }
        }
        Task::Resend(wish, row, version) => {
            // whoever closed for it stays closed until its outcome is known
            if let Some(version) = commit(process, held, &wish.id, &row, version).await {
                send(process, held, &wish, &row, version).await;
            }
        }
        Task::Close(wish, row, version) => close(process, held, wish, row, version).await,
    }
}

async fn close(process: &Arc<Process>, held: &Held, wish: Wish, row: Row, version: u64) {
    let Some(version) = commit(process, held, &wish.id, &row, version).await else {
        return;
    };
    let closed = closing::ask_all(process, &wish.id, row.number).await;
    if !closed {
        let reopened = Row {
            stage: Stage::Reopened,
            ..row.clone()
        };
        // should this fail too, the successor reopens
        if commit(process, held, &wish.id, &reopened, version)
            .await
            .is_some()
        {
            announce(process, &wish.id, row.number).await;
        }
        return;
    }
    let intent = order::intent_row(&row);
    if let Some(version) = commit(process, held, &wish.id, &intent, version).await {
        send(process, held, &wish, &intent, version).await;
    }
}

/// Commits a row under the steward's lease; gives its new version, none when it isn't certain that
/// the row stands.
async fn commit(process: &Process, held: &Held, id: &Id, row: &Row, version: u64) -> Option<u64> {
    let key = key_of(id);
    let text = store::text(row);
    let transaction = Transaction::default()
        .check(&held.key, held.version)
        .check(&key, version)
        .write(&key, text.clone());
    match process.store.commit_sure(transaction, &key, &text).await {
        Ok(Outcome::Committed(version)) => {
            note(process, id, row);
            Some(version)
        }
        Ok(Outcome::Conflict(_)) => {
            log::warn!("{id}: order {} lost its authority", row.number);
            None
        }
        Err(error) => {
            log::warn!("{id}: order {}: {error}", row.number);
            None
        }
    }
}

fn note(process: &Process, id: &Id, row: &Row) {
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

async fn send(process: &Arc<Process>, held: &Held, wish: &Wish, row: &Row, version: u64) {
    let Some((address, boot)) = target(process, &wish.id) else {
        return;
    };
    let order = Order {
        number: row.number,
        wanted: row.wanted.clone(),
    };
    if !steward::acts(process, held) {
        // woken after the lease lapsed: the order never leaves, and that is worth saying
        withdraw(process, &wish.id, row.number).await;
        return;
    }
    let ended = match process.engine.order(address, &order, ANSWER).await {
        Ok(()) => CallOutcome::Reached,
        Err(Failure::NotSent | Failure::Refused(_)) => CallOutcome::NotReached,
        Err(Failure::Lost) => look(process, address, row, boot).await,
    };
    if ended == CallOutcome::Lost {
        process.lose_order(&wish.id, row.number);
    }
    let next = order::outcome_row(row, ended);
    let mut pause = LOOK_PAUSE;
    // the outcome is known for certain, so it is worth telling when the table is back
    let mut known = false;
    for _ in 0..OUTCOME_TRIES {
        known = commit(process, held, &wish.id, &next, version)
            .await
            .is_some();
        if known {
            break;
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
    if !known && ended != CallOutcome::Lost {
        withdraw(process, &wish.id, row.number).await;
    }
    if !next.blocks_dispatch(ended == CallOutcome::Reached) {
        announce(process, &wish.id, row.number).await;
    }
    // a former steward's order is finished first; a later wish stays for the next one
    if ended == CallOutcome::Reached && row.wanted == wish.wanted {
        fulfilled(process, held, wish).await;
    }
}

const OUTCOME_TRIES: u32 = 5;

/// Gives a former sender's own word that its call has ended: a successor need not wait for it any
/// more. It takes nothing but its own name out of the row, so it needs no lease.
async fn withdraw(process: &Process, id: &Id, number: u64) {
    if process.is_lost(id, number) {
        // an earlier copy of this order may still strike
        return;
    }
    let key = key_of(id);
    let Ok(rows) = process.store.read(store::rows(&[&key])).await else {
        return;
    };
    let found = store::find(&rows, &key);
    let Some(mut row) = store::value::<Row>(found) else {
        return;
    };
    let named = row.earlier.binary_search(&process.me);
    if let (true, Ok(at)) = (row.number == number, named) {
        row.earlier.remove(at);
        let transaction = Transaction::default()
            .check(&key, store::version(found))
            .write(&key, store::text(&row));
        // unsaid, it is found gone when this process ends
        let _ = process.store.commit(transaction).await;
    }
}

fn target(process: &Process, id: &Id) -> Option<(SocketAddr, Option<u64>)> {
    process.all_pools().iter().find_map(|pool| {
        pool.with(id, |entry| {
            let boot = entry.report.as_ref().map(|(report, _)| report.boot);
            (entry.endpoint.address, boot)
        })
    })
}

/// Looks for the effect of an order whose answer was lost. It was sent once; when the engine's
/// report shows its number, that one copy has arrived. When the engine has started anew, the copy
/// is lost with the connection.
async fn look(process: &Process, address: SocketAddr, row: &Row, boot: Option<u64>) -> CallOutcome {
    let until = tokio::time::Instant::now() + LOOK;
    while tokio::time::Instant::now() < until {
        if let Ok(report) = process.engine.report(address, LOOK_PAUSE).await {
            let taken = report.number >= row.number && !report.changing;
            match () {
                () if boot.is_some_and(|boot| boot != report.boot) => {
                    return CallOutcome::NotReached;
                }
                () if taken && report.holds == row.wanted => return CallOutcome::Reached,
                () if taken => return CallOutcome::NotReached,
                () => {}
            }
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    CallOutcome::Lost
}

/// Takes the operator's row away when its wish holds.
async fn fulfilled(process: &Process, held: &Held, wish: &Wish) {
    let Some((key, version)) = &wish.row else {
        return;
    };
    let transaction = Transaction::default()
        .check(&held.key, held.version)
        .check(key, *version)
        .remove(key);
    // a wish that stays is found fulfilled the next time
    let _ = process.store.commit(transaction).await;
}

/// Tells all daemons that an order's outcome is known. Whoever misses it reads the row.
async fn announce(process: &Arc<Process>, id: &Id, number: u64) {
    process.gates.open(id, number);
    for pool in process.all_pools() {
        pool.wake();
    }
    let tells = process
        .members
        .addresses(process.addresses.peers)
        .into_iter()
        .map(|address| notify(process, id, number, address));
    futures::future::join_all(tells).await;
}

async fn notify(process: &Process, id: &Id, number: u64, address: SocketAddr) {
    let open = wire::OpenRequest {
        endpoint: id.number,
        data_centre: id.data_centre.to_string(),
        number,
    };
    if let Some(mut client) = process.members.client(address) {
        let _ = tokio::time::timeout(SLACK, client.open(open)).await;
    }
}

/// Opens endpoints whose order's outcome shows in its row, as long as the process lives.
pub async fn reopen(process: Arc<Process>) {
    loop {
        tokio::time::sleep(REOPEN_PAUSE).await;
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
            let Some(row) = store::value::<Row>(found) else {
                continue;
            };
            let reached = registration::reached(&process, &id, &row);
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
