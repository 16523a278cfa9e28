//! Seeded arrivals: long prompts (dossiers or histories), short questions and alarms.

use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

/// The site whose prompt and answer sizes are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    /// Dossiers of several thousand tokens, and questions from technicians.
    Association,
    /// Long histories with short answers, and notes.
    Thrystivakt,
}

impl Site {
    /// Returns the site with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "association" => Some(Self::Association),
            "thrystivakt" => Some(Self::Thrystivakt),
            _ => None,
        }
    }

    /// Returns the mean tokens of a long prompt, its answer, a short prompt and its answer.
    fn mean_tokens(self) -> [u64; 4] {
        match self {
            Self::Association => [6_000, 40, 200, 150],
            Self::Thrystivakt => [10_000, 10, 300, 120],
        }
    }
}

/// How requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// A constant mix.
    Steady,
    /// Two minutes with mostly long prompts, then two minutes with mostly short ones, in turn.
    Swing,
    /// A constant mix with bursts of long and short prompts at the same time.
    Burst,
    /// One group sends a flood of short questions.
    Flood,
    /// A constant mix; one engine crashes and later another one is drained.
    Crash,
}

impl Case {
    /// All cases.
    pub const ALL: [Self; 5] = [
        Self::Steady,
        Self::Swing,
        Self::Burst,
        Self::Flood,
        Self::Crash,
    ];

    /// Name on the command line and in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Swing => "swing",
            Self::Burst => "burst",
            Self::Flood => "flood",
            Self::Crash => "crash",
        }
    }

    /// Returns the case with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|case| case.name() == name)
    }

    /// Returns the arrivals per second of long prompts, short prompts and prompts of the flooding
    /// group at a time in seconds.
    fn arrival_rates(self, site: Site, at_s: f64) -> [f64; 3] {
        let long_rate = match site {
            Site::Association => 1.0,
            Site::Thrystivakt => 0.6,
        };
        let first_half = (at_s / HALF_SWING_S).rem_euclid(2.0) < 1.0;
        let in_burst = at_s.rem_euclid(40.0) < 6.0;
        match self {
            Self::Swing if first_half => [24.0 * long_rate, 30.0, 0.0],
            Self::Swing => [3.0 * long_rate, 150.0, 0.0],
            Self::Burst if in_burst => [30.0 * long_rate, 160.0, 0.0],
            Self::Burst => [10.0 * long_rate, 70.0, 0.0],
            Self::Flood => [6.0 * long_rate, 50.0, 150.0],
            Self::Steady | Self::Crash => [10.0 * long_rate, 90.0, 0.0],
        }
    }
}

/// Duration of each half of a swing, in seconds.
const HALF_SWING_S: f64 = 120.0;
/// Simulated time during which requests arrive, in seconds.
pub const DURATION_S: f64 = 480.0;
/// Arrival rate of alarms.
const ALARMS_PER_S: f64 = 1.0;
/// A long prompt belongs to one of this many projects and shares its first blocks with the others of
/// that project.
const PROJECTS: u64 = 40;
/// Blocks that the long prompts of a project share.
const SHARED_PREFIX_BLOCKS: u64 = 32;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A long prompt with a short answer.
    Long,
    /// A short question.
    Short,
    /// A short question of the flooding group.
    Flood,
    /// An alarm.
    Alarm,
}

impl Class {
    /// All classes, ordered by group index.
    pub const ALL: [Self; 4] = [Self::Long, Self::Short, Self::Flood, Self::Alarm];

    /// Fair shares of the groups.
    pub const SHARES: [u32; 4] = [2, 2, 1, 1];

    /// Index of its group.
    pub fn group(self) -> usize {
        match self {
            Self::Long => 0,
            Self::Short => 1,
            Self::Flood => 2,
            Self::Alarm => 3,
        }
    }

    /// Time from arrival to its deadline.
    pub fn deadline_us(self) -> u64 {
        match self {
            Self::Long => 45_000_000,
            Self::Short | Self::Flood => 8_000_000,
            Self::Alarm => 3_000_000,
        }
    }

    /// Longest time in the queue. The rest of the time to first token is left for the prefill.
    pub fn max_wait_us(self) -> u64 {
        match self {
            Self::Long => self.deadline_us(),
            Self::Short | Self::Flood | Self::Alarm => 1_000_000,
        }
    }

    pub fn priority(self) -> u8 {
        match self {
            Self::Long => 2,
            Self::Short | Self::Flood => 5,
            Self::Alarm => 9,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Request {
    /// Arrival time, in microseconds since the start of the run.
    pub arrival_us: u64,
    /// Its class.
    pub class: Class,
    /// Length of its prompt.
    pub prompt_tokens: u64,
    /// Length of its answer.
    pub output_tokens: u64,
    /// Hashes of its prompt's blocks.
    pub blocks: Vec<u64>,
}

/// Generates all requests of a run in order of arrival.
pub fn generate_requests(case: Case, site: Site, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for class in Class::ALL {
        let mut at_s = 0.0;
        loop {
            let rates = case.arrival_rates(site, at_s);
            let rate = match class {
                Class::Long => rates[0],
                Class::Short => rates[1],
                Class::Flood => rates[2],
                Class::Alarm => ALARMS_PER_S,
            };
            // while the rate is zero, it is checked again a second later
            let step = if rate > 0.0 {
                -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate
            } else {
                1.0
            };
            at_s += step;
            if at_s >= DURATION_S {
                break;
            }
            if rate > 0.0 {
                requests.push(generate_request(&mut rng, class, site, at_s));
            }
        }
    }
    requests.sort_by_key(|request| request.arrival_us);
    requests
}

fn generate_request(rng: &mut impl Rng, class: Class, site: Site, at_s: f64) -> Request {
    let [long_prompt, long_output, short_prompt, short_output] = site.mean_tokens();
    let (prompt_tokens, output_tokens) = match class {
        Class::Long => (long_prompt, long_output),
        Class::Short | Class::Flood => (short_prompt, short_output),
        Class::Alarm => (100, 30),
    };
    let vary = |rng: &mut dyn Rng, tokens: u64| rng.random_range(tokens / 2..=tokens * 3 / 2);
    let prompt_tokens = vary(rng, prompt_tokens);
    let output_tokens = vary(rng, output_tokens).max(1);
    let project = rng.random_range(0..PROJECTS);
    let unique_block: u64 = rng.random();
    let blocks = (0..prompt_tokens / 64).map(|block| match class {
        Class::Long if block < SHARED_PREFIX_BLOCKS => project * 1_000 + block,
        _ => unique_block.wrapping_add(block),
    });
    Request {
        arrival_us: policy::to_u64(at_s * 1e6),
        class,
        prompt_tokens,
        output_tokens,
        blocks: blocks.collect(),
    }
}
