//! Explores all models and prints the results.

use std::process::ExitCode;

use bpaf::Bpaf;
use spec::{Case, cases, explore::Outcome};

/// Checks the core protocol.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Explore all models and their faulty variants.
    #[bpaf(command)]
    Check {
        /// Print the steps of each counter-example
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

/// Prints the result of one case and returns whether it is the expected one.
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
            "{mark} {model}: {variant}: violates \"{}\" in {} steps, {} states",
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
