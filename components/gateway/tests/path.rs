//! When a path counts as lost, and when a gateway reconnects.

use std::time::Duration;

use clock::Instant;
use gateway::endpoint::{ConnectError, Path, PathChange};

/// Time within which operators expect a recovered path to be used, without the connect timeout.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(700);

#[test]
fn a_path_is_lost_with_the_first_failure_and_regained_with_the_first_success() {
    let (mut path, begin) = (Path::default(), Instant::now());
    assert_eq!(path.record(Ok(()), begin), None);
    for error in [ConnectError::Silent, ConnectError::Refused] {
        assert_eq!(
            path.record(Err(error), begin),
            Some(PathChange::Lost(error))
        );
        assert_eq!(path.record(Err(error), begin), None);
        assert_eq!(path.error(), Some(error));
        let after = Duration::from_secs(2);
        let change = path.record(Ok(()), begin + after);
        assert_eq!(change, Some(PathChange::Regained(after)));
        assert_eq!(path.error(), None);
    }
}

#[test]
fn a_limit_of_this_process_does_not_lose_a_path() {
    let mut path = Path::default();
    assert_eq!(path.record(Err(ConnectError::Full), Instant::now()), None);
    assert_eq!(path.error(), None);
}

#[test]
fn a_lost_path_is_reconnected_soon_and_then_at_bounded_intervals() {
    let (mut path, mut now) = (Path::default(), Instant::now());
    for _ in 0..20 {
        path.record(Err(ConnectError::Silent), now);
        let next = path.next_reconnect().expect("an attempt is due");
        assert!(next > now && next < now + MAX_RECONNECT_DELAY);
        now = next;
        path.postpone_reconnect(now);
        assert!(path.next_reconnect() > Some(now), "one attempt at a time");
    }
}
