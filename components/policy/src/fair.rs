//! Weighted fair queueing over the tree of groups: which request goes next, and how long one would wait.
//!
//! Each group has a virtual time that advances by the work it was given, divided by its share. At each
//! level of the tree, requests of the group itself go first, then those of its child with the lowest
//! virtual time among those with waiting requests. An unused share is lent to others at once and is
//! never saved up. See `docs/DESIGN.md#fair-share`.

use crate::{Micros, to_f64, to_u64};

/// The properties of a group that the queue uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// Index of the parent; `None` at the top level. Parents come before their children.
    pub parent: Option<usize>,
    /// Share relative to its siblings.
    pub share: u32,
}

/// A request that waits in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the request in the queue.
    pub id: u64,
    /// From 0 to 9; the highest goes first within its group.
    pub priority: u8,
    /// Expected work, in microseconds of an engine.
    pub work: Micros,
    /// When it must have left the queue.
    pub deadline: Micros,
}

#[derive(Clone, Debug, Default)]
struct Node {
    parent: usize,
    share: f64,
    virtual_time: f64,
    /// Highest virtual time at which a child was charged. A child that becomes active starts from here.
    virtual_time_floor: f64,
    /// Children with waiting requests of their own or below them, sorted by virtual time.
    active: Vec<(f64, usize)>,
    /// Waiting requests of this group itself, the highest priority first.
    waiting: Vec<QueuedRequest>,
    /// Work of all waiting requests in this subtree.
    queued_work: Micros,
}

/// The queue of a service.
#[derive(Clone, Debug)]
pub struct Queue {
    /// The root comes first, then the groups.
    nodes: Vec<Node>,
    length: usize,
}

const ROOT: usize = 0;

impl Queue {
    /// Creates an empty queue for these groups.
    #[must_use]
    pub fn new(groups: &[Group]) -> Self {
        let mut queue = Self {
            nodes: vec![Node::default()],
            length: 0,
        };
        queue.nodes.extend(groups.iter().map(node));
        queue
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the work of all waiting requests.
    #[must_use]
    pub fn queued_work(&self) -> Micros {
        self.nodes[ROOT].queued_work
    }

    /// Adds a request of a group.
    pub fn push(&mut self, group: usize, request: QueuedRequest) {
        let index = group + 1;
        let waiting = &mut self.nodes[index].waiting;
        let position = waiting.partition_point(|other| other.priority >= request.priority);
        waiting.insert(position, request);
        self.length += 1;
        self.add_work(index, request.work);
        self.activate(index);
    }

    /// Removes a request whose caller has disconnected or whose deadline has passed. Returns whether it
    /// was there.
    pub fn remove(&mut self, group: usize, id: u64) -> bool {
        let index = group + 1;
        let Some(position) = self.nodes[index].waiting.iter().position(|r| r.id == id) else {
            return false;
        };
        let request = self.nodes[index].waiting.remove(position);
        self.remove_work(index, &request);
        true
    }

    /// Returns up to `limit` groups in the order in which they go next, each with its first request.
    ///
    /// There are several because the first group's request may need a resource that is exhausted just
    /// now while another's doesn't: a long prompt that waits for an engine must not block the others.
    #[must_use]
    pub fn peek(&self, limit: usize) -> Vec<(usize, QueuedRequest)> {
        let mut heads = Vec::new();
        self.collect_heads(ROOT, limit, &mut heads);
        heads
    }

    fn collect_heads(&self, index: usize, limit: usize, heads: &mut Vec<(usize, QueuedRequest)>) {
        let node = &self.nodes[index];
        if let Some(request) = node.waiting.first() {
            heads.push((index - 1, *request));
        }
        for (_, child) in &node.active {
            if heads.len() >= limit {
                return;
            }
            self.collect_heads(*child, limit, heads);
        }
    }

    /// Removes the first request of a group and charges the group for it.
    pub fn pop(&mut self, group: usize) -> Option<QueuedRequest> {
        let index = group + 1;
        if self.nodes[index].waiting.is_empty() {
            return None;
        }
        let request = self.nodes[index].waiting.remove(0);
        self.charge(group, request.work);
        self.remove_work(index, &request);
        Some(request)
    }

    /// Charges a group for work that was done here or at a peer, or for the part of its work that
    /// exceeded the estimate, which is known on completion.
    pub fn charge(&mut self, group: usize, work: Micros) {
        let mut index = group + 1;
        while index != ROOT {
            let parent = self.nodes[index].parent;
            let previous = self.nodes[index].virtual_time;
            self.nodes[index].virtual_time = previous + to_f64(work) / self.nodes[index].share;
            self.reorder(parent, index, previous);
            index = parent;
        }
    }

    /// Estimates how long a new request of a group would wait: the time for the group's own queued work
    /// at its current share of the engines, but at most the time for all queued work.
    #[must_use]
    pub fn estimate_wait(&self, group: usize, engines: u64) -> Micros {
        let engines = to_f64(engines.max(1));
        let mut share = 1.0;
        let mut index = group + 1;
        let own = to_f64(self.nodes[index].queued_work);
        while index != ROOT {
            let parent = self.nodes[index].parent;
            share *= self.active_share(parent, index);
            index = parent;
        }
        let own_wait = own / (engines * share);
        to_u64(own_wait.min(to_f64(self.queued_work()) / engines))
    }

    /// Returns a child's fraction of the shares of its active siblings and itself.
    fn active_share(&self, parent: usize, child: usize) -> f64 {
        let own = self.nodes[child].share;
        let others: f64 = self.nodes[parent]
            .active
            .iter()
            .filter(|(_, other)| *other != child)
            .map(|(_, other)| self.nodes[*other].share)
            .sum();
        own / (own + others)
    }

    fn add_work(&mut self, mut index: usize, work: Micros) {
        loop {
            self.nodes[index].queued_work += work;
            if index == ROOT {
                return;
            }
            index = self.nodes[index].parent;
        }
    }

    fn remove_work(&mut self, mut index: usize, request: &QueuedRequest) {
        self.length -= 1;
        let node = index;
        loop {
            let queued_work = &mut self.nodes[index].queued_work;
            *queued_work = queued_work.saturating_sub(request.work);
            if index == ROOT {
                break;
            }
            index = self.nodes[index].parent;
        }
        self.deactivate(node);
    }

    /// Adds a group and its ancestors to the active ones.
    fn activate(&mut self, mut index: usize) {
        while index != ROOT {
            let parent = self.nodes[index].parent;
            if self.nodes[parent]
                .active
                .iter()
                .any(|(_, child)| *child == index)
            {
                return;
            }
            // A group that becomes active starts at least at the current virtual time of its siblings,
            // so that idle time gives no credit.
            let floor = self.nodes[parent].virtual_time_floor;
            let virtual_time = self.nodes[index].virtual_time.max(floor);
            self.nodes[index].virtual_time = virtual_time;
            insert(&mut self.nodes[parent].active, virtual_time, index);
            index = parent;
        }
    }

    /// Removes a group and its ancestors from the active ones, as far as they have no waiting requests.
    fn deactivate(&mut self, mut index: usize) {
        while index != ROOT {
            let node = &self.nodes[index];
            if !node.waiting.is_empty() || !node.active.is_empty() {
                return;
            }
            let parent = node.parent;
            self.nodes[parent]
                .active
                .retain(|(_, child)| *child != index);
            index = parent;
        }
    }

    /// Moves a child that was charged to its new position among its active siblings.
    fn reorder(&mut self, parent: usize, child: usize, previous: f64) {
        let virtual_time = self.nodes[child].virtual_time;
        let siblings = &mut self.nodes[parent];
        if let Some(position) = siblings
            .active
            .iter()
            .position(|(_, other)| *other == child)
        {
            siblings.active.remove(position);
            insert(&mut siblings.active, virtual_time, child);
            siblings.virtual_time_floor = siblings.virtual_time_floor.max(previous);
        }
    }
}

fn node(group: &Group) -> Node {
    Node {
        parent: group.parent.map_or(ROOT, |parent| parent + 1),
        share: f64::from(group.share.max(1)),
        ..Node::default()
    }
}

fn insert(active: &mut Vec<(f64, usize)>, virtual_time: f64, child: usize) {
    let position = active.partition_point(|(other, _)| *other <= virtual_time);
    active.insert(position, (virtual_time, child));
}
