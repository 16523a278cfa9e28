use std::time::Duration;

use super::shared_interval;

#[test]
fn the_rows_of_all_gateways_use_at_most_an_eighth_of_the_writes() {
    let interval = |gateways| shared_interval(gateways, 400.0);
    assert_eq!(interval(1), Duration::from_millis(250));
    assert_eq!(interval(8), Duration::from_millis(250));
    assert_eq!(interval(20), Duration::from_millis(400));
    assert_eq!(interval(65), Duration::from_millis(1_300));
    assert_eq!(interval(300), Duration::from_secs(6));
}

#[test]
fn a_store_that_takes_no_writes_is_written_to_at_the_longest_interval() {
    for writes_per_second in [0.0, -1.0, f64::NAN] {
        let interval = shared_interval(8, writes_per_second);
        assert_eq!(interval, Duration::from_secs(300), "{writes_per_second}");
    }
}
