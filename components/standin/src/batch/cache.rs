//! A prefix cache that evicts the least recently used blocks.

use endpoint::engine::CacheEvent;

/// Maximum number of events kept for readers that lag behind; a reader that lags further misses events.
const MAX_EVENTS: usize = 4_096;

/// The cached blocks, and the events that report changes of them.
#[derive(Clone, Debug)]
pub struct Cache {
    capacity: usize,
    /// Block and time of last use, sorted by block.
    blocks: Vec<(u64, u64)>,
    clock: u64,
    events: Vec<CacheEvent>,
    sequence: u64,
}

impl Cache {
    /// An empty cache with a capacity in blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: Vec::new(),
            clock: 0,
            events: Vec::new(),
            sequence: 0,
        }
    }

    /// How many blocks at the start of `blocks` are cached, without a gap.
    #[must_use]
    pub fn cached_prefix_blocks(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.find(**block).is_ok())
            .count()
    }

    /// Adds blocks, or marks them as used now.
    pub fn insert(&mut self, blocks: &[u64]) {
        self.clock += 1;
        for block in blocks {
            match self.find(*block) {
                Ok(index) => self.blocks[index].1 = self.clock,
                Err(index) => {
                    self.blocks.insert(index, (*block, self.clock));
                    self.record_event(*block, true);
                }
            }
        }
        if self.blocks.len() > self.capacity {
            self.evict();
        }
    }

    /// The sequence number of the last event.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The events after a sequence number that are still kept.
    #[must_use]
    pub fn events_after(&self, sequence: u64) -> &[CacheEvent] {
        let index = self
            .events
            .partition_point(|event| event.sequence <= sequence);
        &self.events[index..]
    }

    fn find(&self, block: u64) -> Result<usize, usize> {
        self.blocks
            .binary_search_by_key(&block, |(block, _)| *block)
    }

    /// Evicts the least recently used blocks until seven eighths of the capacity are in use, to amortize
    /// the sort. Blocks that were last used together are evicted together or not at all, so that more
    /// may remain.
    fn evict(&mut self) {
        let keep = self.capacity - self.capacity / 8;
        let mut last_uses: Vec<u64> = self.blocks.iter().map(|(_, last_use)| *last_use).collect();
        last_uses.sort_unstable();
        let cutoff = last_uses[last_uses.len() - keep];
        let evicted: Vec<u64> = self
            .blocks
            .iter()
            .filter(|(_, last_use)| *last_use < cutoff)
            .map(|(block, _)| *block)
            .collect();
        self.blocks.retain(|(_, last_use)| *last_use >= cutoff);
        for block in evicted {
            self.record_event(block, false);
        }
    }

    fn record_event(&mut self, block: u64, held: bool) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            block,
            held,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
    }
}
