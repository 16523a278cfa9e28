use std::{sync::Arc, time::Duration};

use clock::Instant;

use super::{
    Begun, Key,
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
