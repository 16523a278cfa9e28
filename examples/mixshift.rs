//! Simulates scheduling policies under a shifting mix of requests: the production decision code runs
//! against the timing model of the stand-in engine, in simulated time and without processes, network
//! or platform. See `docs/MEASUREMENTS.md#mix-shifts`.

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
    /// Numbers of prefill-only and decode-only engines, overriding those of the policy.
    dedicated_engines: Option<(usize, usize)>,
    options: Options,
}

fn parse_arguments() -> Option<Arguments> {
    let mut arguments = Arguments {
        policies: Policy::ALL.to_vec(),
        cases: Case::ALL.to_vec(),
        seeds: 5,
        json: false,
        dedicated_engines: None,
        options: Options::default(),
    };
    let mut args = std::env::args().skip(1);
    while let Some(flag) = args.next() {
        if flag == "--json" {
            arguments.json = true;
            continue;
        }
        let value = args.next()?;
        match flag.as_str() {
            // all is the default
            "--policy" | "--case" if value == "all" => {}
            "--policy" => arguments.policies = vec![Policy::from_name(&value)?],
            "--case" => arguments.cases = vec![Case::from_name(&value)?],
            "--site" => arguments.options.site = Site::from_name(&value)?,
            "--deciders" => arguments.options.schedulers = value.parse().ok()?,
            "--lag" => arguments.options.report_delay_ms = value.parse().ok()?,
            "--seeds" => arguments.seeds = value.parse().ok()?,
            "--window" => arguments.options.max_prefill_wait_ms = value.parse().ok()?,
            "--disturbance" => arguments.options.interference_weight = value.parse().ok()?,
            "--held" => arguments.options.stall_weight = value.parse().ok()?,
            "--writing" => arguments.options.max_decode_requests = value.parse().ok()?,
            "--split" => {
                let (prefill, decode) = value.split_once(',')?;
                arguments.dedicated_engines = Some((prefill.parse().ok()?, decode.parse().ok()?));
            }
            "--pace" => arguments.options.max_inter_token_latency_ms = value.parse().ok()?,
            "--horizon" => arguments.options.horizon_s = value.parse().ok()?,
            _ => return None,
        }
    }
    Some(arguments)
}

fn main() -> ExitCode {
    let Some(arguments) = parse_arguments() else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    report::print_header();
    for case in &arguments.cases {
        for policy in &arguments.policies {
            let policy = &Policy {
                dedicated_engines: arguments
                    .dedicated_engines
                    .unwrap_or(policy.dedicated_engines),
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
                    .map(|run| run.join().expect("runs do not panic"))
                    .collect::<Vec<_>>()
            });
            let summary = Summary::new(*case, *policy, &results);
            report::print_row(&summary, arguments.json);
        }
    }
    ExitCode::SUCCESS
}
