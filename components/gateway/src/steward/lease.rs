//! The steward's lease in the store.

use std::time::Duration;

use clock::Instant;
use cloud::table::{Outcome, Read, Row, Transaction};
use protocol::{
    Incarnation,
    lease::{self, Lease, Renewal, Watch},
    millis,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::process::{Gateway, Phase};

/// The row that changes with the holder, and the one that changes with each renewal; both begin alike, so
/// that one call reads them.
const PREFIX: &str = "steward/";
const LEASE: &str = "steward/lease";
const RENEWAL: &str = "steward/renewal";
/// A lease's term, as a part of the time that must lie between two holders' orders: short, so that a
/// successor is found soon; the rest of that time it waits before its first order.
const TERM: f64 = 0.8;
/// How often in a term the holder renews.
const RENEWALS: u32 = 4;
/// How many gateways look after the lease of another one. The rest save the calls.
const CANDIDATES: usize = 1;
/// How long an order may be on its way.
const ON_THE_WAY: Duration = Duration::from_millis(400);

/// What this process knows of the lease.
#[derive(Debug, Default)]
pub struct Seat {
    watch: Option<Watch>,
    held: Option<Held>,
    /// The last epoch that this process took.
    taken: u64,
    /// When the lease was last read or renewed.
    visited: Option<Instant>,
    started: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    epoch: u64,
    /// The version of the lease row.
    version: u64,
    renewals: u64,
    /// Until when this process may act.
    until: Instant,
    /// From when on it may order: another holder's last order must lie long enough back.
    orders_from: Instant,
}

impl Seat {
    /// Until when this process may act as the steward.
    pub fn until(&self) -> Option<Instant> {
        self.held.map(|held| held.until)
    }

    /// The number that goes with its orders: higher than that of all stewards before.
    pub fn epoch(&self) -> Option<u64> {
        self.held.map(|held| held.epoch)
    }

    /// Whether this process may order now.
    pub fn may_order(&self, now: Instant) -> bool {
        self.held
            .is_some_and(|held| held.orders_from <= now && now < held.until)
    }

    /// Renews the lease, or looks whether it is to be had, when it is time.
    pub async fn visit(&mut self, gateway: &Gateway) {
        let now = Instant::now();
        let term = gateway.settings.bounds.lease_ms.mul_f64(TERM);
        let due = self
            .visited
            .is_none_or(|visited| now - visited >= term / RENEWALS);
        let ceded = gateway.peers.ceded_epoch();
        match self.held {
            _ if !due && (self.held.is_some() || ceded <= self.taken) => {}
            Some(_) if *gateway.phase.borrow() != Phase::Serving => self.release(gateway).await,
            Some(held) if now >= held.until => {
                self.lose(gateway, "the lease was not renewed in time");
            }
            Some(held) => self.renew(gateway, held, term).await,
            // whoever follows the lists finds out when it is back
            None if !gateway.store_answers() => {}
            None if may_stand(gateway) => self.stand(gateway, term, ceded).await,
            None => self.watch = None,
        }
    }

    fn lose(&mut self, gateway: &Gateway, why: &str) {
        if let Some(held) = self.held.take() {
            gateway.steward.cede(held.epoch);
        }
        self.watch = None;
        log::info!(why; "no longer the steward");
    }

    async fn renew(&mut self, gateway: &Gateway, held: Held, term: Duration) {
        // counted from before the request was sent
        let sent = Instant::now();
        self.visited = Some(sent);
        let renewal = Renewal {
            epoch: held.epoch,
            count: held.renewals + 1,
        };
        let transaction = Transaction::default()
            .check(LEASE, held.version)
            .write(RENEWAL, json(&renewal));
        let outcome = gateway.edges.table.commit(transaction).await;
        gateway.count_call("renew", outcome.is_ok());
        match outcome {
            Ok(Outcome::Committed(_)) => {
                self.held = Some(Held {
                    renewals: renewal.count,
                    until: until(sent, term),
                    ..held
                });
            }
            Ok(Outcome::Conflict(_)) => self.lose(gateway, "another gateway holds the lease"),
            Err(error) => {
                gateway.note_store(false);
                log::warn!(error:%; "the steward's lease was not renewed");
                // one that the store still answers takes over sooner than the lease lapses
                if gateway.peers.is_store_available() {
                    self.lose(gateway, "the store answers peers and not this process");
                }
            }
        }
    }

    async fn release(&mut self, gateway: &Gateway) {
        let Some(held) = self.held else {
            return;
        };
        let lease = Lease {
            epoch: held.epoch,
            holder: None,
        };
        let transaction = Transaction::default()
            .check(LEASE, held.version)
            .write(LEASE, json(&lease));
        if let Err(error) = gateway.edges.table.commit(transaction).await {
            log::warn!(error:%; "the steward's lease was not released; it lapses");
        }
        self.lose(gateway, "this process stops");
    }

    /// Watches the lease, and takes it when its holder has let it lapse.
    async fn stand(&mut self, gateway: &Gateway, term: Duration, ceded: u64) {
        let asked = Instant::now();
        self.visited = Some(asked);
        let started = *self.started.get_or_insert(asked);
        let read = Read {
            keys: Vec::new(),
            prefixes: vec![PREFIX.to_owned()],
        };
        let read = gateway.edges.table.read(read).await;
        gateway.count_call("lease", read.is_ok());
        let rows = match read {
            Ok(rows) => rows,
            Err(error) => {
                gateway.note_store(false);
                log::warn!(error:%; "the steward's lease was not read");
                return;
            }
        };
        let row = rows.iter().find(|row| row.key == LEASE);
        let lease: Option<Lease> = row.and_then(typed);
        let renewal: Renewal = rows
            .iter()
            .find(|row| row.key == RENEWAL)
            .and_then(typed)
            .unwrap_or_default();
        let now_ms = millis(started.elapsed());
        match &mut self.watch {
            Some(watch) => watch.see(renewal, now_ms),
            None => self.watch = Some(Watch::new(renewal, now_ms)),
        }
        let lapsed = self
            .watch
            .is_some_and(|watch| watch.lapsed(lease.as_ref(), now_ms, millis(term)));
        let epoch = lease.map_or(0, |lease| lease.epoch);
        let given_up = epoch > 0 && ceded >= epoch;
        if lapsed || given_up {
            let version = row.map_or(0, |row| row.version);
            let pause = match gateway.peers.time_since_last_order() {
                // the former holder has said when it ordered last
                Some(ago) if given_up => gateway.settings.bounds.lease_ms.saturating_sub(ago),
                _ => pause(gateway, lease.as_ref(), term),
            };
            self.take(gateway, lease, version, term, pause).await;
        }
    }

    async fn take(
        &mut self,
        gateway: &Gateway,
        lease: Option<Lease>,
        version: u64,
        term: Duration,
        pause: Duration,
    ) {
        let sent = Instant::now();
        let next = lease::take(lease.as_ref(), Incarnation(gateway.incarnation));
        let renewal = Renewal {
            epoch: next.epoch,
            count: 0,
        };
        let transaction = Transaction::default()
            .check(LEASE, version)
            .write(LEASE, json(&next))
            .write(RENEWAL, json(&renewal));
        let outcome = gateway.edges.table.commit(transaction).await;
        gateway.count_call("take", outcome.is_ok());
        match outcome {
            Ok(Outcome::Committed(version)) => {
                self.taken = next.epoch;
                self.held = Some(Held {
                    epoch: next.epoch,
                    version,
                    renewals: 0,
                    until: until(sent, term),
                    orders_from: Instant::now() + pause,
                });
                log::info!(epoch = next.epoch, pause_ms = millis(pause); "became the steward");
            }
            Ok(Outcome::Conflict(_)) => self.watch = None,
            Err(error) => {
                // it may still be done; then this process sees itself as a holder that lets it lapse
                self.watch = None;
                log::warn!(error:%; "the steward's lease was not taken");
            }
        }
    }
}

/// How long a new holder waits before its first order. The former one could order until its term was
/// over but for the margin, and an order may be some time on its way.
fn pause(gateway: &Gateway, lease: Option<&Lease>, term: Duration) -> Duration {
    // the first steward of all follows nobody
    lease.map_or(Duration::ZERO, |_| {
        let margin = term.saturating_sub(Duration::from_millis(lease::until(0, millis(term))));
        (gateway.settings.bounds.lease_ms + ON_THE_WAY).saturating_sub(margin)
    })
}

/// Whether this process should look after the lease: it is among the first of the gateways that can be
/// heard and don't hold it. They look all the time, as a term is counted from the last renewal seen.
fn may_stand(gateway: &Gateway) -> bool {
    *gateway.phase.borrow() == Phase::Serving
        && gateway.peers.store_rank(gateway.settings.gateway.peers) < CANDIDATES
}

fn until(sent: Instant, term: Duration) -> Instant {
    // the same margin as in the checked protocol
    sent + Duration::from_millis(lease::until(0, millis(term)))
}

fn json<T: Serialize>(value: &T) -> String {
    // rows of plain fields always have a JSON form
    serde_json::to_string(value).unwrap_or_default()
}

fn typed<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_str(&row.value)
        .inspect_err(|error| log::error!(key = row.key, error:%; "a row can't be read"))
        .ok()
}
