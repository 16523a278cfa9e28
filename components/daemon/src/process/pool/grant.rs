//! Engines granted to a request. Their load counts until the grant is dropped.

use std::{net::SocketAddr, sync::Arc};

use super::{Entry, Pool};
use crate::process::gates::{Id, RequestGuard};

/// One engine granted to a request.
#[derive(Debug)]
pub struct GrantedEngine {
    pub id: Id,
    pub address: SocketAddr,
    prefill_tokens: u64,
    class: usize,
    decodes: bool,
    _guard: RequestGuard,
}

impl GrantedEngine {
    pub(super) fn new(
        entry: &Entry,
        guard: RequestGuard,
        prefill_tokens: u64,
        class: usize,
        decodes: bool,
    ) -> Self {
        Self {
            id: entry.id.clone(),
            address: entry.endpoint.address,
            prefill_tokens,
            class,
            decodes,
            _guard: guard,
        }
    }

    pub(super) fn add_load(&self, entries: &mut [Entry]) {
        if let Ok(at) = entries.binary_search_by(|entry| entry.id.cmp(&self.id)) {
            let entry = &mut entries[at];
            entry.prefill_tokens[self.class] += self.prefill_tokens;
            entry.sent_prompt_tokens += self.prefill_tokens;
            entry.decode_requests += u64::from(self.decodes);
        }
    }

    fn finish_prefill(&mut self, pool: &Pool) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        if prefill_tokens > 0 {
            pool.with_entry(&self.id, |entry| {
                let left = &mut entry.prefill_tokens[self.class];
                *left = left.saturating_sub(prefill_tokens);
            });
        }
    }
}

/// The engines granted to a request: one, or one for prefill and one for decode.
#[derive(Debug)]
pub struct Grant {
    pool: Arc<Pool>,
    /// In the order of use.
    engines: Vec<GrantedEngine>,
}

impl Grant {
    pub(super) fn new(pool: Arc<Pool>, engines: Vec<GrantedEngine>) -> Self {
        Self { pool, engines }
    }

    /// Returns the engine that the request is sent to first.
    pub fn first(&self) -> Option<(Id, SocketAddr)> {
        self.engines.first().map(GrantedEngine::id_and_address)
    }

    /// Returns the engine that decodes in a split placement; `None` if one engine does both.
    pub fn second(&self) -> Option<(Id, SocketAddr)> {
        self.engines.get(1).map(GrantedEngine::id_and_address)
    }

    /// Records the end of prefill, after which the engine can take the next prompt.
    pub fn finish_prefill(&mut self) {
        if let Some(engine) = self.engines.first_mut() {
            engine.finish_prefill(&self.pool);
            self.pool.wake();
        }
    }

    /// Releases the prefill engine of a split placement, once the decode engine has taken over.
    pub fn release_prefill_engine(&mut self) {
        if self.engines.len() > 1 {
            self.finish_prefill();
            self.engines.remove(0);
        }
    }
}

impl GrantedEngine {
    fn id_and_address(&self) -> (Id, SocketAddr) {
        (self.id.clone(), self.address)
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        for engine in &mut self.engines {
            engine.finish_prefill(&self.pool);
            if engine.decodes {
                self.pool.with_entry(&engine.id, |entry| {
                    entry.decode_requests = entry.decode_requests.saturating_sub(1);
                });
            }
        }
        self.engines.clear();
        self.pool.wake();
    }
}
