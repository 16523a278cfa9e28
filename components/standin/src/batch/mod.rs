//! The timing of an engine: continuous batching with a limited prefix cache.
//!
//! Pure: it says what a step does and how long it takes. The engine stand-in sleeps for that long,
//! and the measurement of decisions adds it to a time of its own.

mod cache;

pub use cache::Cache;
use endpoint::engine::prefix::BLOCK_TOKENS;

/// How fast an engine is. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed {
    /// Cost of a step by itself.
    pub step_us: u64,
    /// Cost of each request that writes in a step.
    pub decode_us: u64,
    /// Cost of reading a thousand prompt tokens.
    pub prefill_us_per_thousand: u64,
    /// Most prompt tokens read in a step while others write.
    pub chunk_tokens: u64,
    /// Most requests in a batch.
    pub max_running: usize,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Cost of fetching a thousand tokens of KV cache from another engine.
    pub import_us_per_thousand: u64,
    /// Time away for a change of role or model, in milliseconds.
    pub change_ms: u64,
}

impl Default for Speed {
    /// An engine of today's middle size.
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
    /// An engine that is quick enough for tests.
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

/// What an engine is asked to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Job {
    /// Its number.
    pub id: u64,
    /// 9 goes first.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Tokens to write, up to this offset.
    pub end_offset: u64,
    /// The first offset to write.
    pub start_offset: u64,
    /// Whether the prompt's KV cache comes from another engine.
    pub imported: bool,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    prefill_left: u64,
    import_left_us: u64,
    offset: u64,
}

impl Running {
    fn is_decoding(&self) -> bool {
        self.prefill_left == 0 && self.import_left_us == 0
    }
}

/// A token written in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The job that it belongs to.
    pub id: u64,
    /// Its offset in the answer.
    pub offset: u64,
    /// Whether the job ends with it.
    pub last: bool,
}

/// What a step did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// How long it takes.
    pub us: u64,
    /// The tokens that are written at its end.
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

    /// Adds a job and says how many tokens of its prompt the cache holds.
    pub fn submit(&mut self, job: Job) -> u64 {
        let cached = self.cached_tokens(&job);
        // behind those of the same priority
        let at = self
            .waiting
            .partition_point(|other| other.priority >= job.priority);
        self.waiting.insert(at, job);
        cached
    }

    /// Takes a job away; one that is not known has ended.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|job| job.id != id);
        self.running.retain(|running| running.job.id != id);
    }

    /// Takes all jobs and the cache away, as a change of role or a crash does.
    pub fn clear(&mut self) {
        *self = Self::new(self.speed);
    }

    /// Requests running or waiting.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Prompt tokens still to read.
    #[must_use]
    pub fn waiting_prompt_tokens(&self) -> u64 {
        let waiting: u64 = self.waiting.iter().map(|job| job.prompt_tokens).sum();
        let running: u64 = self
            .running
            .iter()
            .map(|running| running.prefill_left)
            .sum();
        waiting + running
    }

    /// Requests writing tokens.
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

    /// Does one step; none when there is nothing to do.
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
        if decoding == 0 && self.running.iter().all(|running| running.prefill_left == 0) {
            // nothing but fetches: the step lasts until the first of them is through
            let shortest = self
                .running
                .iter()
                .map(|r| r.import_left_us)
                .min()
                .unwrap_or(0);
            self.advance_imports(shortest);
            return Some(Step {
                us: shortest,
                tokens: Vec::new(),
            });
        }
        let prefilled = self.prefill(decoding > 0);
        let us = self.speed.step_us
            + decoding * self.speed.decode_us
            + prefilled * self.speed.prefill_us_per_thousand / THOUSAND;
        if longest_import > Some(0) {
            self.advance_imports(us);
        }
        Some(Step {
            us,
            tokens: self.decode(),
        })
    }

    fn cached_tokens(&self, job: &Job) -> u64 {
        let blocks = u64::try_from(self.cache.cached_prefix_blocks(&job.blocks)).unwrap_or(0);
        // the last token is always read, to have something to write from
        (blocks * BLOCK_TOKENS as u64).min(job.prompt_tokens.saturating_sub(1))
    }

    fn admit(&mut self) {
        while self.running.len() < self.speed.max_running && !self.waiting.is_empty() {
            let job = self.waiting.remove(0);
            let (prefill_left, import_left_us) = if job.imported {
                let import_us = job.prompt_tokens * self.speed.import_us_per_thousand / THOUSAND;
                (0, import_us)
            } else {
                (job.prompt_tokens - self.cached_tokens(&job), 0)
            };
            self.running.push(Running {
                offset: job.start_offset,
                prefill_left,
                import_left_us,
                job,
            });
        }
    }

    fn advance_imports(&mut self, us: u64) {
        for running in &mut self.running {
            running.import_left_us = running.import_left_us.saturating_sub(us);
        }
    }

    /// Reads prompts, the highest priority first, and says how many tokens.
    fn prefill(&mut self, others_decode: bool) -> u64 {
        let limit = if others_decode {
            self.speed.chunk_tokens
        } else {
            self.speed.chunk_tokens * PREFILL_ONLY_CHUNKS
        };
        let mut left = limit;
        self.running
            .sort_by_key(|running| std::cmp::Reverse(running.job.priority));
        for running in &mut self.running {
            if running.prefill_left > 0 {
                let tokens = running.prefill_left.min(left);
                running.prefill_left -= tokens;
                left -= tokens;
                if running.prefill_left == 0 {
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
/// How many chunks a step reads when nobody waits for a token meanwhile.
const PREFILL_ONLY_CHUNKS: u64 = 4;
