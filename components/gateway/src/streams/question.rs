//! Questions to peers about streams, as long as a request waits for the answers.

use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::sync::{Notify, futures::Notified};

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
    /// Peers that have been asked.
    asked: Vec<SocketAddr>,
    /// Those of them that have not answered.
    unanswered: Vec<SocketAddr>,
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
            unanswered: Vec::new(),
        });
        Question {
            questions: self,
            number,
        }
    }

    /// Records that a peer does not know the answer.
    pub fn record_unknown(&self, subject: Subject, from: SocketAddr) {
        let mut open = self.open.lock();
        let about_it = |question: &&mut Open| question.subject == subject;
        for question in open.iter_mut().filter(about_it) {
            question.unanswered.retain(|peer| *peer != from);
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
    /// Asks peers, besides those that have been asked already.
    pub fn ask(&self, peers: &[SocketAddr]) {
        let mut open = self.questions.open.lock();
        let own = open.iter_mut().find(|open| open.number == self.number);
        let Some(own) = own else {
            return;
        };
        for peer in peers {
            if !own.asked.contains(peer) {
                own.asked.push(*peer);
                own.unanswered.push(*peer);
            }
        }
    }

    /// Discards the answers that peers don't know, as they may have learnt more.
    pub fn reopen(&self) {
        let mut open = self.questions.open.lock();
        let own = open.iter_mut().find(|open| open.number == self.number);
        if let Some(own) = own {
            own.unanswered.clone_from(&own.asked);
        }
    }

    /// Returns the peers that have not answered.
    pub fn unanswered(&self) -> Vec<SocketAddr> {
        let open = self.questions.open.lock();
        let own = open.iter().find(|question| question.number == self.number);
        own.map_or_else(Vec::new, |question| question.unanswered.clone())
    }

    /// Returns the number of peers that have been asked.
    pub fn asked(&self) -> usize {
        let open = self.questions.open.lock();
        let own = open.iter().find(|question| question.number == self.number);
        own.map_or(0, |question| question.asked.len())
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        let mut open = self.questions.open.lock();
        open.retain(|question| question.number != self.number);
    }
}
