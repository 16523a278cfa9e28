//! Fair share over the tree of groups: who goes next, and who can't make its deadline.
//!
//! Each group has a virtual time that advances by the work it was given, divided by its share. Of
//! the groups with waiting requests the one that is furthest behind goes first, level by level. A
//! share that is not used is lent at once and never saved up. See `docs/DESIGN.md#fair-share`.

use crate::{Micros, to_f64, to_u64};

/// A group as the queue needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// Index of the parent; none at the top. Parents come before their children.
    pub parent: Option<usize>,
    /// Share against its siblings.
    pub share: u32,
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Its number.
    pub id: u64,
    /// 9 goes first within its group.
    pub priority: u8,
    /// The work that it will likely take, in microseconds of an engine.
    pub work: Micros,
    /// When it must be done.
    pub deadline: Micros,
}

#[derive(Clone, Debug, Default)]
struct Node {
    parent: usize,
    share: f64,
    virtual_time: f64,
    /// The lowest time of a child that went, so that a child that wakes starts from there.
    virtual_time_floor: f64,
    /// Children with something to do, sorted by virtual time.
    active: Vec<(f64, usize)>,
    /// Own waiting requests, the highest priority first.
    waiting: Vec<QueuedRequest>,
    /// Work of the own waiting requests and those below.
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
    /// A queue for these groups.
    #[must_use]
    pub fn new(groups: &[Group]) -> Self {
        let mut queue = Self {
            nodes: vec![Node::default()],
            length: 0,
        };
        queue.nodes.extend(groups.iter().map(node));
        queue
    }

    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Work that waits, over all groups.
    #[must_use]
    pub fn queued_work(&self) -> Micros {
        self.nodes[ROOT].queued_work
    }

    /// Adds a request of a group.
    pub fn push(&mut self, group: usize, request: QueuedRequest) {
        let at = group + 1;
        let waiting = &mut self.nodes[at].waiting;
        let place = waiting.partition_point(|other| other.priority >= request.priority);
        waiting.insert(place, request);
        self.length += 1;
        self.add_work(at, request.work);
        self.activate(at);
    }

    /// Takes a request away that has hung up or run out of time.
    pub fn remove(&mut self, group: usize, id: u64) -> bool {
        let at = group + 1;
        let Some(place) = self.nodes[at].waiting.iter().position(|r| r.id == id) else {
            return false;
        };
        let request = self.nodes[at].waiting.remove(place);
        self.remove_work(at, &request);
        true
    }

    /// The groups that go next, in their order, each with its first request; at most `most`.
    ///
    /// Several are given because the first one's request may need what is full just now, while
    /// another's doesn't: a long prompt that waits for an engine holds nobody else up.
    #[must_use]
    pub fn peek(&self, most: usize) -> Vec<(usize, QueuedRequest)> {
        let mut heads = Vec::new();
        self.collect_heads(ROOT, most, &mut heads);
        heads
    }

    fn collect_heads(&self, at: usize, most: usize, heads: &mut Vec<(usize, QueuedRequest)>) {
        let node = &self.nodes[at];
        if let Some(request) = node.waiting.first() {
            heads.push((at - 1, *request));
        }
        for (_, child) in &node.active {
            if heads.len() >= most {
                return;
            }
            self.collect_heads(*child, most, heads);
        }
    }

    /// Takes the first request of a group and charges the group for it.
    pub fn pop(&mut self, group: usize) -> Option<QueuedRequest> {
        let at = group + 1;
        if self.nodes[at].waiting.is_empty() {
            return None;
        }
        let request = self.nodes[at].waiting.remove(0);
        self.charge(group, request.work);
        self.remove_work(at, &request);
        Some(request)
    }

    /// Charges a group for work: here, at a peer, or found on completion to be more than thought.
    pub fn charge(&mut self, group: usize, work: Micros) {
        let mut at = group + 1;
        while at != ROOT {
            let parent = self.nodes[at].parent;
            let before = self.nodes[at].virtual_time;
            self.nodes[at].virtual_time = before + to_f64(work) / self.nodes[at].share;
            self.reorder(parent, at, before);
            at = parent;
        }
    }

    /// How long a request of a group would wait: behind its group's own work at the share that the
    /// group has now, and never longer than behind everything.
    #[must_use]
    pub fn estimate_wait(&self, group: usize, engines: u64) -> Micros {
        let engines = to_f64(engines.max(1));
        let mut part = 1.0;
        let mut at = group + 1;
        let own = to_f64(self.nodes[at].queued_work);
        while at != ROOT {
            let parent = self.nodes[at].parent;
            part *= self.active_share(parent, at);
            at = parent;
        }
        let alone = own / (engines * part);
        to_u64(alone.min(to_f64(self.queued_work()) / engines))
    }

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

    fn add_work(&mut self, mut at: usize, work: Micros) {
        loop {
            self.nodes[at].queued_work += work;
            if at == ROOT {
                return;
            }
            at = self.nodes[at].parent;
        }
    }

    fn remove_work(&mut self, mut at: usize, request: &QueuedRequest) {
        self.length -= 1;
        let leaf = at;
        loop {
            let queued = &mut self.nodes[at].queued_work;
            *queued = queued.saturating_sub(request.work);
            if at == ROOT {
                break;
            }
            at = self.nodes[at].parent;
        }
        self.deactivate(leaf);
    }

    /// Puts a group and its parents among the active ones.
    fn activate(&mut self, mut at: usize) {
        while at != ROOT {
            let parent = self.nodes[at].parent;
            if self.nodes[parent]
                .active
                .iter()
                .any(|(_, child)| *child == at)
            {
                return;
            }
            // who was idle starts level with those that go now: nothing is saved up
            let floor = self.nodes[parent].virtual_time_floor;
            let time = self.nodes[at].virtual_time.max(floor);
            self.nodes[at].virtual_time = time;
            insert(&mut self.nodes[parent].active, time, at);
            at = parent;
        }
    }

    /// Takes groups with nothing to do from among the active ones.
    fn deactivate(&mut self, mut at: usize) {
        while at != ROOT {
            let node = &self.nodes[at];
            if !node.waiting.is_empty() || !node.active.is_empty() {
                return;
            }
            let parent = node.parent;
            self.nodes[parent].active.retain(|(_, child)| *child != at);
            at = parent;
        }
    }

    fn reorder(&mut self, parent: usize, child: usize, before: f64) {
        let time = self.nodes[child].virtual_time;
        let siblings = &mut self.nodes[parent];
        if let Some(place) = siblings
            .active
            .iter()
            .position(|(_, other)| *other == child)
        {
            siblings.active.remove(place);
            insert(&mut siblings.active, time, child);
            siblings.virtual_time_floor = siblings.virtual_time_floor.max(before);
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

fn insert(active: &mut Vec<(f64, usize)>, time: f64, child: usize) {
    let place = active.partition_point(|(other, _)| *other <= time);
    active.insert(place, (time, child));
}
