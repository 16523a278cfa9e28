//! One of three runners fails some requests after they have run, with 503 and without its signature.

#[path = "../stand/mod.rs"]
mod stand;

use stand::{
    base::Record,
    readings::{self, Plan},
    runner::Trouble,
};

/// The share of its requests that the runner fails.
const SHARE: f64 = 0.4;

fn main() {
    stand::run(play);
}

fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let plan = Plan {
        trouble: Trouble {
            failed_share: SHARE,
            ..Trouble::default()
        },
        slots: 6,
        clients: 8,
    };
    let broken = readings::play(record, trouble, plan)?;
    Ok(broken.refused > 0)
}
