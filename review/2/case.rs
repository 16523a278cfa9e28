//! Model runners that write long answers leave one after the other. A runner that leaves also sends a second answer to an
//! earlier request, late: where the answer is due to the call by which the gateway moves an answer away.

#[path = "../stand/mod.rs"]
mod stand;

use std::sync::{Arc, Mutex};

use stand::{
    base::{Record, sleep_ms},
    client::{Client, Request, Seen},
    gateway::Gateway,
    runner::{Runner, Trouble, World, configuration},
    store::Store,
};

const SLOTS: u64 = 16;
const RUNNERS: usize = 4;
/// Two of the four runners, those with the most long answers, send a second answer after this share of their answers.
const EXTRA_SHARE: f64 = 0.02;
const GARBLING: usize = 2;
/// One of the four runners leaves in each round.
const ROUNDS: usize = 2;
/// The long answers of a round, and their events: one takes 11 s or more.
const LONG_ANSWERS: usize = 24;
const LONG_EVENTS: u64 = 1_100;
/// How many short answers are given at most before a runner leaves. Each fourth request has an input that runners refuse.
const SHORT_ANSWERS: usize = 150;
const REFUSED_INPUTS: usize = 4;

/// What has been seen of a request, with the number of its events.
type All = Arc<Mutex<Vec<(String, u64, Seen)>>>;

fn main() {
    stand::run(play);
}

fn play(record: &Record, trouble: bool) -> Result<bool, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    let world = World::new(record, &store);
    store.put("op", "config", &configuration(SLOTS));
    let none = Trouble::default();
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let id = format!("i-0b{number:02}");
        runners.push(Runner::start(&id, "decode", SLOTS, &world, none, true)?);
    }
    let gateway = Gateway::start("edge-sala-a-1", "127.0.0.1", store.address)?;
    let all: All = Arc::default();
    for round in 0..ROUNDS {
        let mut clients = Vec::new();
        for number in 0..LONG_ANSWERS {
            let (all, record, to) = (Arc::clone(&all), record.clone(), gateway.callers);
            clients.push(std::thread::spawn(move || {
                sleep_ms(20 * number as u64);
                let id = format!("long-{round}-{number}");
                ask(
                    &mut Client::new(to),
                    &record,
                    &all,
                    &id,
                    "good",
                    LONG_EVENTS,
                );
            }));
        }
        sleep_ms(1_000);
        if round == 0 {
            runners.sort_by_key(|runner| std::cmp::Reverse(runner.active()));
            for runner in runners.iter().take(GARBLING).filter(|_| trouble) {
                runner.set_trouble(Trouble {
                    extra_share: EXTRA_SHARE,
                    ..none
                });
            }
        }
        let leaves = |runner: &Runner| runner.active() > 0 && !runner.is_draining();
        let mut client = Client::new(gateway.callers);
        for turn in 0..SHORT_ANSWERS {
            let input = if turn % REFUSED_INPUTS == 0 {
                "bad"
            } else {
                "good"
            };
            ask(
                &mut client,
                record,
                &all,
                &format!("short-{round}-{turn}"),
                input,
                2,
            );
            if runners
                .iter()
                .any(|runner| leaves(runner) && runner.has_pending_extra())
            {
                break;
            }
        }
        let pending = runners
            .iter()
            .find(|runner| leaves(runner) && runner.has_pending_extra());
        let leaving = pending.or_else(|| runners.iter().find(|runner| leaves(runner)));
        if let Some(leaving) = leaving {
            record.line(&format!(
                "a runner that writes {} answers leaves",
                leaving.active()
            ));
            leaving.drain();
        }
        for client in clients {
            let _ = client.join();
        }
    }
    let all = all.lock().unwrap();
    let (mut early, mut whole, mut broken) = (0, 0, 0);
    for (id, events, seen) in all.iter().filter(|(_, _, seen)| seen.status == 200) {
        let last = last_event(&seen.body);
        match (seen.complete, last == *events) {
            (true, true) => whole += 1,
            (true, false) => {
                early += 1;
                record.line(&format!(
                    "ORDER: the stream of {id} ends as complete after event {last} of {events}"
                ));
            }
            (false, _) => broken += 1,
        }
    }
    let (answers, extras) = world.extras();
    record.line(&format!(
        "runners that send second answers gave {answers} answers, and a second one after {extras}"
    ));
    record.line(&format!(
        "{} requests, {whole} whole streams, {early} that end early as complete, {broken} broken off",
        all.len()
    ));
    if whole == 0 {
        return Err("no stream was whole".to_owned());
    }
    Ok(early > 0)
}

/// Returns the number of the last event of a stream.
fn last_event(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.last().and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn ask(client: &mut Client, record: &Record, all: &All, id: &str, input: &str, events: u64) {
    let hash = id.bytes().fold(7_u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    let request = Request {
        path: "/notes/a".to_owned(),
        method: "POST",
        deadline_ms: 15_000,
        body: format!("{input} {id}").into_bytes(),
        prompt: Some((
            100,
            events,
            format!("{:x}:40,{:x}:60", hash ^ 0x5a5a, hash | 1 << 31),
        )),
        id: id.to_owned(),
    };
    record.line(&format!("a client sends {id}, for {events} events"));
    let seen = client.send(&request);
    record.line(&format!(
        "the client of {id} gets {}, stamp {:?}, complete {}, last event {}",
        seen.status,
        seen.stamp,
        seen.complete,
        last_event(&seen.body)
    ));
    all.lock().unwrap().push((id.to_owned(), events, seen));
}
