//! Readings that must not run twice, sent to three runners of the application service, one of which has a disruption.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use super::{
    base::{Record, sleep_ms},
    client::{Client, Request, Seen},
    gateway::Gateway,
    runner::{PLAIN, Runner, Trouble, World, configuration},
    store::Store,
};

/// What differs between the cases.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The disruption of the first of the three runners.
    pub trouble: Trouble,
    /// The slots of each runner; as many requests more wait in its queue.
    pub slots: u64,
    pub clients: usize,
}

/// How many requests broke a rule.
#[derive(Clone, Copy, Debug)]
pub struct Broken {
    /// Answered as not run, though they have run.
    pub refused: usize,
    /// Run more than once.
    pub twice: usize,
    /// Answered with a success without a signature.
    pub unsigned: usize,
}

/// The clients that always send, and for how long the others send and pause in turn.
const STEADY_CLIENTS: usize = 5;
const WAVE_MS: u128 = 400;
/// The requests of each client.
const REQUESTS: usize = 150;

type All = Arc<Mutex<Vec<(String, Seen)>>>;

pub fn play(record: &Record, trouble: bool, plan: Plan) -> Result<Broken, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    let world = World::new(record, &store);
    store.put("op", "config", &configuration(8));
    let none = Trouble::default();
    let first = if trouble { plan.trouble } else { none };
    for (number, trouble) in [first, none, none].into_iter().enumerate() {
        Runner::start(
            &format!("i-0c{number:02}"),
            PLAIN,
            plan.slots,
            &world,
            trouble,
            false,
        )?;
    }
    let gateway = Gateway::start("edge-sala-a-1", "127.0.0.1", store.address)?;
    let all: All = Arc::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    for number in 0..plan.clients {
        let (all, record, to) = (Arc::clone(&all), record.clone(), gateway.callers);
        clients.push(std::thread::spawn(move || {
            sleep_ms(number as u64 * 7);
            let mut client = Client::new(to);
            for turn in 0..REQUESTS {
                // the traffic comes in waves: half of the time only some of the clients send
                while number >= STEADY_CLIENTS && started.elapsed().as_millis() / WAVE_MS % 2 == 1 {
                    sleep_ms(5);
                }
                let id = format!("reading-{number}-{turn}");
                if ask(&mut client, &record, &all, &id) != 200 {
                    // it comes back with another request
                    sleep_ms(50);
                }
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    // what runs later is seen too
    sleep_ms(1_000);
    let all = all.lock().unwrap();
    let (mut refused, mut twice, mut unsigned, mut served) = (0, 0, 0, 0);
    for (id, seen) in all.iter() {
        let runs = world.runs_of(id);
        let is_success = (200..300).contains(&seen.status) && seen.complete;
        served += usize::from(is_success && seen.stamp.is_some());
        if [408, 421, 429, 503].contains(&seen.status) && seen.stamp.is_none() && !runs.is_empty() {
            refused += 1;
            record.line(&format!(
                "REFUSED: {id} was answered {} and has run at {runs:?}",
                seen.status
            ));
        }
        if runs.len() > 1 {
            twice += 1;
            record.line(&format!(
                "TWICE: {id} has run at {runs:?}; its client got {}",
                seen.status
            ));
        }
        if is_success && seen.stamp.is_none() {
            unsigned += 1;
            let body = String::from_utf8_lossy(&seen.body);
            record.line(&format!(
                "MIXED: the client of {id} got {} without a signature: {body:?}",
                seen.status
            ));
        }
    }
    let (answers, extras) = world.extras();
    record.line(&format!(
        "a runner that sends second answers gave {answers} answers, and a second one after {extras}"
    ));
    let (answers, spoiled) = world.spoiled();
    record.line(&format!(
        "a runner that fails or spoils some gave {answers} answers, {spoiled} of them so"
    ));
    record.line(&format!(
        "{} requests, {served} served, {refused} refused though run, {twice} run twice, {unsigned} successes unsigned",
        all.len()
    ));
    if served * 2 < all.len() {
        return Err("less than half of the requests were served".to_owned());
    }
    Ok(Broken {
        refused,
        twice,
        unsigned,
    })
}

/// Sends a reading, and returns the status that the client sees.
fn ask(client: &mut Client, record: &Record, all: &All, id: &str) -> u16 {
    let request = Request {
        path: "/readings/a".to_owned(),
        method: "POST",
        deadline_ms: 1_000,
        body: vec![b'b'; 600],
        prompt: None,
        id: id.to_owned(),
    };
    record.line(&format!("a client sends {id}"));
    let seen = client.send(&request);
    let status = seen.status;
    record.line(&format!(
        "the client of {id} gets {status}, stamp {:?}, {} bytes, complete {}",
        seen.stamp,
        seen.body.len(),
        seen.complete
    ));
    all.lock().unwrap().push((id.to_owned(), seen));
    status
}
