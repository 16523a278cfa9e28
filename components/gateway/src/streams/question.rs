//! Questions to peers about streams, as long as a request waits for the answers.

use std::{net::SocketAddr, time::Duration};

use parking_lot::Mutex;
use tokio::{
    sync::{Notify, futures::Notified},
    time::Instant,
};

use super::Key;

/// What peers are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Which build began the streams with this key.
    Stream(Key),
    /// Which builds have served lately.
    Builds,
}

/// The open questions.
#[derive(Debug, Default)]
pub struct Questions {
    open: Mutex<Vec<Open>>,
    /// Number of questions so far.
    count: Mutex<u64>,
    /// Notified when an answer arrives.
    answered: Notify,
}

#[derive(Debug)]
struct Open {
    number: u64,
    subject: Subject,
    asked: Vec<Asked>,
}

/// A peer that has been asked.
#[derive(Clone, Copy, Debug)]
struct Asked {
    peer: SocketAddr,
    /// When it was first asked; time for which this machine was suspended does not count.
    since: Instant,
    answer: Option<Answer>,
}

/// What the answer of a peer that does not know what it was asked for is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// There is nothing that it would not know.
    Certain,
    /// It knows all builds that serve, but not which of them are in use.
    WithoutUse,
    /// It does not know all builds.
    Incomplete,
}

/// An open question, closed when this is dropped.
#[derive(Debug)]
pub struct Question<'a> {
    questions: &'a Questions,
    number: u64,
}

impl Questions {
    /// Opens a question, to nobody as yet.
    pub fn open(&self, subject: Subject) -> Question<'_> {
        let number = {
            let mut count = self.count.lock();
            *count += 1;
            *count
        };
        self.open.lock().push(Open {
            number,
            subject,
            asked: Vec::new(),
        });
        Question {
            questions: self,
            number,
        }
    }

    /// Records that a peer does not know what it was asked for.
    pub fn record(&self, subject: Subject, from: SocketAddr, answer: Answer) {
        let mut open = self.open.lock();
        let about_it = |question: &&mut Open| question.subject == subject;
        for question in open.iter_mut().filter(about_it) {
            let answered = question.asked.iter_mut().find(|asked| asked.peer == from);
            if let Some(asked) = answered {
                asked.answer = Some(answer);
            }
        }
    }

    /// Wakes the requests that wait for answers.
    pub fn notify(&self) {
        self.answered.notify_waiters();
    }

    /// Returns a future that completes when an answer arrives after this call.
    pub fn changed(&self) -> Notified<'_> {
        self.answered.notified()
    }
}

impl Question<'_> {
    /// Asks peers, besides those that have been asked already. Returns those that are asked for the first time.
    pub fn ask(&self, peers: &[SocketAddr]) -> Vec<SocketAddr> {
        let since = Instant::now();
        let ask = |own: &mut Open| {
            let is_new = |peer: &&SocketAddr| own.asked.iter().all(|asked| asked.peer != **peer);
            let new: Vec<SocketAddr> = peers.iter().filter(is_new).copied().collect();
            own.asked.extend(new.iter().map(|peer| Asked {
                peer: *peer,
                since,
                answer: None,
            }));
            new
        };
        self.with(ask).unwrap_or_default()
    }

    /// Discards the answers that peers don't know, as they may have learnt more.
    pub fn reopen(&self) {
        self.with(|own| {
            for asked in &mut own.asked {
                asked.answer = None;
            }
        });
    }

    /// Returns the peers that have not answered, with the time since they were first asked.
    pub fn unanswered(&self) -> Vec<(SocketAddr, Duration)> {
        let unanswered = |own: &mut Open| {
            let waiting = own.asked.iter().filter(|asked| asked.answer.is_none());
            waiting
                .map(|asked| (asked.peer, asked.since.elapsed()))
                .collect()
        };
        self.with(unanswered).unwrap_or_default()
    }

    /// Whether a peer has answered that does not know all builds in use.
    pub fn is_uncertain(&self) -> bool {
        self.has(|answer| answer != Answer::Certain)
    }

    /// Whether a peer has answered that does not know all builds.
    pub fn is_incomplete(&self) -> bool {
        self.has(|answer| answer == Answer::Incomplete)
    }

    fn has(&self, is_wanted: impl Fn(Answer) -> bool) -> bool {
        let has = |own: &mut Open| {
            own.asked
                .iter()
                .filter_map(|asked| asked.answer)
                .any(is_wanted)
        };
        self.with(has).unwrap_or_default()
    }

    /// Returns the number of peers that have been asked.
    pub fn asked(&self) -> usize {
        self.with(|own| own.asked.len()).unwrap_or_default()
    }

    fn with<T>(&self, use_own: impl FnOnce(&mut Open) -> T) -> Option<T> {
        let mut open = self.questions.open.lock();
        let own = open
            .iter_mut()
            .find(|question| question.number == self.number);
        own.map(use_own)
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        let mut open = self.questions.open.lock();
        open.retain(|question| question.number != self.number);
    }
}
