//! A short run of the soak: a few seeds, and each seed that ever broke a promise.

use std::path::PathBuf;

use soak::{Options, play};

/// Seeds of the short run: one in three has planned work only.
const SEEDS: [u64; 3] = [3, 7, 11];
/// Seeds that once broke a promise, with a line on the cause each; none so far.
const CASES: [u64; 0] = [];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_breaks_no_promise() {
    let options = Options {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_wrenrampd")),
        gateways: 3,
        seconds: 5,
        logs: None,
    };
    for seed in SEEDS.into_iter().chain(CASES) {
        let report = play(seed, &options).await.expect("the fleet is set up");
        assert!(report.broken.is_empty(), "{report:#?}");
        assert!(report.served > 0, "{report:#?}");
    }
}
