//! One of three runners spoils a few of its answers: another body, without its signature.

#[path = "../stand/mod.rs"]
mod stand;

use stand::{
    base::Record,
    readings::{self, Plan},
    runner::Trouble,
};

/// The share of its answers that the runner spoils.
const SHARE: f64 = 0.02;

fn main() {
    stand::run(play);
}

fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let plan = Plan {
        trouble: Trouble {
            spoiled_share: SHARE,
            ..Trouble::default()
        },
        slots: 6,
        clients: 8,
    };
    let broken = readings::play(record, trouble, plan)?;
    Ok(broken.unsigned > 0)
}
