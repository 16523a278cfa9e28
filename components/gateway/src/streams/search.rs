//! Finds the build that began a stream which a caller resumes.
//!
//! A process that has just started, or whose peers are busy, learns it late. As long as it may still be learnt the caller
//! waits; it is refused at once when nobody is left who may know.

use std::{net::SocketAddr, time::Duration};

use clock::Instant;
use derive_more::Display;

use super::{
    Begun, Key,
    exchange::Item,
    question::{Question, Subject},
};
use crate::{
    endpoint::Build,
    peer::DISCOVERY_PERIOD,
    process::{Gateway, Rows},
};

/// Number of live peers that are asked, and at most as many again of which no digest has been received. More than hold copies,
/// since gateways may differ in which peers they take to be alive.
const ASKED_PEERS: usize = 8;
/// After this time the peers that have not answered are asked again, as datagrams may be lost. Doubled each time, since a
/// slow peer has to handle all questions.
const REPEAT_INTERVAL: Duration = Duration::from_millis(40);
/// How often to look for further peers to ask as long as live ones may not be known.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(40);
/// Time in which those left have usually read the rows of a gateway that is gone, and sent its streams to the peers that
/// are asked.
const ROWS_OF_LOST_PERIOD: Duration = Duration::from_millis(500);

/// How it is known which build began a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Source {
    /// A record of this process or of a peer says so.
    Record,
    /// No other build has served the service lately.
    OnlyBuild,
    /// Several builds serve or have lately, and streams may have begun at one of them only.
    OnlyUsedBuild,
    /// Only this one was in use before, and every gateway that can have begun streams at others since is there and does not
    /// know it.
    BuildBeforeOthers,
}

/// A search for the build that began a stream.
#[derive(Clone, Copy)]
pub struct Search<'a> {
    /// The process.
    pub gateway: &'a Gateway,
    /// When the caller's request arrived: its stream had begun by then.
    pub arrived: Instant,
    /// The service of the stream.
    pub service: &'a str,
    /// The key of the stream, if the caller names it.
    pub key: Option<Key>,
}

/// What peers are asked during a search.
struct Questions<'a> {
    stream: Option<Question<'a>>,
    builds: Question<'a>,
}

impl Search<'_> {
    /// Returns the build, or `None` if it is not certain by `until` or will not be.
    pub async fn run(&self, request: &str, until: Instant) -> Option<(Build, Source)> {
        if let Some(known) = self.known() {
            return known.ok();
        }
        let started = Instant::now();
        let open = |subject| self.gateway.streams.questions.open(subject);
        let questions = Questions {
            stream: self.key.map(|key| open(Subject::Stream(key))),
            builds: open(Subject::Builds),
        };
        let found = clock::timeout_at(until, self.learn(&questions)).await;
        let found = found.ok().flatten();
        let builds = &questions.builds;
        let stream = questions.stream.as_ref();
        log::info!(
            request, asked = stream.map_or(0, Question::asked),
            unanswered = stream.map_or(0, |question| question.unanswered().len()),
            builds_asked = builds.asked(), builds_unanswered = builds.unanswered().len(),
            rows:? = *self.gateway.earlier_rows().borrow(),
            used:? = self.used().iter().map(Build::to_string).collect::<Vec<String>>(),
            rows_confirmed:? = self.gateway.confirmed_builds(self.arrived),
            build = found.as_ref().map(|(build, _)| build.to_string()),
            took_us = policy::micros(started.elapsed());
            "searched for the build that began a stream"
        );
        found
    }

    /// Waits until the build is known, or nobody is left who may know it.
    async fn learn(&self, questions: &Questions<'_>) -> Option<(Build, Source)> {
        let started = Instant::now();
        let mut rows = self.gateway.earlier_rows();
        let mut interval = REPEAT_INTERVAL;
        let mut repeat_at = Instant::now() + interval;
        loop {
            let now = Instant::now();
            let is_slow = now.duration_since(started) >= REPEAT_INTERVAL;
            let needs_rows = self.may_confirm()
                || self.may_be_before_others()
                || self.is_only_listed() && (is_slow || !self.may_agree(questions));
            if needs_rows && !self.is_confirmed() {
                self.gateway.want_rows_of_builds();
            }
            if self.ask(questions) {
                interval = REPEAT_INTERVAL;
                repeat_at = now + interval;
            } else if repeat_at <= now {
                self.repeat(questions);
                interval *= 2;
                repeat_at = now + interval;
            }
            let check_at = if self.gateway.peers.is_discovering() {
                repeat_at.min(now + DISCOVERY_INTERVAL)
            } else {
                repeat_at
            };
            loop {
                let answered = self.gateway.streams.questions.changed();
                if let Some(known) = self.known() {
                    return known.ok();
                }
                if let Some(only) = self.only_listed(questions) {
                    return Some((only, Source::OnlyBuild));
                }
                if let Some(found) = self.before_others(questions) {
                    return Some(found);
                }
                if !self.may_learn(questions) {
                    return self.unconfirmed();
                }
                let changed = async {
                    tokio::select! {
                        () = answered => {}
                        // the sender lives as long as the process
                        _ = rows.changed() => {}
                    }
                };
                if clock::timeout_at(check_at, changed).await.is_err() {
                    break;
                }
            }
        }
    }

    /// Returns what this process knows now: the build, or that it can't be known. `None` if more may become known.
    fn known(&self) -> Option<Result<(Build, Source), ()>> {
        let record = self.key.and_then(|key| self.gateway.known_stream(key));
        // read before the builds, so that they hold all that it says are known
        let knows_all = self.knows_all_builds();
        match (record, self.builds().as_slice()) {
            (Some(Begun::At(build)), _) => Some(Ok((build, Source::Record))),
            (Some(Begun::Ambiguous), _) => Some(Err(())),
            (None, [only]) if knows_all && self.is_alone() => {
                Some(Ok((only.clone(), Source::OnlyBuild)))
            }
            (None, [_, _, ..]) if self.is_confirmed() => {
                let used = self.only_used().map(|only| (only, Source::OnlyUsedBuild));
                used.map(Ok)
            }
            (None, _) => None,
        }
    }

    /// Whether no other gateway can have begun the stream.
    fn is_alone(&self) -> bool {
        !self.has_peer() && !self.may_miss_peer()
    }

    /// Whether gateways may begin streams that neither this process nor those that it hears would know.
    fn may_miss_peer(&self) -> bool {
        let read = self.gateway.builds_read();
        self.gateway.peers.may_miss_any(read)
    }

    /// Whether one build is listed and used, as far as this process knows.
    fn is_only_listed(&self) -> bool {
        let builds = self.builds();
        self.knows_all_builds()
            && builds.len() == 1
            && self.used().iter().all(|used| builds.contains(used))
    }

    /// Returns the only build that is listed if no other can have been used when the caller's request arrived: what this
    /// process believes may be old, as it was cut off or paused until just now.
    fn only_listed(&self, questions: &Questions<'_>) -> Option<Build> {
        let is_current = self.is_confirmed() || self.do_peers_agree(questions);
        let only = self.builds().first().cloned();
        only.filter(|_| is_current && self.is_only_listed())
    }

    /// Whether all peers have answered since the request arrived and none knows more.
    fn do_peers_agree(&self, questions: &Questions<'_>) -> bool {
        let builds = &questions.builds;
        self.may_agree(questions) && builds.asked() > 0 && builds.unanswered().is_empty()
    }

    /// Whether the answers of the peers may show that this process knows all builds: no gateway has fallen silent that may
    /// know more.
    fn may_agree(&self, questions: &Questions<'_>) -> bool {
        !questions.builds.is_incomplete() && !self.may_miss_peer()
    }

    /// Whether no stream can have begun, when the caller's request arrived, at a build of which this process does not know
    /// that it is used. Read before the builds in use.
    fn is_confirmed(&self) -> bool {
        self.gateway.confirmed_builds(self.arrived) == Some(true)
    }

    /// Returns the build at which all streams of the service have begun, if there is just one.
    fn only_used(&self) -> Option<Build> {
        match self.used().as_slice() {
            [only] if !self.is_uncertain() => Some(only.clone()),
            _ => None,
        }
    }

    /// Whether streams may have begun at one of several builds only, and that has to be confirmed.
    fn may_confirm(&self) -> bool {
        self.builds().len() > 1 && self.only_used().is_some()
    }

    /// Whether the build may still become known.
    fn may_learn(&self, questions: &Questions<'_>) -> bool {
        let may_hear_more = self.gateway.peers.is_discovering() || self.has_just_lost_peer();
        let may_answer = |question: &Question<'_>| may_hear_more || self.awaits_answer(question);
        // a read that failed is repeated soon
        let may_read_rows = *self.gateway.earlier_rows().borrow() != Rows::Read;
        let may_list_builds = may_read_rows || !self.gateway.knows_listed_builds();
        let may_report_builds = !self.gateway.knows_earlier_builds()
            && (self.gateway.peers.is_discovering() || !questions.builds.unanswered().is_empty());
        let may_learn_builds = (may_list_builds || may_report_builds) && self.builds().len() <= 1;
        let may_learn_stream = |question| may_read_rows || may_answer(question);
        let may_learn_builds = may_learn_builds
            || self.is_only_listed()
            || self.may_be_confirmed(questions)
            || (self.may_be_before_others() && !self.is_confirmed() && !self.has_failed());
        may_learn_builds || questions.stream.as_ref().is_some_and(may_learn_stream)
    }

    /// Whether the store, or the peers while it is away, may still confirm that streams have begun at one build only.
    fn may_be_confirmed(&self, questions: &Questions<'_>) -> bool {
        let builds = &questions.builds;
        let may_answer = || {
            !builds.unanswered().is_empty()
                || builds.is_uncertain()
                || builds.asked() == 0 && self.has_peer()
        };
        self.may_confirm() && (!self.has_failed() || may_answer())
    }

    /// Returns the only build in use if the store is away, and no peer has reported another one.
    fn unconfirmed(&self) -> Option<(Build, Source)> {
        let only = self
            .only_used()
            .filter(|_| self.may_confirm() && self.has_failed() && !self.may_miss_peer());
        only.map(|only| (only, Source::OnlyUsedBuild))
    }

    /// Returns the build that was the only one in use before others may have been, if the stream began before: each gateway
    /// that can have begun it later has answered that it does not know it.
    fn before_others(&self, questions: &Questions<'_>) -> Option<(Build, Source)> {
        let stream = questions.stream.as_ref()?;
        let are_all_asked = stream.asked() > 0 || !self.has_peer();
        let may_know = self.gateway.peers.is_discovering() || !stream.unanswered().is_empty();
        if !are_all_asked || may_know || !self.is_confirmed() || self.is_uncertain() {
            return None;
        }
        let found = self.gateway.build_before_others(self.service)?;
        // where it no longer serves, streams may have begun elsewhere without a row
        let serves = self.gateway.serves_build(self.service, &found);
        serves.then_some((found, Source::BuildBeforeOthers))
    }

    /// Whether the stream may be one from before further builds were used, which a read of the rows has to confirm.
    fn may_be_before_others(&self) -> bool {
        self.key.is_some()
            && self.used().len() > 1
            && self.gateway.build_before_others(self.service).is_some()
    }

    /// Whether streams may have begun at builds of which this process does not know that they are used.
    fn is_uncertain(&self) -> bool {
        !self.gateway.knows_earlier_builds()
            || self.gateway.has_unparsed_builds()
            || self.gateway.registry.builds().has_unrecorded(self.service)
    }

    /// Whether the store did not answer the last time that the rows of builds were read again.
    fn has_failed(&self) -> bool {
        self.gateway.confirmed_builds(self.arrived).is_none()
    }

    fn has_peer(&self) -> bool {
        !self.gateway.peers.ranking().is_empty()
    }

    /// Whether a peer that has been asked may still answer. One that has sent no digest may not be running.
    fn awaits_answer(&self, question: &Question<'_>) -> bool {
        let peers = &self.gateway.peers;
        let unanswered = question.unanswered();
        let mut unanswered = unanswered.iter();
        unanswered
            .any(|(peer, waited)| *waited < DISCOVERY_PERIOD || peers.has_received_from(*peer))
    }

    /// Asks the peers that may know more, besides those that have been asked already. Returns whether there are any.
    fn ask(&self, questions: &Questions<'_>) -> bool {
        let key = self.key.map_or(self.gateway.incarnation, |key| key.0);
        let peers = self.gateway.peers.ranked(key, ASKED_PEERS);
        let mut is_any_new = false;
        for (question, subject) in self.asked_now(questions) {
            let new = question.ask(&peers);
            self.send(&new, subject);
            is_any_new |= !new.is_empty();
        }
        is_any_new
    }

    /// Asks those peers again that have not answered.
    fn repeat(&self, questions: &Questions<'_>) {
        if let Some(question) = &questions.stream
            && self.has_just_lost_peer()
        {
            question.reopen();
        }
        // a peer that did not know all builds when it was asked may have read its rows
        questions.builds.reopen();
        for (question, subject) in self.asked_now(questions) {
            let unanswered = question.unanswered();
            let peers: Vec<SocketAddr> = unanswered.iter().map(|(peer, _)| *peer).collect();
            self.send(&peers, subject);
        }
    }

    /// Returns the questions whose answers may still help.
    fn asked_now<'a>(
        &self,
        questions: &'a Questions<'_>,
    ) -> impl Iterator<Item = (&'a Question<'a>, Subject)> {
        let stream = questions.stream.as_ref().zip(self.key);
        let stream = stream.map(|(question, key)| (question, Subject::Stream(key)));
        let asks_only = self.builds().len() == 1;
        let asks_builds = asks_only || self.may_confirm() && self.has_failed();
        let builds = asks_builds.then_some((&questions.builds, Subject::Builds));
        stream.into_iter().chain(builds)
    }

    fn send(&self, peers: &[SocketAddr], subject: Subject) {
        let items = peers.iter().map(|peer| (*peer, Item::Ask(subject)));
        self.gateway.streams.outbox.push(items);
    }

    /// Whether this process knows the builds that serve and those that served before it started.
    fn knows_all_builds(&self) -> bool {
        self.gateway.knows_earlier_builds() && self.gateway.knows_listed_builds()
    }

    /// Whether peers may be about to learn the streams of one that is gone.
    fn has_just_lost_peer(&self) -> bool {
        let peers = &self.gateway.peers;
        peers.has_just_lost(ROWS_OF_LOST_PERIOD)
    }

    fn used(&self) -> Vec<Build> {
        self.gateway.registry.builds().used(self.service)
    }

    fn builds(&self) -> Vec<Build> {
        self.gateway.registry.builds().of(self.service)
    }
}
