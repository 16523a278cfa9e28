//! Records of streams, bounded in number and kept until their callers can no longer resume them.

use std::sync::atomic::{AtomicUsize, Ordering};

use clock::Instant;
use parking_lot::Mutex;

use super::{Begun, Key};

/// Number of parts of the table, each with a lock of its own, so that inserting into one moves few records.
const SHARDS: usize = 64;
/// Maximum number of records in a shard; 65,536 in the table, about 6 MB.
const MAX_RECORDS_PER_SHARD: usize = 1_024;

/// Who sends the copies of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This process.
    This,
    /// The peer of this incarnation, which sent the record.
    Peer(u64),
    /// Nobody: it was read from the store, as all gateways do that have started since.
    Store,
}

/// A stream and the build that began it.
#[derive(Clone, Debug)]
pub struct Record {
    pub key: Key,
    pub begun: Begun,
    /// Until when its caller may resume it.
    pub expires: Instant,
    /// Who sends the copies: the process whose caller began the stream, or one that has taken the record over.
    pub owner: Owner,
    /// The peers that have been sent a copy; zero for none.
    pub sent_to: u64,
    /// How often they have been sent it.
    pub sent: u32,
}

/// The records, each shard sorted by key.
#[derive(Debug)]
pub struct Table {
    shards: Vec<Mutex<Vec<Record>>>,
    /// The shard whose expired records are evicted next.
    next_eviction: AtomicUsize,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            shards: std::iter::repeat_with(Mutex::default)
                .take(SHARDS)
                .collect(),
            next_eviction: AtomicUsize::new(0),
        }
    }
}

impl Table {
    /// Adds a record, or merges it with the one of the same key. Returns whether another one had to be dropped.
    pub fn record(&self, key: Key, begun: Begun, expires: Instant, owner: Owner) -> bool {
        let now = Instant::now();
        let mut shard = self.shard(key).lock();
        let index = match shard.binary_search_by_key(&key, |record| record.key) {
            Ok(index) if shard[index].expires > now => {
                shard[index].merge(&begun, expires, owner);
                return false;
            }
            // the id is used again for another stream
            Ok(index) => {
                shard.remove(index);
                index
            }
            Err(index) => index,
        };
        shard.insert(
            index,
            Record {
                key,
                begun,
                expires,
                owner,
                sent_to: 0,
                sent: 0,
            },
        );
        shard.len() > MAX_RECORDS_PER_SHARD && drop_one(&mut shard, now)
    }

    /// Returns the record of a stream unless it has expired.
    pub fn get(&self, key: Key, now: Instant) -> Option<Record> {
        let shard = self.shard(key).lock();
        let index = shard.binary_search_by_key(&key, |record| record.key).ok()?;
        Some(&shard[index])
            .filter(|record| record.expires > now)
            .cloned()
    }

    /// Calls a function for the records, either that of `only` or all.
    pub fn for_each(&self, now: Instant, only: Option<Key>, mut f: impl FnMut(&mut Record)) {
        let shards = match only {
            Some(key) => std::slice::from_ref(self.shard(key)),
            None => &self.shards,
        };
        for shard in shards {
            let mut records = shard.lock();
            let chosen = records
                .iter_mut()
                .filter(|record| record.expires > now && only.is_none_or(|key| key == record.key));
            chosen.for_each(&mut f);
        }
    }

    /// Evicts the expired records of one shard, another one with each call.
    pub fn evict_expired(&self, now: Instant) {
        let index = self.next_eviction.fetch_add(1, Ordering::Relaxed) % SHARDS;
        let mut records = self.shards[index].lock();
        records.retain(|record| record.expires > now);
        if records.is_empty() {
            records.shrink_to_fit();
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    fn shard(&self, key: Key) -> &Mutex<Vec<Record>> {
        let index = usize::try_from(key.0).unwrap_or(usize::MAX) % SHARDS;
        &self.shards[index]
    }
}

impl Record {
    /// Makes this process send the copies, as if it had sent none.
    pub fn take_over(&mut self) {
        self.owner = Owner::This;
        self.sent_to = 0;
    }

    fn merge(&mut self, begun: &Begun, expires: Instant, owner: Owner) {
        if self.begun != *begun {
            self.begun = Begun::Ambiguous;
            self.sent_to = 0;
        }
        self.expires = self.expires.max(expires);
        self.owner = match (self.owner, owner) {
            (Owner::This, _) | (Owner::Peer(_), Owner::Store) => self.owner,
            (Owner::Peer(_) | Owner::Store, _) => owner,
        };
    }
}

/// Drops the expired records, or else the one that expires first. Returns whether that one had not expired.
fn drop_one(records: &mut Vec<Record>, now: Instant) -> bool {
    records.retain(|record| record.expires > now);
    if records.len() <= MAX_RECORDS_PER_SHARD {
        return false;
    }
    let first = records
        .iter()
        .enumerate()
        .min_by_key(|(_, record)| record.expires);
    if let Some(index) = first.map(|(index, _)| index) {
        records.remove(index);
    }
    true
}
