//! Questions to peers about streams, as long as a request waits for the answers.

use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::sync::{Notify, futures::Notified};

use super::Key;

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
    key: Key,
    /// Peers that have not answered.
    unanswered: Vec<SocketAddr>,
}

/// An open question, closed when this is dropped.
#[derive(Debug)]
pub struct Question<'a> {
    questions: &'a Questions,
    number: u64,
}

impl Questions {
    /// Opens a question to peers.
    pub fn ask(&self, key: Key, peers: Vec<SocketAddr>) -> Question<'_> {
        let number = {
            let mut count = self.count.lock();
            *count += 1;
            *count
        };
        self.open.lock().push(Open {
            number,
            key,
            unanswered: peers,
        });
        Question {
            questions: self,
            number,
        }
    }

    /// Records that a peer does not know a stream.
    pub fn record_unknown(&self, key: Key, from: SocketAddr) {
        let mut open = self.open.lock();
        for question in open.iter_mut().filter(|question| question.key == key) {
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
    /// Returns the peers that have not answered.
    pub fn unanswered(&self) -> Vec<SocketAddr> {
        let open = self.questions.open.lock();
        let own = open.iter().find(|question| question.number == self.number);
        own.map_or_else(Vec::new, |question| question.unanswered.clone())
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        let mut open = self.questions.open.lock();
        open.retain(|question| question.number != self.number);
    }
}
