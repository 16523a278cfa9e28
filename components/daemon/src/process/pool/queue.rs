//! The requests that wait for a pool: their order by fair shares and their requirements.

use std::{sync::Arc, time::Instant};

use policy::{
    Micros,
    fair::{self, Queue as FairQueue, QueuedRequest},
    to_u64,
};
use settings::tree::resolve;
use tokio::sync::oneshot;

use super::{Grant, Pool, Requirements};

/// Expected length, in tokens, of a response for a group without any response yet.
const INITIAL_OUTPUT_TOKENS: f64 = 128.0;

#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: u64,
    pub(super) group: usize,
    pub(super) requirements: Requirements,
    pub(super) grant: oneshot::Sender<Grant>,
}

#[derive(Debug)]
pub(super) struct Queue {
    pub(super) fair: FairQueue,
    /// Names of the groups, by their index in the fair queue.
    pub(super) groups: Vec<String>,
    /// Mean length of the responses by group, in tokens.
    pub(super) mean_outputs: Vec<f64>,
    /// Sorted by `id`.
    pub(super) waiters: Vec<Waiter>,
    last_id: u64,
}

impl Queue {
    /// Creates an empty queue without groups.
    pub(super) fn new() -> Self {
        Self {
            fair: FairQueue::new(&[]),
            groups: Vec::new(),
            mean_outputs: Vec::new(),
            waiters: Vec::new(),
            last_id: 0,
        }
    }

    pub(super) fn find(&self, id: u64) -> Option<usize> {
        self.waiters
            .binary_search_by_key(&id, |waiter| waiter.id)
            .ok()
    }

    /// Returns the index of a group. The settings version that admitted a request may be another one than
    /// the queue's, with other indices.
    pub(super) fn group(&self, name: &str) -> Option<usize> {
        self.groups
            .binary_search_by(|group| group.as_str().cmp(name))
            .ok()
    }

    /// Returns the expected number of tokens that the caller has yet to receive.
    pub(super) fn expected_output(&self, requirements: &Requirements) -> u64 {
        let mean = self.mean_outputs.get(requirements.group.0).copied();
        let whole = to_u64(mean.unwrap_or(INITIAL_OUTPUT_TOKENS))
            .clamp(1, requirements.max_output_tokens.max(1));
        whole.saturating_sub(requirements.received_tokens).max(1)
    }

    pub(super) fn push(
        &mut self,
        pool: &Arc<Pool>,
        requirements: Requirements,
        work: Micros,
        grant: oneshot::Sender<Grant>,
    ) -> Ticket {
        self.last_id += 1;
        let id = self.last_id;
        let group = requirements.group.0;
        let start_by = requirements.start_by;
        let queued = QueuedRequest {
            id,
            priority: requirements.priority,
            work,
            // in the fair queue, a deadline is the latest start
            deadline: pool.micros(start_by),
        };
        self.fair.push(group, queued);
        self.waiters.push(Waiter {
            id,
            group,
            requirements,
            grant,
        });
        Ticket {
            pool: Arc::clone(pool),
            id,
            start_by,
        }
    }

    /// Rebuilds the queue for the groups of a new settings version. Waiting requests keep their order
    /// within their group.
    pub(super) fn regroup(&mut self, version: &resolve::ResolvedTree) {
        let names: Vec<String> = version.groups.iter().map(|g| g.name.clone()).collect();
        let groups: Vec<fair::Group> = version
            .groups
            .iter()
            .map(|group| fair::Group {
                parent: group.parent,
                share: group.share,
            })
            .collect();
        let mean_outputs = names
            .iter()
            .map(|name| match self.groups.binary_search(name) {
                Ok(at) => self.mean_outputs[at],
                Err(_) => INITIAL_OUTPUT_TOKENS,
            })
            .collect();
        let mut old = std::mem::replace(&mut self.fair, FairQueue::new(&groups));
        self.mean_outputs = mean_outputs;
        self.groups = names;
        // waiting requests of a removed group are refused: dropping them drops the sender of their grant
        let known = &self.groups;
        self.waiters.retain_mut(
            |waiter| match known.binary_search(&waiter.requirements.group.1) {
                Ok(at) => {
                    waiter.requirements.group.0 = at;
                    true
                }
                Err(_) => false,
            },
        );
        while let Some((old_group, queued)) = old.peek(1).first().copied() {
            old.pop(old_group);
            if let Some(at) = self.find(queued.id) {
                let group = self.waiters[at].requirements.group.0;
                self.waiters[at].group = group;
                self.fair.push(group, queued);
            }
        }
    }
}

/// A place in the queue, removed on drop.
#[derive(Debug)]
pub(super) struct Ticket {
    pool: Arc<Pool>,
    pub(super) id: u64,
    pub(super) start_by: Instant,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut queue = self.pool.queue();
        if let Some(at) = queue.find(self.id) {
            let waiter = queue.waiters.remove(at);
            queue.fair.remove(waiter.group, self.id);
        }
    }
}
