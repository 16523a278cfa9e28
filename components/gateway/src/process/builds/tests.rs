use std::time::Duration;

use super::{
    admission::{InUse, Reason, Situation},
    read::{MAX_INTERVAL, shared_interval},
};

#[test]
fn the_reads_of_all_gateways_use_at_most_an_eighth_of_the_reads() {
    let interval = |gateways| shared_interval(gateways, 2_000.0);
    assert_eq!(interval(1), Duration::from_millis(10));
    assert_eq!(interval(8), Duration::from_millis(32));
    assert_eq!(interval(65), Duration::from_millis(260));
    assert_eq!(interval(300), Duration::from_millis(1_200));
}

#[test]
fn a_store_that_takes_no_reads_is_read_at_the_longest_interval() {
    for reads_per_second in [0.0, -1.0, f64::NAN] {
        assert_eq!(shared_interval(8, reads_per_second), MAX_INTERVAL);
    }
}

/// The time in which the streams of all gateways are saved.
const SAVE_DELAY: Duration = Duration::from_millis(500);

/// A build that waits beside one in use, some time after all gateways were killed.
fn waiting(waited_ms: u64) -> Situation {
    Situation {
        in_use: InUse::Serving,
        waited: Duration::from_millis(waited_ms),
        save_delay: SAVE_DELAY,
        is_settling: true,
    }
}

#[test]
fn a_further_build_waits_until_callers_of_killed_gateways_are_back() {
    assert_eq!(waiting(5_000).reason(), None);
    let settled = |waited| Situation {
        is_settling: false,
        ..waiting(waited)
    };
    assert_eq!(settled(499).reason(), None);
    assert_eq!(settled(500).reason(), Some(Reason::Settled));
}

#[test]
fn a_further_build_that_requests_need_waits_only_until_streams_are_saved() {
    let needed = |waited| Situation {
        in_use: InUse::Full,
        ..waiting(waited)
    };
    assert_eq!(needed(499).reason(), None);
    assert_eq!(needed(500).reason(), Some(Reason::NoRoom));
}

#[test]
fn a_further_build_that_requests_need_does_not_wait_until_a_large_fleet_has_saved_its_streams() {
    let needed = |waited| Situation {
        in_use: InUse::Full,
        save_delay: Duration::from_secs(6),
        ..waiting(waited)
    };
    assert_eq!(needed(499).reason(), None);
    assert_eq!(needed(500).reason(), Some(Reason::NoRoom));
}

#[test]
fn a_third_build_does_not_wait() {
    let third = Situation {
        in_use: InUse::Several,
        ..waiting(0)
    };
    assert_eq!(third.reason(), Some(Reason::SeveralUsed));
}

#[test]
fn a_build_that_alone_takes_requests_does_not_wait() {
    let alone = Situation {
        in_use: InUse::Unserved,
        ..waiting(0)
    };
    assert_eq!(alone.reason(), Some(Reason::NothingElse));
    let first = Situation {
        in_use: InUse::None,
        ..waiting(0)
    };
    assert_eq!(first.reason(), Some(Reason::FirstUse));
}
