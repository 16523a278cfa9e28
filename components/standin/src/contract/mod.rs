//! What every adapter to a table service must do, as cases that its tests run.

use std::{future::Future, time::Duration};

use cloud::table::{Error, Outcome, Read, Table, Transaction};

use crate::platform::Faults;

/// An adapter and the stand-in that it speaks to.
pub trait Pair: Send + Sync + Sized {
    /// A fresh pair.
    fn start() -> impl Future<Output = Self> + Send;

    /// The adapter.
    fn table(&self) -> &dyn Table;

    /// How long the adapter waits for an answer.
    fn timeout(&self) -> Duration;

    /// Changes how the stand-in fails.
    fn fail(&self, faults: Faults);

    /// The value of a row, past the faults.
    fn stored(&self, key: &str) -> Option<String>;
}

fn one(key: &str) -> Read {
    Read {
        keys: vec![key.to_owned()],
        prefixes: Vec::new(),
    }
}

/// A transaction is whole and compares versions.
///
/// # Panics
///
/// When the pair does otherwise.
pub async fn transaction_is_whole<P: Pair>() {
    let pair = P::start().await;
    let table = pair.table();
    let first = Transaction::default()
        .check("a", 0)
        .write("a", "1".to_owned());
    let Ok(Outcome::Committed(version)) = table.commit(first.clone()).await else {
        panic!("an absent row has version 0");
    };
    let Ok(Outcome::Conflict(rows)) = table.commit(first).await else {
        panic!("the row is there now");
    };
    assert_eq!((rows[0].version, rows[0].value.as_str()), (version, "1"));
    let both = Transaction::default()
        .check("a", version)
        .check("b", 7)
        .write("a", "2".to_owned())
        .write("b", "2".to_owned());
    assert!(matches!(table.commit(both).await, Ok(Outcome::Conflict(_))));
    let rows = table.read(one("a")).await.expect("read");
    assert_eq!(rows[0].value, "1", "all writes or none");
    let remove = Transaction::default().check("a", version).remove("a");
    assert!(matches!(
        table.commit(remove).await,
        Ok(Outcome::Committed(_))
    ));
    assert_eq!(table.read(one("a")).await, Ok(Vec::new()));
}

/// A prefix reads its rows, sorted, and no others.
///
/// # Panics
///
/// When the pair does otherwise.
pub async fn prefix_reads_its_rows<P: Pair>() {
    let pair = P::start().await;
    let table = pair.table();
    let all = ["p/b", "q", "p/a", "o"]
        .iter()
        .fold(Transaction::default(), |all, key| {
            all.write(key, (*key).to_owned())
        });
    table.commit(all).await.expect("committed");
    let read = Read {
        keys: vec!["q".to_owned()],
        prefixes: vec!["p/".to_owned()],
    };
    let rows = table.read(read).await.expect("read");
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["p/a", "p/b", "q"]);
}

/// Each failure says truly whether the write may have taken effect.
///
/// # Panics
///
/// When the pair does otherwise.
pub async fn failures_are_told_truly<P: Pair>() {
    // what the adapter says, whether the write is there afterwards
    let cases = |timeout: Duration| {
        [
            (Faults::Down, Error::NotApplied, false),
            (Faults::LostAnswers, Error::OutcomeUnknown, true),
            (Faults::LostWrites, Error::OutcomeUnknown, false),
            (Faults::Slow(timeout * 2), Error::OutcomeUnknown, true),
            (Faults::Garbage, Error::OutcomeUnknown, false),
        ]
    };
    for case in 0..cases(Duration::ZERO).len() {
        let pair = P::start().await;
        let (fault, told, there) = cases(pair.timeout())[case];
        pair.fail(fault);
        let write = Transaction::default().write("k", "v".to_owned());
        assert_eq!(pair.table().commit(write).await, Err(told), "{fault:?}");
        // a slow one takes effect after its time-out
        for _ in 0..100 {
            if !there || pair.stored("k").is_some() {
                break;
            }
            tokio::time::sleep(pair.timeout() / 10).await;
        }
        assert_eq!(pair.stored("k").is_some(), there, "{fault:?}");
    }
}
