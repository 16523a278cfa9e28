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
    let fine = cases()
        .iter()
        .map(|case| report(case, &(case.run)(), verbose))
        .filter(|fine| !fine)
        .count()
        == 0;
    if fine {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Prints one case and says whether it went as it must.
fn report(case: &Case, outcome: &Outcome, verbose: bool) -> bool {
    let fine = case.wrong == outcome.broken.is_some();
    let mark = if fine { "ok  " } else { "FAIL" };
    let Case {
        model,
        variant,
        bounds,
        ..
    } = case;
    match &outcome.broken {
        None => println!(
            "{mark} {model}: {variant}: holds in {} states ({bounds})",
            outcome.states
        ),
        Some(broken) => println!(
            "{mark} {model}: {variant}: breaks \"{}\" in {} steps, {} states",
            broken.invariant,
            broken.steps.len(),
            outcome.states
        ),
    }
    if let (Some(broken), true) = (&outcome.broken, verbose || !fine) {
        for (nth, step) in broken.steps.iter().enumerate() {
            println!("       {:2}. {step}", nth + 1);
        }
    }
    fine
}
