//! Stand-ins for the cases of the folders 1 to 5: the platform's store, runners and clients, as the users' pages describe
//! them, and the daemon as a process. Only the standard library is used.

// each case uses a part of them
#![allow(dead_code)]

pub mod base;
pub mod client;
pub mod gateway;
pub mod readings;
pub mod runner;
pub mod store;

use std::{env, process, time::Duration};

use base::Record;

/// A case that takes longer could not run.
const LIMIT: Duration = Duration::from_secs(110);

/// Plays a case against the built daemon and writes what was sent, answered and run to the file that the first argument
/// names. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0`
/// the case is played without its disruption.
pub fn run(play: impl FnOnce(&Record, bool) -> Result<bool, String>) -> ! {
    let Some(path) = env::args().nth(1) else {
        eprintln!("the file for the record is missing");
        process::exit(2);
    };
    let record = Record::new(&path);
    gateway::end_all_after(LIMIT, &record);
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match play(&record, trouble) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            2
        }
    };
    record.write();
    println!("exit {code}");
    process::exit(code);
}
