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
    is_answered: bool,
    /// Whether its answer says nothing, as it does not know all builds in use.
    is_uncertain: bool,
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

    /// Records that a peer does not know the answer.
    pub fn record_unknown(&self, subject: Subject, from: SocketAddr) {
        self.record(subject, from, false);
    }

    /// Records that a peer has answered and does not know all builds in use.
    pub fn record_uncertain(&self, subject: Subject, from: SocketAddr) {
        self.record(subject, from, true);
    }

    fn record(&self, subject: Subject, from: SocketAddr, is_uncertain: bool) {
        let mut open = self.open.lock();
        let about_it = |question: &&mut Open| question.subject == subject;
        for question in open.iter_mut().filter(about_it) {
            let answered = question.asked.iter_mut().find(|asked| asked.peer == from);
            if let Some(asked) = answered {
                asked.is_answered = true;
                asked.is_uncertain = is_uncertain;
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
                is_answered: false,
                is_uncertain: false,
            }));
            new
        };
        self.with(ask).unwrap_or_default()
    }

    /// Discards the answers that peers don't know, as they may have learnt more.
    pub fn reopen(&self) {
        self.with(|own| {
            for asked in &mut own.asked {
                asked.is_answered = false;
            }
        });
    }

    /// Returns the peers that have not answered, with the time since they were first asked.
    pub fn unanswered(&self) -> Vec<(SocketAddr, Duration)> {
        let unanswered = |own: &mut Open| {
            let waiting = own.asked.iter().filter(|asked| !asked.is_answered);
            waiting
                .map(|asked| (asked.peer, asked.since.elapsed()))
                .collect()
        };
        self.with(unanswered).unwrap_or_default()
    }

    /// Whether a peer has answered that does not know all builds in use.
    pub fn is_uncertain(&self) -> bool {
        let is_uncertain = |own: &mut Open| own.asked.iter().any(|asked| asked.is_uncertain);
        self.with(is_uncertain).unwrap_or_default()
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
