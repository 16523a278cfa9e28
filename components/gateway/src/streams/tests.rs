use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::{
    Begun, Key,
    store::{self, Entry},
    table::{Owner, Table},
};
use crate::endpoint::Build;

const LIFETIME: Duration = Duration::from_secs(60);
/// More streams than the table has room for.
const MANY: u64 = 200_000;
const MAX_RECORDS: usize = 1 << 16;

fn begun(build: &str) -> Begun {
    Begun::At(Build(Arc::from(build)))
}

fn find(table: &Table, key: Key) -> Option<Begun> {
    table.get(key, Instant::now()).map(|record| record.begun)
}

#[test]
fn a_table_of_more_streams_than_it_has_room_for_forgets_those_that_expire_first() {
    let table = Table::default();
    let now = Instant::now();
    let key = |n: u64| Key::new("engines", None, &n.to_string());
    let mut dropped = 0;
    for n in 0..MANY {
        let expires = now + LIFETIME + Duration::from_millis(n);
        dropped += usize::from(table.record(key(n), begun("v1"), expires, Owner::This));
    }
    assert!(table.len() <= MAX_RECORDS);
    assert_eq!(dropped + table.len(), usize::try_from(MANY).expect("few"));
    assert_eq!(find(&table, key(MANY - 1)), Some(begun("v1")));
    assert_eq!(find(&table, key(0)), None);
}

#[test]
fn an_expired_record_is_neither_found_nor_merged() {
    let table = Table::default();
    let key = Key::new("engines", None, "r1");
    table.record(key, begun("v1"), Instant::now(), Owner::This);
    assert_eq!(find(&table, key), None);
    table.record(key, begun("v2"), Instant::now() + LIFETIME, Owner::This);
    assert_eq!(find(&table, key), Some(begun("v2")));
    table.record(key, begun("v2"), Instant::now() + LIFETIME, Owner::Peer(1));
    assert_eq!(find(&table, key), Some(begun("v2")));
    table.record(key, begun("v1"), Instant::now() + LIFETIME, Owner::Peer(1));
    assert_eq!(find(&table, key), Some(Begun::Ambiguous));
}

#[test]
fn the_keys_of_services_and_workspaces_differ() {
    let keys = [
        Key::new("engines", None, "r1"),
        Key::new("others", None, "r1"),
        Key::new("engines", Some("roads"), "r1"),
        Key::new("engines", Some("water"), "r1"),
        Key::new("engines", Some(""), "r1"),
        Key::new("engines", None, "r2"),
    ];
    for (index, key) in keys.iter().enumerate() {
        assert!(!keys[..index].contains(key));
    }
}

/// Size that a row must not exceed, and more streams than fit into it.
const MAX_ROW_BYTES: usize = 48 << 10;
const MANY_OWN: u64 = 20_000;
/// A time far ahead, in Unix seconds.
const FAR_AHEAD_S: u64 = 4_000_000_000;

fn entries(count: u64) -> Vec<Entry> {
    let entry = |n: u64| Entry {
        key: Key::new("engines", None, &n.to_string()),
        begun: match n % 3 {
            0 => begun("v1"),
            1 => begun("a \"quoted\" version, and a long one"),
            _ => Begun::Ambiguous,
        },
        expires_s: FAR_AHEAD_S + n,
    };
    (0..count).map(entry).collect()
}

#[test]
fn a_row_of_too_many_streams_holds_those_that_can_be_resumed_for_longest() {
    let selected = store::select(entries(MANY_OWN), MAX_ROW_BYTES);
    let value = store::encode(&selected);
    assert!(value.len() <= MAX_ROW_BYTES, "{}", value.len());
    assert!(selected.len() > 3_000, "{}", selected.len());
    let first = selected.iter().map(|entry| entry.expires_s).min();
    let left_out = MANY_OWN - u64::try_from(selected.len()).expect("few");
    assert_eq!(first, Some(FAR_AHEAD_S + left_out));
}

#[test]
fn a_row_has_no_room_for_a_build_with_too_long_a_name() {
    let long = Entry {
        begun: begun(&"v".repeat(MAX_ROW_BYTES)),
        ..entries(1).remove(0)
    };
    let selected = store::select([entries(2), vec![long]].concat(), MAX_ROW_BYTES);
    assert_eq!(selected.len(), 2);
}

#[test]
fn the_streams_of_a_row_are_read_as_they_were_written() {
    let now = std::time::UNIX_EPOCH.elapsed().expect("a time after 1970");
    let mut written = entries(100);
    for (entry, left_s) in written.iter_mut().zip(1..) {
        entry.expires_s = now.as_secs() + left_s;
    }
    let written = store::select(written, MAX_ROW_BYTES);
    assert_eq!(store::decode(&store::encode(&written)), Some(written));
    for broken in [
        "",
        "{}",
        r#"{"at_s":1,"builds":[{"build":"v1","streams":"AAAA"}]}"#,
    ] {
        assert_eq!(store::decode(broken), None, "{broken}");
    }
}
