//! Measures the decisions under a shifting mix: the real decision code against the timing of the
//! engine stand-in, in a time of its own. No processes, links or platform. See
//! `docs/MEASUREMENTS.md#mix-shifts`.

mod mixshift_parts;

use std::process::ExitCode;

use mixshift_parts::{
    policies::Policy,
    report::{self, Summary},
    run::{self, Options},
    workload::{Case, Site},
};

const USAGE: &str = "mixshift [--policy NAME|all] [--case NAME|all] [--site association|thrystivakt] \
[--deciders N] [--lag MS] [--seeds N] [--window MS] [--horizon S] \
[--disturbance X] [--held X] [--writing N] [--split P,D] [--pace MS] [--json]";

struct Arguments {
    policies: Vec<Policy>,
    cases: Vec<Case>,
    seeds: u64,
    json: bool,
    /// Engines that read only and that write only, in place of the policy's own.
    split: Option<(usize, usize)>,
    options: Options,
}

fn parse() -> Option<Arguments> {
    let mut arguments = Arguments {
        policies: Policy::ALL.to_vec(),
        cases: Case::ALL.to_vec(),
        seeds: 5,
        json: false,
        split: None,
        options: Options::default(),
    };
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        if word == "--json" {
            arguments.json = true;
            continue;
        }
        let value = words.next()?;
        match word.as_str() {
            // all is what is taken anyhow
            "--policy" | "--case" if value == "all" => {}
            "--policy" => arguments.policies = vec![Policy::named(&value)?],
            "--case" => arguments.cases = vec![Case::named(&value)?],
            "--site" => arguments.options.site = Site::named(&value)?,
            "--deciders" => arguments.options.deciders = value.parse().ok()?,
            "--lag" => arguments.options.lag_ms = value.parse().ok()?,
            "--seeds" => arguments.seeds = value.parse().ok()?,
            "--window" => arguments.options.window_ms = value.parse().ok()?,
            "--disturbance" => arguments.options.disturbance = value.parse().ok()?,
            "--held" => arguments.options.held = value.parse().ok()?,
            "--writing" => arguments.options.most_writing = value.parse().ok()?,
            "--split" => {
                let (prefill, decode) = value.split_once(',')?;
                arguments.split = Some((prefill.parse().ok()?, decode.parse().ok()?));
            }
            "--pace" => arguments.options.pace_ms = value.parse().ok()?,
            "--horizon" => arguments.options.horizon_s = value.parse().ok()?,
            _ => return None,
        }
    }
    Some(arguments)
}

fn main() -> ExitCode {
    let Some(arguments) = parse() else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    report::head();
    for case in &arguments.cases {
        for policy in &arguments.policies {
            let policy = &Policy {
                split: arguments.split.unwrap_or(policy.split),
                ..*policy
            };
            let results = std::thread::scope(|scope| {
                let runs: Vec<_> = (1..=arguments.seeds)
                    .map(|seed| {
                        let options = Options {
                            seed,
                            ..arguments.options
                        };
                        scope.spawn(move || run::run(*case, *policy, options))
                    })
                    .collect();
                runs.into_iter()
                    .map(|run| run.join().expect("a run does not panic"))
                    .collect::<Vec<_>>()
            });
            let summary = Summary::new(*case, *policy, &results);
            report::row(&summary, arguments.json);
        }
    }
    ExitCode::SUCCESS
}
