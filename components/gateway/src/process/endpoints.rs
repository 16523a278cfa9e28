//! Keeps the list of endpoints.

use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::{
    Backoff, Gateway,
    follow::{List as Listed, Turn, Wait},
    lapse::Missing,
    next,
};
use crate::{
    edge::{Change, Cursor, Failure, Update},
    endpoint::Target,
    peer::Advertisement,
};

/// Follows the list as long as the process lives.
pub async fn keep(gateway: Arc<Gateway>) {
    let mut list = List {
        gateway,
        from: Cursor::Start,
        whole_at: 0,
        known: 0,
        lost: false,
        missing: Missing::default(),
    };
    let mut backoff = Backoff::default();
    let mut wait = Wait::new(Listed::Endpoints);
    loop {
        match wait.look(&list.gateway, list.from) {
            Turn::Read => {}
            Turn::CatchUp => list.from = list.from.without_wait(),
            Turn::Rest => {
                list.follow(Wait::pause()).await;
                continue;
            }
        }
        let answer = list.read().await;
        list.gateway.count_call("endpoints", answer.is_ok());
        match answer {
            Ok(update) => {
                backoff = Backoff::default();
                wait.caught_up();
                list.take(update);
            }
            Err(Failure::HistoryGone) => {
                log::warn!(table = "endpoints"; "the store no longer has the history; reading everything");
                list.from = Cursor::Start;
            }
            Err(failure) => {
                list.lose(failure);
                let pause = backoff.pause(&list.gateway);
                while let Some(rest) = pause.rest(&list.gateway) {
                    list.follow(rest).await;
                }
            }
        }
    }
}

struct List {
    gateway: Arc<Gateway>,
    from: Cursor,
    /// The revision of the last read of the whole list.
    whole_at: u64,
    /// The last change that was known when the read under way began.
    known: u64,
    /// Whether the store was away at the last call.
    lost: bool,
    /// Endpoints that were missing when the store came back.
    missing: Missing,
}

impl List {
    /// Reads the list from where it was left; meanwhile takes what peers tell, as the store may have
    /// gone silent for this process only.
    async fn read(&mut self) -> Result<Update<Change>, Failure> {
        self.known = self.gateway.changed.get(Listed::Endpoints);
        let directory = Arc::clone(&self.gateway.edges.directory);
        let mut read = directory.endpoints(self.from);
        loop {
            tokio::select! {
                answer = &mut read => return answer,
                () = self.receive() => {}
            }
        }
    }

    /// Takes what peers tell, for so long.
    async fn follow(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while clock::timeout_at(until, self.receive()).await.is_ok() {}
    }

    /// Waits for what peers tell, or for the next look at what is missing, and takes it.
    async fn receive(&mut self) {
        let gateway = Arc::clone(&self.gateway);
        tokio::select! {
            advertised = gateway.peers.receive_advertisements() => {
                for advertised in advertised {
                    self.take_advertised(advertised);
                }
            }
            () = clock::sleep_until(self.missing.next_look()) => self.drop_missing(),
        }
    }

    /// Takes changes that a peer has read, if they follow on what is known and aren't known yet.
    fn take_advertised(&mut self, advertised: Advertisement) {
        match self.from {
            Cursor::After { revision, .. }
                if advertised.after_revision <= revision && revision < advertised.to_revision =>
            {
                self.apply(advertised.changes, false, advertised.after_outage);
                self.gateway
                    .changed
                    .note(Listed::Endpoints, advertised.to_revision);
                // peers' news does not show that the store answers this process again
                self.from = next(advertised.to_revision, !self.lost);
            }
            // what is missing in between is read at the store
            Cursor::Start | Cursor::After { .. } => {}
        }
    }

    fn lose(&mut self, failure: Failure) {
        if !self.lost {
            log::warn!(table = "endpoints", failure:%; "the store did not answer");
        }
        self.lost = true;
        self.gateway.note_store(false);
        if let Cursor::After { revision, .. } = self.from {
            self.from = next(revision, false);
        }
    }

    fn take(&mut self, update: Update<Change>) {
        match self.from {
            // peers have advertised of later changes meanwhile
            Cursor::After { revision, .. } if update.revision < revision => return,
            Cursor::Start | Cursor::After { .. } => {}
        }
        let whole = self.from == Cursor::Start;
        let returned = std::mem::take(&mut self.lost);
        self.gateway.note_store(true);
        if returned {
            log::info!(table = "endpoints", revision = update.revision; "the store answers again");
        }
        self.advertise(&update, whole, returned);
        self.apply(update.changes, whole, returned);
        self.from = next(update.revision, true);
    }

    /// Tells the peers what was read, or at least that something changed.
    fn advertise(&mut self, update: &Update<Change>, whole: bool, after_outage: bool) {
        let changed = &self.gateway.changed;
        let before = self.known;
        if whole {
            self.whole_at = update.revision;
        }
        match (whole, before) {
            // peers that start have read it themselves
            (true, 0) => changed.note(Listed::Endpoints, update.last_change),
            // what went meanwhile has left no change behind
            (true, _) => changed.note(Listed::Endpoints, update.revision),
            (false, _) if update.changes.is_empty() => {}
            (false, _) => {
                changed.note(Listed::Endpoints, update.last_change);
                self.gateway.peers.advertise(&Advertisement {
                    // what went before a whole read has left no change behind
                    after_revision: before.max(self.whole_at),
                    to_revision: update.last_change,
                    after_outage,
                    changes: update.changes.clone(),
                });
            }
        }
    }

    fn apply(&mut self, mut changes: Vec<Change>, whole: bool, returned: bool) {
        if returned {
            self.put_off(&mut changes, whole);
        } else {
            for change in &changes {
                self.missing.forget(change.id());
            }
        }
        // what a whole list lacks after an outage has been put off
        let lapsed = self.gateway.registry.apply(&changes, whole && !returned);
        self.note_lapsed(&lapsed);
        self.gateway.endpoints_read.send_replace(true);
        self.drop_missing();
    }

    /// Puts off what would take an endpoint away, as it may only have lapsed.
    fn put_off(&mut self, changes: &mut Vec<Change>, whole: bool) {
        let known = self.gateway.registry.all();
        for target in known.iter().filter(|_| whole) {
            if !changes.iter().any(|change| *change.id() == target.id) {
                self.missing.add(&target.id);
            }
        }
        // one endpoint may have changed and gone since, in this order
        changes.retain(|change| match change {
            Change::Present(profile) => {
                self.missing.forget(&profile.id);
                true
            }
            Change::Gone(id) => {
                self.missing.add(id);
                false
            }
            // it has not lapsed: what stands there was written
            Change::Unusable(id) => {
                self.missing.forget(id);
                true
            }
        });
    }

    fn drop_missing(&mut self) {
        let gone = self.missing.take_gone(&self.gateway);
        if gone.is_empty() {
            return;
        }
        let lapsed = self.gateway.registry.apply(&gone, false);
        self.note_lapsed(&lapsed);
    }

    fn note_lapsed(&self, lapsed: &[Arc<Target>]) {
        for target in lapsed {
            self.gateway.note_lapsed(target);
        }
    }
}
