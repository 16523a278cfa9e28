//! The steward's lease in the store.

use std::time::Duration;

use clock::Instant;
use cloud::table::{Outcome, Read, Row, Transaction};
use protocol::{
    Incarnation,
    lease::{self, Lease, Renewal, RenewalWatch},
    millis,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::process::{Gateway, Phase};

/// The row that changes with the holder and the row that changes with each renewal. They share a prefix so
/// that one call reads both.
const ROW_PREFIX: &str = "steward/";
pub const LEASE_KEY: &str = "steward/lease";
const RENEWAL_KEY: &str = "steward/renewal";
/// The term of a lease as a fraction of the time that must lie between the orders of two holders. A short
/// term lets a successor take over soon; the successor waits for the rest of that time before its first
/// order.
const TERM_RATIO: f64 = 0.8;
const RENEWALS_PER_TERM: u32 = 4;
/// Number of gateways that watch a lease held by another. The others don't, to save calls to the store.
const CANDIDATES: usize = 1;
/// Maximum time that an order takes to arrive.
const MAX_ORDER_TRANSIT: Duration = Duration::from_millis(400);

/// What this process knows of the lease, and its part in acquiring and holding it.
#[derive(Debug, Default)]
pub struct LeaseKeeper {
    watch: Option<RenewalWatch>,
    held: Option<Held>,
    /// The last epoch in which this process acquired the lease.
    last_epoch: u64,
    /// When the lease was last read or renewed.
    last_call: Option<Instant>,
    started: Option<Instant>,
}

/// What a held lease allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The epoch of the lease, higher than that of all previous stewards; it is the fencing token of orders.
    pub epoch: u64,
    /// The version of the lease row, which transactions check.
    pub lease_version: u64,
    /// From when on orders may be given.
    pub order_from: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    epoch: u64,
    /// The version of the lease row.
    version: u64,
    renewals: u64,
    /// Until when this process may act as the steward.
    valid_until: Instant,
    /// When it may start to give orders: long enough after the last order of the previous holder.
    may_order_from: Instant,
}

impl LeaseKeeper {
    /// Returns until when this process may act as the steward.
    pub fn lease_end(&self) -> Option<Instant> {
        self.held.map(|held| held.valid_until)
    }

    /// Returns the authority that the lease gives.
    pub fn authority(&self) -> Option<Authority> {
        self.held.map(|held| Authority {
            epoch: held.epoch,
            lease_version: held.version,
            order_from: held.may_order_from,
        })
    }

    /// Renews the lease, or checks whether it can be acquired, when either is due.
    pub async fn update(&mut self, gateway: &Gateway) {
        let now = Instant::now();
        let term = gateway.settings.bounds.lease_ms.mul_f64(TERM_RATIO);
        let due = self
            .last_call
            .is_none_or(|last_call| now - last_call >= term / RENEWALS_PER_TERM);
        let ceded = gateway.peers.ceded_epoch();
        match self.held {
            _ if !due && (self.held.is_some() || ceded <= self.last_epoch) => {}
            Some(_) if *gateway.phase.borrow() != Phase::Serving => {
                self.release(gateway, "this process stops").await;
            }
            Some(_) if gateway.lacks_paths_to_engines() => {
                let why = "peers reach engines that this process does not";
                self.release(gateway, why).await;
            }
            Some(held) if now >= held.valid_until => {
                self.step_down(gateway, "the lease was not renewed in time");
            }
            Some(held) => self.renew(gateway, held, term).await,
            // not polled here during an outage: the tasks that follow the lists detect the recovery
            None if !gateway.store_available() => {}
            None if is_candidate(gateway) => self.watch_lease(gateway, term, ceded).await,
            None => self.watch = None,
        }
    }

    fn step_down(&mut self, gateway: &Gateway, why: &str) {
        if let Some(held) = self.held.take() {
            gateway.steward.cede(held.epoch);
        }
        self.watch = None;
        log::info!(why; "no longer the steward");
    }

    async fn renew(&mut self, gateway: &Gateway, held: Held, term: Duration) {
        // the term counts from before the request was sent
        let sent = Instant::now();
        self.last_call = Some(sent);
        let renewal = Renewal {
            epoch: held.epoch,
            count: held.renewals + 1,
        };
        let transaction = Transaction::default()
            .check(LEASE_KEY, held.version)
            .write(RENEWAL_KEY, json(&renewal));
        let outcome = gateway.adapters.table.commit(transaction).await;
        gateway.count_store_call("renew", outcome.is_ok());
        match outcome {
            Ok(Outcome::Committed(_)) => {
                self.held = Some(Held {
                    renewals: renewal.count,
                    valid_until: lease_end(sent, term),
                    ..held
                });
            }
            Ok(Outcome::Conflict(_)) => self.step_down(gateway, "another gateway holds the lease"),
            Err(error) => {
                gateway.record_store_availability(false);
                log::warn!(error:%; "failed to renew the steward's lease");
                // a peer that still reaches the store takes over before the lease expires
                if gateway.peers.is_store_available() {
                    self.step_down(gateway, "the store answers peers and not this process");
                }
            }
        }
    }

    async fn release(&mut self, gateway: &Gateway, why: &str) {
        let Some(held) = self.held else {
            return;
        };
        let lease = Lease {
            epoch: held.epoch,
            holder: None,
        };
        let transaction = Transaction::default()
            .check(LEASE_KEY, held.version)
            .write(LEASE_KEY, json(&lease));
        if let Err(error) = gateway.adapters.table.commit(transaction).await {
            log::warn!(error:%; "failed to release the steward's lease; it will expire");
        }
        self.step_down(gateway, why);
    }

    /// Watches the lease, and acquires it when its holder has let it expire or has given it up.
    async fn watch_lease(&mut self, gateway: &Gateway, term: Duration, ceded: u64) {
        let sent = Instant::now();
        self.last_call = Some(sent);
        let started = *self.started.get_or_insert(sent);
        let read = Read {
            keys: Vec::new(),
            prefixes: vec![ROW_PREFIX.to_owned()],
        };
        let read = gateway.adapters.table.read(read).await;
        gateway.count_store_call("lease", read.is_ok());
        let rows = match read {
            Ok(rows) => rows,
            Err(error) => {
                gateway.record_store_availability(false);
                log::warn!(error:%; "failed to read the steward's lease");
                return;
            }
        };
        let row = rows.iter().find(|row| row.key == LEASE_KEY);
        let lease: Option<Lease> = row.and_then(parse);
        let renewal: Renewal = rows
            .iter()
            .find(|row| row.key == RENEWAL_KEY)
            .and_then(parse)
            .unwrap_or_default();
        let now_ms = millis(started.elapsed());
        match &mut self.watch {
            Some(watch) => watch.observe(renewal, now_ms),
            None => self.watch = Some(RenewalWatch::new(renewal, now_ms)),
        }
        let is_expired = self
            .watch
            .is_some_and(|watch| watch.is_expired(lease.as_ref(), now_ms, millis(term)));
        let epoch = lease.map_or(0, |lease| lease.epoch);
        let released = epoch > 0 && ceded >= epoch;
        if is_expired || released {
            let version = row.map_or(0, |row| row.version);
            let first_order_delay = match gateway.peers.time_since_last_order() {
                // the previous holder has reported when it gave its last order
                Some(ago) if released => gateway.settings.bounds.lease_ms.saturating_sub(ago),
                _ => order_delay(gateway, lease.as_ref(), term),
            };
            self.acquire(gateway, lease, version, term, first_order_delay)
                .await;
        }
    }

    async fn acquire(
        &mut self,
        gateway: &Gateway,
        lease: Option<Lease>,
        version: u64,
        term: Duration,
        first_order_delay: Duration,
    ) {
        let sent = Instant::now();
        let next = lease::acquire(lease.as_ref(), Incarnation(gateway.incarnation));
        let renewal = Renewal {
            epoch: next.epoch,
            count: 0,
        };
        let transaction = Transaction::default()
            .check(LEASE_KEY, version)
            .write(LEASE_KEY, json(&next))
            .write(RENEWAL_KEY, json(&renewal));
        let outcome = gateway.adapters.table.commit(transaction).await;
        gateway.count_store_call("take", outcome.is_ok());
        match outcome {
            Ok(Outcome::Committed(version)) => {
                self.last_epoch = next.epoch;
                self.held = Some(Held {
                    epoch: next.epoch,
                    version,
                    renewals: 0,
                    valid_until: lease_end(sent, term),
                    may_order_from: Instant::now() + first_order_delay,
                });
                log::info!(epoch = next.epoch, pause_ms = millis(first_order_delay); "became the steward");
            }
            Ok(Outcome::Conflict(_)) => self.watch = None,
            Err(error) => {
                // the write may still take effect; then this process sees itself as a holder that
                // lets the lease expire
                self.watch = None;
                log::warn!(error:%; "failed to acquire the steward's lease");
            }
        }
    }
}

/// Returns how long a new holder waits before its first order. The previous holder could give orders until
/// the margin before the end of its term, and an order may take [`MAX_ORDER_TRANSIT`] to arrive.
fn order_delay(gateway: &Gateway, lease: Option<&Lease>, term: Duration) -> Duration {
    // the first steward has no predecessor
    lease.map_or(Duration::ZERO, |_| {
        let margin =
            term.saturating_sub(Duration::from_millis(lease::valid_until(0, millis(term))));
        (gateway.settings.bounds.lease_ms + MAX_ORDER_TRANSIT).saturating_sub(margin)
    })
}

/// Whether this process should watch the lease: it is among the first, by address, of the gateways that the
/// store answers, that reach the engines and that do not hold the lease. Candidates watch continuously, as
/// a term counts from the last renewal observed.
fn is_candidate(gateway: &Gateway) -> bool {
    let own = gateway.settings.gateway.peers;
    *gateway.phase.borrow() == Phase::Serving
        && !gateway.lacks_paths_to_engines()
        && gateway
            .peers
            .steward_rank(own, &gateway.unreachable_limits())
            < CANDIDATES
}

fn lease_end(sent: Instant, term: Duration) -> Instant {
    // the same margin as in the model-checked protocol
    sent + Duration::from_millis(lease::valid_until(0, millis(term)))
}

fn json<T: Serialize>(value: &T) -> String {
    // rows of plain fields always have a JSON form
    serde_json::to_string(value).unwrap_or_default()
}

fn parse<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_str(&row.value)
        .inspect_err(|error| log::error!(key = row.key, error:%; "could not parse a row of the steward's lease"))
        .ok()
}
