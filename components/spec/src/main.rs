//! Explores all models and prints what was found.

use std::process::ExitCode;

use bpaf::Bpaf;
use spec::{Case, cases, explore::Outcome};

/// Checks the core protocol.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Explore all models and their wrong variants.
    #[bpaf(command)]
    Check {
        /// Print each counter-example as a time line
        verbose: bool,
    },
}

fn main() -> ExitCode {
    let Command::Check { verbose } = command().run();
    let passed = cases()
        .iter()
        .map(|case| report(case, &(case.run)(), verbose))
        .filter(|passed| !passed)
        .count()
        == 0;
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Prints one case and says whether it went as it must.
fn report(case: &Case, outcome: &Outcome, verbose: bool) -> bool {
    let passed = case.expect_violation == outcome.violation.is_some();
    let mark = if passed { "ok  " } else { "FAIL" };
    let Case {
        model,
        variant,
        bounds,
        ..
    } = case;
    match &outcome.violation {
        None => println!(
            "{mark} {model}: {variant}: holds in {} states ({bounds})",
            outcome.states
        ),
        Some(violation) => println!(
            "{mark} {model}: {variant}: breaks \"{}\" in {} steps, {} states",
            violation.invariant,
            violation.steps.len(),
            outcome.states
        ),
    }
    if let (Some(violation), true) = (&outcome.violation, verbose || !passed) {
        for (nth, step) in violation.steps.iter().enumerate() {
            println!("       {:2}. {step}", nth + 1);
        }
    }
    passed
}
