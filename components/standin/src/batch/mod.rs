//! A timing model of an engine: continuous batching with a bounded prefix cache.
//!
//! It has no side effects: it computes what a step does and how long it takes. The engine stand-in
//! sleeps for that long, and the simulation that measures placement decisions adds it to its
//! simulated time.

mod cache;

pub use cache::Cache;
use endpoint::engine::prefix::BLOCK_TOKENS;

/// The timing and the capacities of an engine. Times are in microseconds unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed {
    /// Fixed cost of a step.
    pub step_us: u64,
    /// Cost of each request that decodes in a step.
    pub decode_us: u64,
    /// Cost of prefilling a thousand prompt tokens.
    pub prefill_us_per_thousand: u64,
    /// Maximum number of prompt tokens prefilled in a step while other requests decode.
    pub chunk_tokens: u64,
    /// Maximum number of requests in a batch.
    pub max_running: usize,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Cost of importing a thousand tokens of KV cache from another engine.
    pub import_us_per_thousand: u64,
    /// How long the engine is unavailable for a change of role or model, in milliseconds.
    pub change_ms: u64,
}

impl Default for Speed {
    /// A medium-sized engine.
    fn default() -> Self {
        Self {
            step_us: 8_000,
            decode_us: 150,
            prefill_us_per_thousand: 80_000,
            chunk_tokens: 512,
            max_running: 64,
            cache_blocks: 6_000,
            import_us_per_thousand: 4_000,
            change_ms: 5_000,
        }
    }
}

impl Speed {
    /// An engine that is fast enough for tests.
    #[must_use]
    pub fn quick() -> Self {
        Self {
            step_us: 1_000,
            decode_us: 10,
            prefill_us_per_thousand: 2_000,
            change_ms: 200,
            ..Self::default()
        }
    }
}

/// A request to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Job {
    /// Identifier of the job.
    pub id: u64,
    /// Priority; higher goes first, 9 is the highest.
    pub priority: u8,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// The offset at which the answer ends; the token at this offset is not decoded.
    pub end_offset: u64,
    /// The offset of the first token to decode.
    pub start_offset: u64,
    /// Whether the prompt's KV cache is imported from another engine.
    pub imported: bool,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    prefill_left_tokens: u64,
    import_left_us: u64,
    offset: u64,
}

impl Running {
    fn is_decoding(&self) -> bool {
        self.prefill_left_tokens == 0 && self.import_left_us == 0
    }
}

/// A token decoded in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Identifier of its job.
    pub id: u64,
    /// Offset in the answer.
    pub offset: u64,
    /// Whether it is the last token of the job.
    pub last: bool,
}

/// The result of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Duration in microseconds.
    pub duration_us: u64,
    /// The tokens decoded, available at the end of the step.
    pub tokens: Vec<Token>,
}

/// An engine's batch and queue.
#[derive(Clone, Debug)]
pub struct Batch {
    speed: Speed,
    waiting: Vec<Job>,
    running: Vec<Running>,
    cache: Cache,
}

impl Batch {
    /// An idle engine with an empty cache.
    #[must_use]
    pub fn new(speed: Speed) -> Self {
        Self {
            speed,
            waiting: Vec::new(),
            running: Vec::new(),
            cache: Cache::new(speed.cache_blocks),
        }
    }

    /// Adds a job to the queue and returns the number of cached tokens of its prompt.
    pub fn submit(&mut self, job: Job) -> u64 {
        let cached = self.cached_tokens(&job);
        // behind queued jobs of the same priority
        let at = self
            .waiting
            .partition_point(|other| other.priority >= job.priority);
        self.waiting.insert(at, job);
        cached
    }

    /// Removes a job; an unknown job has finished already.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|job| job.id != id);
        self.running.retain(|running| running.job.id != id);
    }

    /// Removes all jobs and clears the cache, as a change of role or a crash does.
    pub fn clear(&mut self) {
        *self = Self::new(self.speed);
    }

    /// Number of requests, running or queued.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Number of prompt tokens not prefilled yet. Those of queued jobs count in full, cached or
    /// not.
    #[must_use]
    pub fn waiting_prompt_tokens(&self) -> u64 {
        let waiting: u64 = self.waiting.iter().map(|job| job.prompt_tokens).sum();
        let running: u64 = self
            .running
            .iter()
            .map(|running| running.prefill_left_tokens)
            .sum();
        waiting + running
    }

    /// Number of requests that are decoding.
    #[must_use]
    pub fn decoding(&self) -> usize {
        self.running
            .iter()
            .filter(|running| running.is_decoding())
            .count()
    }

    /// The prefix cache.
    #[must_use]
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// Executes one step; `None` if there is nothing to do.
    pub fn step(&mut self) -> Option<Step> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let decoding = u64::try_from(self.decoding()).unwrap_or(u64::MAX);
        let longest_import = self
            .running
            .iter()
            .map(|running| running.import_left_us)
            .max();
        if decoding == 0
            && self
                .running
                .iter()
                .all(|running| running.prefill_left_tokens == 0)
        {
            // all requests import their KV cache: the step lasts until the first import is complete
            let shortest = self
                .running
                .iter()
                .map(|r| r.import_left_us)
                .min()
                .unwrap_or(0);
            self.advance_imports(shortest);
            return Some(Step {
                duration_us: shortest,
                tokens: Vec::new(),
            });
        }
        let prefilled = self.prefill(decoding > 0);
        let duration_us = self.speed.step_us
            + decoding * self.speed.decode_us
            + prefilled * self.speed.prefill_us_per_thousand / THOUSAND;
        if longest_import > Some(0) {
            self.advance_imports(duration_us);
        }
        Some(Step {
            duration_us,
            tokens: self.decode(),
        })
    }

    fn cached_tokens(&self, job: &Job) -> u64 {
        let blocks = u64::try_from(self.cache.cached_prefix_blocks(&job.blocks)).unwrap_or(0);
        // the last token of a prompt is always prefilled: decoding starts from its output
        (blocks * BLOCK_TOKENS as u64).min(job.prompt_tokens.saturating_sub(1))
    }

    fn admit(&mut self) {
        while self.running.len() < self.speed.max_running && !self.waiting.is_empty() {
            let job = self.waiting.remove(0);
            let (prefill_left_tokens, import_left_us) = if job.imported {
                let import_us = job.prompt_tokens * self.speed.import_us_per_thousand / THOUSAND;
                (0, import_us)
            } else {
                (job.prompt_tokens - self.cached_tokens(&job), 0)
            };
            self.running.push(Running {
                offset: job.start_offset,
                prefill_left_tokens,
                import_left_us,
                job,
            });
        }
    }

    fn advance_imports(&mut self, elapsed_us: u64) {
        for running in &mut self.running {
            running.import_left_us = running.import_left_us.saturating_sub(elapsed_us);
        }
    }

    /// Prefills prompts, the highest priority first, and returns the number of tokens prefilled.
    fn prefill(&mut self, others_decode: bool) -> u64 {
        let limit = if others_decode {
            self.speed.chunk_tokens
        } else {
            self.speed.chunk_tokens * MAX_CHUNKS_WITHOUT_DECODE
        };
        let mut left = limit;
        self.running
            .sort_by_key(|running| std::cmp::Reverse(running.job.priority));
        for running in &mut self.running {
            if running.prefill_left_tokens > 0 {
                let tokens = running.prefill_left_tokens.min(left);
                running.prefill_left_tokens -= tokens;
                left -= tokens;
                if running.prefill_left_tokens == 0 {
                    self.cache.insert(&running.job.blocks);
                }
            }
        }
        limit - left
    }

    fn decode(&mut self) -> Vec<Token> {
        let mut tokens = Vec::new();
        self.running.retain_mut(|running| {
            if !running.is_decoding() {
                return true;
            }
            let last = running.offset + 1 >= running.job.end_offset;
            tokens.push(Token {
                id: running.job.id,
                offset: running.offset,
                last,
            });
            running.offset += 1;
            !last
        });
        tokens
    }
}

const THOUSAND: u64 = 1_000;
/// Maximum number of chunks that a step prefills when no request is decoding.
const MAX_CHUNKS_WITHOUT_DECODE: u64 = 4;
