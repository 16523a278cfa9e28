//! The builds that began streams, known by a few gateways each, so that a caller can resume its stream at any gateway.
//!
//! [`table`] holds the records, [`exchange`] replicates and queries them, [`search`] finds the build of a stream. As long
//! as one build serves each service, every gateway keeps only the records of its own streams and sends nothing. See `docs/DESIGN.md#streams-and-builds`.

mod exchange;
mod question;
mod search;
pub mod store;
mod table;
#[cfg(test)]
mod tests;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clock::Instant;
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{endpoint::Build, process::Gateway};
use exchange::{Item, Outbox};
use question::{Questions, Subject};
use table::{Owner, Record, Table};

pub use exchange::{apply, run};
pub use search::{Search, Source};

/// Number of peers that hold a copy of a record, besides the gateway that made it: as long as any of them is left, a
/// caller need not wait for the store. All peers of a small fleet do.
const COPIES: usize = 4;
/// How often a copy is sent, as datagrams may be lost.
const SENDS: u32 = 2;
/// The longest time for which a record is kept, whatever deadline the caller states.
pub const MAX_LIFETIME: Duration = Duration::from_secs(300);

/// Identifies a stream: a hash of the service, the workspace, and the id of the request whose response brought the
/// first event. The workspace is part of it so that one can't resume or probe streams of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u64);

impl Key {
    /// Returns the key of a stream.
    pub fn new(service: &str, workspace: Option<&str>, request: &str) -> Self {
        let seed = xxh3_64(service.as_bytes());
        let seed = match workspace {
            None => seed,
            Some(workspace) => xxh3_64_with_seed(workspace.as_bytes(), seed.wrapping_add(1)),
        };
        Self(xxh3_64_with_seed(request.as_bytes(), seed))
    }
}

/// The build that began the streams with one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begun {
    /// All of them began at this build.
    At(Build),
    /// Callers have used the same id for streams of several builds, so it is not known which one is meant.
    Ambiguous,
}

/// What this process knows of streams.
#[derive(Debug, Default)]
pub struct Streams {
    table: Table,
    questions: Questions,
    outbox: Outbox,
}

impl Streams {
    /// Sets the socket through which copies of new records are sent.
    pub fn attach(&self, socket: &Arc<UdpSocket>) {
        self.outbox.attach(socket);
    }
}

impl Gateway {
    /// Records that a stream of this process's callers began at a build; its caller may resume it until `expires`.
    pub fn record_stream(&self, key: Key, build: &Build, expires: Instant) {
        let expires = expires.min(Instant::now() + MAX_LIFETIME);
        let begun = Begun::At(build.clone());
        let dropped = self.streams.table.record(key, begun, expires, Owner::This);
        self.count_dropped_stream(dropped);
        if self.registry.builds().is_mixed() {
            self.replicate_streams(Instant::now(), Some(key));
        }
    }

    /// Returns the build that began a stream as far as this process knows, without asking peers.
    pub fn known_stream(&self, key: Key) -> Option<Begun> {
        let record = self.streams.table.get(key, Instant::now());
        record.map(|record| record.begun)
    }

    /// Sends the records that this process owns to the peers that should hold copies and have none, and forgets some that
    /// have expired. Called often: peers come, go and restart without their records.
    pub fn maintain_streams(&self) {
        let now = Instant::now();
        self.streams.table.evict_expired(now);
        let known = i64::try_from(self.streams.table.len()).unwrap_or(i64::MAX);
        self.metrics.streams.known.set(known);
        if self.registry.builds().is_mixed() {
            self.replicate_streams(now, None);
        }
    }

    /// Sends records that this process owns to peers, either that of `only` or all. Takes over those whose owner is gone,
    /// since nobody else would replace their copies.
    fn replicate_streams(&self, now: Instant, only: Option<Key>) {
        let ranking = self.peers.ranking();
        if ranking.is_empty() {
            return;
        }
        let replicate = |record: &mut Record| {
            match record.owner {
                Owner::Peer(incarnation) if !ranking.has_incarnation(incarnation) => {
                    record.take_over();
                }
                Owner::Peer(_) | Owner::Store => return,
                Owner::This => {}
            }
            let holders = ranking.first(record.key.0, COPIES);
            let token = ranking.token(&holders);
            if record.sent_to != token {
                record.sent = 0;
            }
            if record.sent >= SENDS {
                return;
            }
            let items: Vec<(SocketAddr, Item)> = holders
                .iter()
                .map(|peer| (ranking.address(*peer), Item::Known(record.clone())))
                .collect();
            // the copies of a new stream leave before its first event does, since its gateway may be killed at once
            let is_sent = only.is_some() && self.send_at_once(&items);
            if is_sent || self.streams.outbox.push(items.into_iter()) {
                record.sent_to = token;
                record.sent += 1;
            }
        };
        self.streams.table.for_each(now, only, replicate);
    }

    /// Reports to all peers which builds have served lately, and at which of them streams may begin, as that has changed. Those
    /// that it does not reach read it from the store.
    pub fn report_builds(&self) {
        let peers = self.peers.ranked(self.incarnation, usize::MAX);
        let reports = peers.into_iter().map(|peer| (peer, Item::Builds));
        if !self.streams.outbox.push(reports) {
            log::debug!("the queue of datagrams is full; the builds are not reported to peers");
        }
    }

    /// Asks some peers which builds have served lately, and at which of them streams may begin.
    pub fn ask_which_builds(&self) {
        let peers = self.peers.ranked(self.incarnation, COPIES);
        let asked = peers
            .into_iter()
            .map(|peer| (peer, Item::Ask(Subject::Builds)));
        if !self.streams.outbox.push(asked) {
            log::debug!("the queue of datagrams is full; peers are not asked for the builds");
        }
    }

    fn count_dropped_stream(&self, dropped: bool) {
        if dropped {
            self.metrics.streams.dropped.inc();
        }
    }
}
