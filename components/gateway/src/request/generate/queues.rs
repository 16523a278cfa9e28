//! The queues of a service. Requests that can take different slots wait in different queues, as a free slot may be of no
//! use to the first of a queue. See `docs/DESIGN.md#waiting-for-room`.

use std::sync::Arc;

use clock::Instant;

use super::{
    queue::{Queue, Rank},
    snapshot::{Snapshot, is_long_answer, reserved_builds},
};
use crate::{
    endpoint::{Build, Target},
    request::job::Job,
};

/// Which slots a request that waits can take.
#[derive(Clone, Copy, Debug)]
pub enum Claim<'a> {
    /// Those for new answers, on engines of any build.
    New,
    /// Those for new answers, on engines of the build that has prefilled its prompt.
    Prefilled(&'a Build),
    /// All, on engines of the build that has begun its stream.
    Begun(&'a Build),
    /// The same but for some engines, such as the one at which its stream broke.
    Broken(&'a Build),
}

impl<'a> Claim<'a> {
    /// Returns the claim of a request whose prompt no other engine has prefilled, and that may not return to the engines
    /// that it has `tried`.
    pub fn of(job: &'a Job, tried: &[Arc<Target>]) -> Self {
        match job.build() {
            None => Self::New,
            Some(build) if tried.is_empty() => Self::Begun(build),
            Some(build) => Self::Broken(build),
        }
    }

    /// Returns the claim of a request whose prompt an engine of `build` has prefilled.
    pub fn of_prefilled(job: &'a Job, build: &'a Build) -> Self {
        job.build().map_or(Self::Prefilled(build), Self::Begun)
    }

    fn build(self) -> Option<&'a Build> {
        match self {
            Self::New => None,
            Self::Prefilled(build) | Self::Begun(build) | Self::Broken(build) => Some(build),
        }
    }
}

/// The queues of one service.
#[derive(Debug, Default)]
pub struct Queues {
    new: Arc<Queue>,
    prefilled: ByBuild,
    begun: ByBuild,
    broken: ByBuild,
}

impl Queues {
    /// Returns the queue of the requests with a claim.
    pub fn get(&mut self, claim: Claim<'_>) -> Arc<Queue> {
        match claim {
            Claim::New => Arc::clone(&self.new),
            Claim::Prefilled(build) => self.prefilled.get(build),
            Claim::Begun(build) => self.begun.get(build),
            Claim::Broken(build) => self.broken.get(build),
        }
    }

    /// Whether a request that comes before one of this rank waits for slots that one with this claim can take, and has not
    /// looked for room after `since`. New requests leave the engines of the `reserved` builds to others.
    pub fn is_outranked(
        &self,
        claim: Claim<'_>,
        reserved: &[Build],
        rank: Rank,
        since: Instant,
    ) -> bool {
        let mut rivals = self.rivals(claim, reserved);
        rivals.any(|queue| queue.outranks(rank, since))
    }

    /// Returns when a request that comes before one of this rank last took room that one with this claim could take.
    pub fn taken_at(&self, claim: Claim<'_>, reserved: &[Build], rank: Rank) -> Option<Instant> {
        let rivals = self.rivals(claim, reserved);
        rivals.filter_map(|queue| queue.taken_at(rank)).max()
    }

    /// Returns the queues of requests that can take the same slots as one with this claim.
    fn rivals<'a>(
        &'a self,
        claim: Claim<'a>,
        reserved: &'a [Build],
    ) -> impl Iterator<Item = &'a Queue> {
        let is_shared = |build: &Build| !reserved.contains(build);
        let new = claim.build().is_none_or(is_shared).then_some(&*self.new);
        let bound = self.bound().filter(move |(build, _)| match claim.build() {
            Some(own) => own == build,
            None => is_shared(build),
        });
        new.into_iter().chain(bound.map(|(_, queue)| &**queue))
    }

    /// Returns the builds for whose engines requests wait that other engines can't serve.
    pub fn awaited_builds(&self) -> Vec<Build> {
        let waiting = self.bound().filter(|(_, queue)| queue.len() > 0);
        waiting.map(|(build, _)| build.clone()).collect()
    }

    /// Returns the queues of requests that only engines of one build can serve, with these builds.
    fn bound(&self) -> impl Iterator<Item = &(Build, Arc<Queue>)> {
        let queues = [&self.prefilled, &self.begun, &self.broken];
        queues.into_iter().flat_map(|queues| &queues.0)
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
        let reserved = reserved_builds(job);
        let service = &job.service.name;
        let taken_at = job
            .gateway
            .room_taken_at(service, claim, &reserved, ticket.rank());
        let room_since = ticket.record_look(found.is_ok(), taken_at);
        // those in other queues that come before it look first
        let is_outranked = |since| {
            job.gateway
                .is_outranked(service, claim, &reserved, ticket.rank(), since)
        };
        if room_since.is_some_and(|since| !is_outranked(since)) {
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
        // the next one may have tried other engines
        if snapshot.is_full(job) && !matches!(claim, Claim::Broken(_)) {
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
