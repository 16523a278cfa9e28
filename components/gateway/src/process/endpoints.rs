//! Follows the operators' list of endpoints.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::{
    Backoff, Gateway,
    follow::{Action, Follower, List},
    missing::Missing,
    next_read,
};
use crate::{
    adapters::{Change, Cursor, Failure, Update},
    endpoint::Target,
    peer::Advertisement,
};

/// Follows the list for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut list = EndpointList {
        gateway,
        from: Cursor::Start,
        full_read_revision: 0,
        known_before_read: 0,
        store_unavailable: false,
        missing: Missing::default(),
    };
    let mut backoff = Backoff::default();
    let mut follower = Follower::new(List::Endpoints);
    loop {
        match follower.next_action(&list.gateway, list.from) {
            Action::Read => {}
            Action::CatchUp => list.from = list.from.without_wait(),
            Action::Wait => {
                list.receive_for(Follower::poll_interval()).await;
                continue;
            }
        }
        let answer = list.read().await;
        list.gateway.count_store_call("endpoints", answer.is_ok());
        match answer {
            Ok(update) => {
                backoff = Backoff::default();
                follower.caught_up();
                list.apply_read(update);
            }
            Err(Failure::HistoryGone) => {
                log::warn!(table = "endpoints"; "the store no longer has the history; reading the full list");
                list.from = Cursor::Start;
            }
            Err(failure) => {
                list.record_failure(failure);
                let pause = backoff.pause(&list.gateway);
                while let Some(remaining) = pause.remaining(&list.gateway) {
                    list.receive_for(remaining).await;
                }
            }
        }
    }
}

struct EndpointList {
    gateway: Arc<Gateway>,
    from: Cursor,
    /// The revision of the last read of the full list.
    full_read_revision: u64,
    /// The newest change that was known when the read in flight began.
    known_before_read: u64,
    /// Whether the last call to the store failed.
    store_unavailable: bool,
    /// Endpoints that were missing from the list when the store recovered.
    missing: Missing,
}

impl EndpointList {
    /// Reads the list from the last revision. Applies peers' updates meanwhile, as the store may be
    /// unreachable for this process only.
    async fn read(&mut self) -> Result<Update<Change>, Failure> {
        self.known_before_read = self.gateway.last_changes.revision(List::Endpoints);
        let directory = Arc::clone(&self.gateway.adapters.directory);
        let mut read = directory.endpoints(self.from);
        loop {
            tokio::select! {
                answer = &mut read => return answer,
                () = self.receive_updates() => {}
            }
        }
    }

    /// Applies peers' updates for `time`.
    async fn receive_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while clock::timeout_at(until, self.receive_updates())
            .await
            .is_ok()
        {}
    }

    /// Waits for updates from peers or for the next check of missing endpoints, and applies them.
    async fn receive_updates(&mut self) {
        let gateway = Arc::clone(&self.gateway);
        tokio::select! {
            advertised = gateway.peers.receive_advertisements() => {
                for advertised in advertised {
                    self.apply_advertised(advertised);
                }
            }
            () = clock::sleep_until(self.missing.next_check()) => self.remove_missing(),
        }
    }

    /// Applies changes that a peer has read if they continue the known revision and are new.
    fn apply_advertised(&mut self, advertised: Advertisement) {
        match self.from {
            Cursor::After { revision, .. }
                if advertised.after_revision <= revision && revision < advertised.to_revision =>
            {
                self.apply(advertised.changes, false, advertised.after_outage);
                self.gateway
                    .last_changes
                    .record(List::Endpoints, advertised.to_revision);
                // a peer's update does not show that the store answers this process again
                self.from = next_read(advertised.to_revision, !self.store_unavailable);
            }
            // a gap before the update is filled by a read from the store
            Cursor::Start | Cursor::After { .. } => {}
        }
    }

    fn record_failure(&mut self, failure: Failure) {
        if !self.store_unavailable {
            log::warn!(table = "endpoints", failure:%; "the store did not answer");
        }
        self.store_unavailable = true;
        self.gateway.record_store_call(false);
        if let Cursor::After { revision, .. } = self.from {
            self.from = next_read(revision, false);
        }
    }

    fn apply_read(&mut self, update: Update<Change>) {
        match self.from {
            // peers have advertised later changes meanwhile
            Cursor::After { revision, .. } if update.revision < revision => return,
            Cursor::Start | Cursor::After { .. } => {}
        }
        let full = self.from == Cursor::Start;
        let recovered = std::mem::take(&mut self.store_unavailable);
        self.gateway.record_store_call(true);
        if recovered {
            log::info!(table = "endpoints", revision = update.revision; "the store has recovered");
        }
        self.advertise(&update, full, recovered);
        self.apply(update.changes, full, recovered);
        self.from = next_read(update.revision, true);
    }

    /// Advertises the changes to the peers, or after a full read only the new revision.
    fn advertise(&mut self, update: &Update<Change>, full: bool, after_outage: bool) {
        let last_changes = &self.gateway.last_changes;
        let before = self.known_before_read;
        if full {
            self.full_read_revision = update.revision;
        }
        match (full, before) {
            // at the first read: starting peers have read the list themselves
            (true, 0) => last_changes.record(List::Endpoints, update.last_change),
            // endpoints that were removed meanwhile leave no change to advertise
            (true, _) => last_changes.record(List::Endpoints, update.revision),
            (false, _) if update.changes.is_empty() => {}
            (false, _) => {
                last_changes.record(List::Endpoints, update.last_change);
                self.gateway.peers.advertise(&Advertisement {
                    // endpoints that were removed before a full read leave no change to advertise
                    after_revision: before.max(self.full_read_revision),
                    to_revision: update.last_change,
                    after_outage,
                    changes: update.changes.clone(),
                });
            }
        }
    }

    fn apply(&mut self, mut changes: Vec<Change>, full: bool, recovered: bool) {
        if recovered {
            self.defer_removals(&mut changes, full);
        } else {
            for change in &changes {
                self.missing.forget(change.id());
            }
        }
        // endpoints absent from the full list after an outage have been deferred
        let expired = self.gateway.registry.apply(&changes, full && !recovered);
        self.record_expired(&expired);
        self.gateway.endpoints_read.send_replace(true);
        self.remove_missing();
    }

    /// Defers removals of endpoints after an outage, as their entries may only have expired during it.
    fn defer_removals(&mut self, changes: &mut Vec<Change>, full: bool) {
        let known = self.gateway.registry.all();
        for target in known.iter().filter(|_| full) {
            if !changes.iter().any(|change| *change.id() == target.id) {
                self.missing.add(&target.id);
            }
        }
        // the list may hold a change and then the removal of the same endpoint
        changes.retain(|change| match change {
            Change::Present(profile) => {
                self.missing.forget(&profile.id);
                true
            }
            Change::Gone(id) => {
                self.missing.add(id);
                false
            }
            // the entry has not expired: it was overwritten
            Change::Unusable(id) => {
                self.missing.forget(id);
                true
            }
        });
    }

    fn remove_missing(&mut self) {
        let gone = self.missing.take_gone(&self.gateway);
        if gone.is_empty() {
            return;
        }
        let expired = self.gateway.registry.apply(&gone, false);
        self.record_expired(&expired);
    }

    fn record_expired(&self, expired: &[Arc<Target>]) {
        for target in expired {
            self.gateway.record_expired(target);
        }
    }
}
