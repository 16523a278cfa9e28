//! Peers that are gone: they have been alive, and no digest of them arrives any more.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clock::Instant;

use super::{MAX_MISSED_HEARTBEATS, Peers};

/// A peer that is gone, or that this process can't reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// Its name.
    pub name: Arc<str>,
    /// Identifies its process.
    pub incarnation: u64,
}

impl Peers {
    /// Returns the peers that are gone and have not come back.
    pub fn lost(&self) -> Vec<Lost> {
        let now = Instant::now();
        let known = self.known.lock();
        let lost = known
            .iter()
            .filter(|peer| peer.last_received.is_some() && !peer.is_alive(now));
        lost.map(|peer| Lost {
            name: Arc::clone(&peer.name),
            incarnation: peer.incarnation,
        })
        .collect()
    }

    /// Whether a peer has counted as gone for less than `period`.
    pub fn has_just_lost(&self, period: Duration) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        known.iter().any(|peer| {
            let alive_for = peer.heartbeat_interval * MAX_MISSED_HEARTBEATS;
            let is_recent = |last| now.saturating_duration_since(last) < alive_for + period;
            !peer.is_alive(now) && peer.last_received.is_some_and(is_recent)
        })
    }

    /// Whether a gateway may run that this process does not hear: one has fallen silent, or was forgotten and the store has not
    /// been read since `read`, which would name the builds that it uses.
    pub fn may_miss_any(&self, read: Option<Instant>) -> bool {
        let forgotten = *self.last_dropped.lock();
        let is_forgotten = forgotten.is_some_and(|at| read.is_none_or(|read| read < at));
        is_forgotten || !self.lost().is_empty()
    }

    /// Whether every known gateway is alive and has not restarted or been forgotten since then. Known are those whose digests
    /// were received and those with a registration row. A first digest that was received later shows no restart.
    pub fn are_all_left_since(&self, since: Instant) -> bool {
        let now = Instant::now();
        let was_before = |ended: Option<Instant>| ended.is_none_or(|ended| ended < since);
        let known = self.known.lock();
        was_before(*self.last_dropped.lock())
            && known
                .iter()
                .all(|peer| peer.is_alive(now) && was_before(peer.replaced_at))
    }

    /// Whether a peer has been known for less than `period` under its present incarnation, as it has just started.
    pub fn has_just_started(&self, period: Duration) -> bool {
        let now = Instant::now();
        let known = self.known.lock();
        known.iter().any(|peer| {
            let known_for = now.saturating_duration_since(peer.incarnation_since);
            peer.is_alive(now) && known_for < period
        })
    }

    /// Whether this process is among the first live gateways for a key.
    pub fn is_among_first(&self, own: SocketAddr, key: u64, count: usize) -> bool {
        self.ranking().count_before(own, key) < count
    }
}
