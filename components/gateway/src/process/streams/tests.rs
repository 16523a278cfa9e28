use std::time::Duration;

use clock::Instant;
use cloud::table::Row;

use super::{shared_interval, unparsed::Unparsed};
use crate::streams::MAX_LIFETIME;

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

#[test]
fn a_row_that_cannot_be_parsed_expires_once_it_has_not_changed_for_the_longest_lifetime() {
    let row = |version| Row {
        key: "stream/later".to_owned(),
        value: String::new(),
        version,
    };
    let key = "stream/later";
    let begun = Instant::now();
    let changed = begun + MAX_LIFETIME / 2;
    let mut unparsed = Unparsed::default();
    unparsed.update([row(1)].iter(), begun);
    unparsed.update([row(2)].iter(), changed);
    unparsed.update([row(2)].iter(), begun + 2 * MAX_LIFETIME);
    assert!(!unparsed.is_expired(key, begun + MAX_LIFETIME + Duration::from_secs(1)));
    assert!(unparsed.is_expired(key, changed + MAX_LIFETIME + Duration::from_secs(1)));
    unparsed.update([].iter(), begun + 2 * MAX_LIFETIME);
    assert!(!unparsed.is_expired(key, begun + 2 * MAX_LIFETIME));
}
