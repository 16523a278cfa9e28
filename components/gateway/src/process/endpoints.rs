//! Follows the operators' list of endpoints.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::{
    Backoff, Gateway,
    backoff::long_poll_timeout,
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
        cursor: Cursor::Start,
        full_read_revision: 0,
        revision_before_read: 0,
        store_unavailable: false,
        missing: Missing::default(),
    };
    let mut backoff = Backoff::default();
    let mut follower = Follower::new(List::Endpoints);
    loop {
        match follower.next_action(&list.gateway, list.cursor) {
            Action::Read => {}
            Action::CatchUp(_) => list.cursor = list.cursor.without_wait(),
            Action::Wait => {
                list.apply_peer_updates_for(Follower::poll_interval()).await;
                continue;
            }
        }
        let started = Instant::now();
        let result = list.read().await;
        list.gateway.count_store_call("endpoints", result.is_ok());
        match result {
            Ok(update) => {
                backoff = Backoff::default();
                follower.record_read(started);
                list.apply_read(update, started);
            }
            Err(Failure::HistoryGone) => {
                log::warn!(table = "endpoints"; "the store no longer has the history; reading the full list");
                list.cursor = Cursor::Start;
            }
            Err(failure) => {
                list.record_failure(failure);
                let pause = backoff.pause(&list.gateway);
                while let Some(remaining) = pause.remaining(&list.gateway) {
                    list.apply_peer_updates_for(remaining).await;
                }
            }
        }
    }
}

struct EndpointList {
    gateway: Arc<Gateway>,
    cursor: Cursor,
    /// The revision of the last read of the full list.
    full_read_revision: u64,
    /// The newest change that was known when the read in flight began.
    revision_before_read: u64,
    /// Whether the last call to the store failed.
    store_unavailable: bool,
    /// Endpoints that were missing from the list when the store recovered.
    missing: Missing,
}

impl EndpointList {
    /// Reads the list from the last revision. Applies peers' updates meanwhile, as the store may be
    /// unreachable for this process only.
    async fn read(&mut self) -> Result<Update<Change>, Failure> {
        self.revision_before_read = self.gateway.last_changes.revision(List::Endpoints);
        let directory = Arc::clone(&self.gateway.adapters.directory);
        let mut read = directory.endpoints(self.cursor);
        loop {
            tokio::select! {
                result = &mut read => return result,
                () = self.apply_next_peer_updates() => {}
            }
        }
    }

    /// Applies peers' updates for `time`.
    async fn apply_peer_updates_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while clock::timeout_at(until, self.apply_next_peer_updates())
            .await
            .is_ok()
        {}
    }

    /// Waits for updates from peers or for the next check of missing endpoints, and applies them.
    async fn apply_next_peer_updates(&mut self) {
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

    /// Applies changes that a peer has read if they follow the known revision without a gap and are new.
    fn apply_advertised(&mut self, advertised: Advertisement) {
        match self.cursor {
            Cursor::After { revision, .. }
                if advertised.after_revision <= revision && revision < advertised.to_revision =>
            {
                self.apply(advertised.changes, false, advertised.after_outage);
                self.gateway
                    .last_changes
                    .record(List::Endpoints, advertised.to_revision);
                // a peer's update does not show that the store answers this process again
                let wait = if self.store_unavailable {
                    Duration::ZERO
                } else {
                    long_poll_timeout(&self.gateway, List::Endpoints)
                };
                self.cursor = next_read(advertised.to_revision, wait);
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
        self.gateway.record_store_availability(false);
        if let Cursor::After { revision, .. } = self.cursor {
            self.cursor = next_read(revision, Duration::ZERO);
        }
    }

    /// Applies the response to a read that began at `started`.
    fn apply_read(&mut self, update: Update<Change>, started: Instant) {
        match self.cursor {
            // peers have advertised later changes meanwhile
            Cursor::After { revision, .. } if update.revision < revision => return,
            Cursor::Start | Cursor::After { .. } => {}
        }
        let full = self.cursor == Cursor::Start;
        let recovered = std::mem::take(&mut self.store_unavailable);
        self.gateway.record_store_availability(true);
        if recovered {
            log::info!(table = "endpoints", revision = update.revision; "the store has recovered");
        }
        let revision = update.revision;
        let as_of = update.as_of;
        self.apply(update.changes.clone(), full, recovered);
        self.advertise(update, full, recovered);
        if let Some(as_of) = as_of {
            self.gateway.confirm_list(List::Endpoints, as_of, started);
        }
        let wait = long_poll_timeout(&self.gateway, List::Endpoints);
        self.cursor = next_read(revision, wait);
    }

    /// Advertises the changes to the peers, or after a full read only the new revision.
    fn advertise(&mut self, update: Update<Change>, full: bool, after_outage: bool) {
        let last_changes = &self.gateway.last_changes;
        let before = self.revision_before_read;
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
                    changes: update.changes,
                });
            }
        }
    }

    fn apply(&mut self, mut changes: Vec<Change>, full: bool, recovered: bool) {
        if recovered {
            self.postpone_removals(&mut changes, full);
        } else {
            for change in &changes {
                self.missing.remove(change.id());
            }
        }
        // the removal of endpoints absent from the full list after an outage has been postponed
        let unlisted = self.gateway.registry.apply(&changes, full && !recovered);
        self.record_unlisted(&unlisted);
        for change in &changes {
            match change {
                Change::Present(profile) => self.gateway.record_successor(profile),
                Change::Gone(_) | Change::Unusable(_) => {}
            }
        }
        self.gateway.endpoints_read.send_replace(true);
        self.remove_missing();
    }

    /// Postpones removals of endpoints after an outage, as their entries may only have expired during it.
    fn postpone_removals(&mut self, changes: &mut Vec<Change>, full: bool) {
        let known = self.gateway.registry.all();
        for target in known.iter().filter(|_| full) {
            if !changes.iter().any(|change| *change.id() == target.id) {
                self.missing.add(&target.id);
            }
        }
        // the list may hold a change and then the removal of the same endpoint
        changes.retain(|change| match change {
            Change::Present(profile) => {
                self.missing.remove(&profile.id);
                true
            }
            Change::Gone(id) => {
                self.missing.add(id);
                false
            }
            // the entry has not expired: it was overwritten
            Change::Unusable(id) => {
                self.missing.remove(id);
                true
            }
        });
    }

    fn remove_missing(&mut self) {
        let gone = self.missing.take_gone(&self.gateway);
        if gone.is_empty() {
            return;
        }
        let unlisted = self.gateway.registry.apply(&gone, false);
        self.record_unlisted(&unlisted);
    }

    fn record_unlisted(&self, unlisted: &[Arc<Target>]) {
        for target in unlisted {
            self.gateway.record_unlisted(target);
        }
    }
}
