//! The contract of adapters to a table service, as test cases that the tests of each adapter call.

use std::{future::Future, time::Duration};

use cloud::table::{Error, Outcome, Read, Table, Transaction};

use crate::platform::Fault;

/// An adapter and the stand-in for its table service.
pub trait Harness: Send + Sync + Sized {
    /// Starts a new stand-in and an adapter to it.
    fn start() -> impl Future<Output = Self> + Send;

    /// The adapter under test.
    fn table(&self) -> &dyn Table;

    /// The adapter's response timeout.
    fn timeout(&self) -> Duration;

    /// Sets the fault of the stand-in.
    fn set_fault(&self, fault: Fault);

    /// Reads the value of a row directly, without the injected fault.
    fn stored_value(&self, key: &str) -> Option<String>;
}

fn read_row(key: &str) -> Read {
    Read {
        keys: vec![key.to_owned()],
        prefixes: Vec::new(),
    }
}

/// A transaction is atomic and compares versions.
///
/// # Panics
///
/// When the adapter violates this.
pub async fn transaction_is_atomic<H: Harness>() {
    let harness = H::start().await;
    let table = harness.table();
    let first = Transaction::default()
        .check("a", 0)
        .write("a", "1".to_owned());
    let Ok(Outcome::Committed(version)) = table.commit(first.clone()).await else {
        panic!("an absent row has version 0");
    };
    let Ok(Outcome::Conflict(rows)) = table.commit(first).await else {
        panic!("the row exists by now");
    };
    assert_eq!((rows[0].version, rows[0].value.as_str()), (version, "1"));
    let both = Transaction::default()
        .check("a", version)
        .check("b", 7)
        .write("a", "2".to_owned())
        .write("b", "2".to_owned());
    assert!(matches!(table.commit(both).await, Ok(Outcome::Conflict(_))));
    let rows = table.read(read_row("a")).await.expect("read");
    assert_eq!(rows[0].value, "1", "all writes or none");
    let remove = Transaction::default().check("a", version).remove("a");
    assert!(matches!(
        table.commit(remove).await,
        Ok(Outcome::Committed(_))
    ));
    assert_eq!(table.read(read_row("a")).await, Ok(Vec::new()));
}

/// A read by prefix returns the rows with this prefix, sorted, and no others.
///
/// # Panics
///
/// When the adapter violates this.
pub async fn prefix_reads_its_rows<H: Harness>() {
    let harness = H::start().await;
    let table = harness.table();
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

/// Each error reports correctly whether the write may have taken effect.
///
/// # Panics
///
/// When the adapter violates this.
pub async fn failures_report_whether_the_write_may_have_applied<H: Harness>() {
    // fault, error that the adapter returns, whether the write has taken effect afterwards
    let cases = |timeout: Duration| {
        [
            (Fault::Unavailable, Error::NotApplied, false),
            (Fault::LostResponses, Error::OutcomeUnknown, true),
            (Fault::LostWrites, Error::OutcomeUnknown, false),
            (Fault::Slow(timeout * 2), Error::OutcomeUnknown, true),
            (Fault::MalformedResponse, Error::OutcomeUnknown, false),
        ]
    };
    for case in 0..cases(Duration::ZERO).len() {
        let harness = H::start().await;
        let (fault, error, applied) = cases(harness.timeout())[case];
        harness.set_fault(fault);
        let write = Transaction::default().write("k", "v".to_owned());
        assert_eq!(harness.table().commit(write).await, Err(error), "{fault:?}");
        // a slow write takes effect after the adapter has timed out
        for _ in 0..100 {
            if !applied || harness.stored_value("k").is_some() {
                break;
            }
            tokio::time::sleep(harness.timeout() / 10).await;
        }
        assert_eq!(harness.stored_value("k").is_some(), applied, "{fault:?}");
    }
}
