//! Engines given to a request, counted as long as the grant lives.

use std::{net::SocketAddr, sync::Arc};

use super::{Entry, Pool};
use crate::process::gates::{Hold, Id};

/// One engine given to a request.
#[derive(Debug)]
pub struct Place {
    /// Its name.
    pub id: Id,
    /// Where it listens.
    pub address: SocketAddr,
    reading: u64,
    band: usize,
    writes: bool,
    _hold: Hold,
}

impl Place {
    pub(super) fn new(entry: &Entry, hold: Hold, reading: u64, band: usize, writes: bool) -> Self {
        Self {
            id: entry.id.clone(),
            address: entry.endpoint.address,
            reading,
            band,
            writes,
            _hold: hold,
        }
    }

    pub(super) fn count(&self, entries: &mut [Entry]) {
        if let Ok(at) = entries.binary_search_by(|entry| entry.id.cmp(&self.id)) {
            let entry = &mut entries[at];
            entry.reading[self.band] += self.reading;
            entry.sent += self.reading;
            entry.writing += u64::from(self.writes);
        }
    }

    fn read(&mut self, pool: &Pool) {
        let reading = std::mem::take(&mut self.reading);
        if reading > 0 {
            pool.with(&self.id, |entry| {
                let left = &mut entry.reading[self.band];
                *left = left.saturating_sub(reading);
            });
        }
    }
}

/// The engines given to a request: one, or one that reads and one that writes.
#[derive(Debug)]
pub struct Grant {
    pool: Arc<Pool>,
    /// In the order in which they serve.
    places: Vec<Place>,
}

impl Grant {
    pub(super) fn new(pool: Arc<Pool>, places: Vec<Place>) -> Self {
        Self { pool, places }
    }

    /// The engine that gets the request first.
    pub fn first(&self) -> Option<(Id, SocketAddr)> {
        self.places.first().map(Place::name)
    }

    /// The engine that writes after another one has read; none when one does both.
    pub fn second(&self) -> Option<(Id, SocketAddr)> {
        self.places.get(1).map(Place::name)
    }

    /// Notes that the prompt was read: the engine has room for the next one.
    pub fn read(&mut self) {
        if let Some(place) = self.places.first_mut() {
            place.read(&self.pool);
            self.pool.wake();
        }
    }

    /// Gives the engine back that has read, after the one that writes has taken over.
    pub fn hand_over(&mut self) {
        if self.places.len() > 1 {
            self.read();
            self.places.remove(0);
        }
    }
}

impl Place {
    fn name(&self) -> (Id, SocketAddr) {
        (self.id.clone(), self.address)
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        for place in &mut self.places {
            place.read(&self.pool);
            if place.writes {
                self.pool.with(&place.id, |entry| {
                    entry.writing = entry.writing.saturating_sub(1);
                });
            }
        }
        self.places.clear();
        self.pool.wake();
    }
}
