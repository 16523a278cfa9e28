//! The requests that wait before a pool: the fair queue, who stands in it, and what they need.

use std::{sync::Arc, time::Instant};

use policy::{
    Micros,
    fair::{self, Queue, QueuedRequest},
    to_u64,
};
use settings::tree::resolve;
use tokio::sync::oneshot;

use super::{Grant, Need, Pool};

/// Output that is expected of a group that has not been served yet, in tokens.
const FIRST_GUESS: f64 = 128.0;

#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: u64,
    pub(super) group: usize,
    pub(super) need: Need,
    pub(super) grant: oneshot::Sender<Grant>,
}

#[derive(Debug)]
pub(super) struct Line {
    pub(super) queue: Queue,
    /// Names of the groups that the queue's indices stand for.
    pub(super) groups: Vec<String>,
    /// Average length of the groups' answers, in tokens.
    pub(super) outputs: Vec<f64>,
    /// Sorted by number.
    pub(super) waiters: Vec<Waiter>,
    next: u64,
}

impl Line {
    /// Nobody waits, and no group is known yet.
    pub(super) fn new() -> Self {
        Self {
            queue: Queue::new(&[]),
            groups: Vec::new(),
            outputs: Vec::new(),
            waiters: Vec::new(),
            next: 0,
        }
    }

    pub(super) fn find(&self, id: u64) -> Option<usize> {
        self.waiters
            .binary_search_by_key(&id, |waiter| waiter.id)
            .ok()
    }

    pub(super) fn expected_output(&self, need: &Need) -> u64 {
        let mean = self.outputs.get(need.group.0).copied();
        to_u64(mean.unwrap_or(FIRST_GUESS)).clamp(1, need.most_output.max(1))
    }

    pub(super) fn push(
        &mut self,
        pool: &Arc<Pool>,
        need: Need,
        work: Micros,
        grant: oneshot::Sender<Grant>,
    ) -> Ticket {
        self.next += 1;
        let id = self.next;
        let group = need.group.0;
        let start_by = need.start_by;
        let waiting = QueuedRequest {
            id,
            priority: need.priority,
            work,
            deadline: pool.micros(start_by),
        };
        self.queue.push(group, waiting);
        self.waiters.push(Waiter {
            id,
            group,
            need,
            grant,
        });
        Ticket {
            pool: Arc::clone(pool),
            id,
            start_by,
        }
    }

    /// Moves the queue to the groups of a new version. Who waits keeps its place in its group.
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
        let outputs = names
            .iter()
            .map(|name| match self.groups.binary_search(name) {
                Ok(at) => self.outputs[at],
                Err(_) => FIRST_GUESS,
            })
            .collect();
        let mut old = std::mem::replace(&mut self.queue, Queue::new(&groups));
        self.outputs = outputs;
        self.groups = names;
        // a group that is gone takes its waiting requests along: their grant's sender drops
        let known = &self.groups;
        self.waiters
            .retain_mut(|waiter| match known.binary_search(&waiter.need.group.1) {
                Ok(at) => {
                    waiter.need.group.0 = at;
                    true
                }
                Err(_) => false,
            });
        while let Some((old_group, waiting)) = old.peek(1).first().copied() {
            old.pop(old_group);
            if let Some(at) = self.find(waiting.id) {
                let group = self.waiters[at].need.group.0;
                self.waiters[at].group = group;
                self.queue.push(group, waiting);
            }
        }
    }
}

/// A place in the queue, left by its `Drop`.
#[derive(Debug)]
pub(super) struct Ticket {
    pool: Arc<Pool>,
    pub(super) id: u64,
    pub(super) start_by: Instant,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut line = self.pool.line();
        if let Some(at) = line.find(self.id) {
            let waiter = line.waiters.remove(at);
            line.queue.remove(waiter.group, self.id);
        }
    }
}
