//! Seeded arrivals: dossiers or histories, short questions, alarms.

use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

/// Whose sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    /// Dossiers of some thousand tokens and questions from technicians.
    Association,
    /// Long histories with short answers, and notes.
    Thrystivakt,
}

impl Site {
    /// The one with a name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "association" => Some(Self::Association),
            "thrystivakt" => Some(Self::Thrystivakt),
            _ => None,
        }
    }

    /// Tokens of a long prompt, of the answer to it, of a short prompt, of the answer to that.
    fn mean_tokens(self) -> [u64; 4] {
        match self {
            Self::Association => [6_000, 40, 200, 150],
            Self::Thrystivakt => [10_000, 10, 300, 120],
        }
    }
}

/// What arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Always the same mix.
    Steady,
    /// Long and short prompts by turns of two minutes.
    Swing,
    /// Steady, and bursts of both kinds together.
    Burst,
    /// One group floods with short questions.
    Flood,
    /// Steady; an engine crashes and another one is withdrawn.
    Crash,
}

impl Case {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::Steady,
        Self::Swing,
        Self::Burst,
        Self::Flood,
        Self::Crash,
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Swing => "swing",
            Self::Burst => "burst",
            Self::Flood => "flood",
            Self::Crash => "crash",
        }
    }

    /// The one with a name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|case| case.name() == name)
    }

    /// Long prompts, short ones and those of the flooding group a second, at a time in seconds.
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

/// Length of half a swing, in seconds.
const HALF_SWING_S: f64 = 120.0;
/// How long a run takes, in seconds.
pub const DURATION_S: f64 = 480.0;
/// Alarms a second.
const ALARMS_PER_S: f64 = 1.0;
/// Long prompts share the first blocks with others of their project.
const PROJECTS: u64 = 40;
const SHARED_PREFIX_BLOCKS: u64 = 32;

/// Who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A long prompt with a short answer.
    Long,
    /// A short question.
    Short,
    /// A short question of the group that floods.
    Flood,
    /// An alarm.
    Alarm,
}

impl Class {
    /// All classes, in the order of their groups.
    pub const ALL: [Self; 4] = [Self::Long, Self::Short, Self::Flood, Self::Alarm];

    /// The shares of the groups.
    pub const SHARES: [u32; 4] = [2, 2, 1, 1];

    /// Its group.
    pub fn group(self) -> usize {
        match self {
            Self::Long => 0,
            Self::Short => 1,
            Self::Flood => 2,
            Self::Alarm => 3,
        }
    }

    /// Its deadline in microseconds.
    pub fn deadline_us(self) -> u64 {
        match self {
            Self::Long => 45_000_000,
            Self::Short | Self::Flood => 8_000_000,
            Self::Alarm => 3_000_000,
        }
    }

    /// How long it may wait for its turn, in microseconds; the rest of the first token's time is for
    /// reading the prompt.
    pub fn max_wait_us(self) -> u64 {
        match self {
            Self::Long => self.deadline_us(),
            Self::Short | Self::Flood | Self::Alarm => 1_000_000,
        }
    }

    /// Its priority.
    pub fn priority(self) -> u8 {
        match self {
            Self::Long => 2,
            Self::Short | Self::Flood => 5,
            Self::Alarm => 9,
        }
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it arrives, in microseconds.
    pub arrival_us: u64,
    /// Who asks.
    pub class: Class,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens of its answer.
    pub output_tokens: u64,
    /// Its prompt's blocks.
    pub blocks: Vec<u64>,
}

/// All requests of a run, in the order of their arrival.
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
            // a rate of nothing is looked at again a second later
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
