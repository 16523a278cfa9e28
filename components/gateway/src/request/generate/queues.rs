//! The queues of a service. Requests that can take different slots wait in different queues, as a free slot may be of no
//! use to the first of a queue. See `docs/DESIGN.md#waiting-for-room`.

use std::sync::Arc;

use clock::Instant;

use super::{
    queue::Queue,
    snapshot::{Snapshot, is_long_answer},
};
use crate::{endpoint::Build, request::job::Job};

/// Which slots a request that waits can take.
#[derive(Clone, Copy, Debug)]
pub enum Claim<'a> {
    /// Those for new answers, on engines of any build.
    New,
    /// Those for new answers, on engines of the build that has prefilled its prompt.
    Prefilled(&'a Build),
    /// All, on engines of the build that has begun its stream.
    Begun(&'a Build),
}

impl<'a> Claim<'a> {
    /// Returns the claim of a request whose prompt no other engine has prefilled.
    pub fn of(job: &'a Job) -> Self {
        job.build().map_or(Self::New, Self::Begun)
    }

    /// Returns the claim of a request whose prompt an engine of `build` has prefilled.
    pub fn of_prefilled(job: &'a Job, build: &'a Build) -> Self {
        job.build().map_or(Self::Prefilled(build), Self::Begun)
    }

    fn build(self) -> Option<&'a Build> {
        match self {
            Self::New => None,
            Self::Prefilled(build) | Self::Begun(build) => Some(build),
        }
    }
}

/// The queues of one service.
#[derive(Debug, Default)]
pub struct Queues {
    new: Arc<Queue>,
    prefilled: ByBuild,
    begun: ByBuild,
}

impl Queues {
    /// Returns the queue of the requests with a claim.
    pub fn get(&mut self, claim: Claim<'_>) -> Arc<Queue> {
        match claim {
            Claim::New => Arc::clone(&self.new),
            Claim::Prefilled(build) => self.prefilled.get(build),
            Claim::Begun(build) => self.begun.get(build),
        }
    }

    /// Whether a request of a higher priority than `priority` waits for slots that one with this claim can take, and has
    /// not looked for room after `since`.
    pub fn is_outranked(&self, claim: Claim<'_>, priority: u32, since: Instant) -> bool {
        let bound = self.prefilled.0.iter().chain(&self.begun.0);
        let mut rivals = bound.filter(|(build, _)| claim.build().is_none_or(|own| own == build));
        self.new.outranks(priority, since)
            || rivals.any(|(_, queue)| queue.outranks(priority, since))
    }

    /// Returns when a request of any queue last took room that it had found.
    pub fn taken_at(&self) -> Option<Instant> {
        let bound = self.prefilled.0.iter().chain(&self.begun.0);
        let taken = bound.filter_map(|(_, queue)| queue.taken_at());
        taken.chain(self.new.taken_at()).max()
    }

    /// Returns the builds for whose engines requests wait that other engines can't serve.
    pub fn awaited_builds(&self) -> Vec<Build> {
        let queues = self.prefilled.0.iter().chain(&self.begun.0);
        let waiting = queues.filter(|(_, queue)| queue.len() > 0);
        waiting.map(|(build, _)| build.clone()).collect()
    }
}

/// Waits in the queue of a claim until `look` finds room; `None` if there is none in time, or if the request is withheld
/// meanwhile. At the end of its wait it takes what those before it have no use for.
pub async fn wait<T>(
    job: &Job,
    claim: Claim<'_>,
    look: impl Fn() -> Result<T, Snapshot>,
) -> Option<T> {
    let queue = job.gateway.queue(&job.service.name, claim);
    let ticket = queue.join(job);
    while ticket.wait_turn(job).await {
        let found = look();
        let taken_at = job.gateway.room_taken_at(&job.service.name);
        let room_since = ticket.record_look(found.is_ok(), taken_at);
        // those of a higher priority in other queues look first
        if room_since.is_some_and(|since| !job.gateway.is_outranked(job, claim, since)) {
            ticket.record_taken();
            return found.ok();
        }
    }
    let is_long = is_long_answer(job);
    if job.withheld().is_some() || !ticket.may_look_last(is_long) {
        return None;
    }
    let found = look().inspect_err(|snapshot| {
        snapshot.log_obstacles(job, claim, "no engine has had room in time");
        if snapshot.is_full(job) {
            ticket.record_left(is_long);
        }
    });
    found.ok()
}

/// A queue for each build, sorted by build.
#[derive(Debug, Default)]
struct ByBuild(Vec<(Build, Arc<Queue>)>);

impl ByBuild {
    fn get(&mut self, build: &Build) -> Arc<Queue> {
        if let Ok(index) = self.0.binary_search_by(|(other, _)| other.cmp(build)) {
            return Arc::clone(&self.0[index].1);
        }
        // queues that nobody waits in are not kept
        self.0.retain(|(_, queue)| Arc::strong_count(queue) > 1);
        let queue = Arc::<Queue>::default();
        let index = self.0.partition_point(|(other, _)| other < build);
        self.0.insert(index, (build.clone(), Arc::clone(&queue)));
        queue
    }
}
