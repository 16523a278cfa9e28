//! Runners: model runners that read prompts and make tokens, and runners of an application service.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    ops::RangeInclusive,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use super::{
    base::{Connection, Json, Message, Record, response, sleep_ms, unix_ms},
    store::Store,
};

/// In place of a stage, for runners of the application service.
pub const PLAIN: &str = "plain";
/// How long such a runner works on a request.
const WORK_MS: u64 = 40;
/// How long a handle is kept.
const HANDLE_TTL: Duration = Duration::from_secs(5);
/// How long a runner is away when it changes its stage.
const SWITCH_MS: u64 = 3_000;

/// What all runners share: the handles that they hold, and what has run.
#[derive(Clone)]
pub struct World {
    pub record: Record,
    pub store: Store,
    handles: Arc<Mutex<BTreeMap<String, Instant>>>,
    /// The streams that are being made, by request.
    streams: Arc<Mutex<BTreeMap<String, Progress>>>,
    runs: Arc<Mutex<Vec<(String, String)>>>,
    next: Arc<AtomicU64>,
    /// The answers of runners that may send some twice, and how many they have sent twice.
    answers: Arc<AtomicU64>,
    extras: Arc<AtomicU64>,
    /// The answers of runners that may spoil some, and how many they have spoiled.
    spoilable: Arc<AtomicU64>,
    spoiled: Arc<AtomicU64>,
}

/// A stream that is being made.
#[derive(Clone, Default)]
struct Progress(Arc<(AtomicBool, AtomicU64, AtomicBool)>);

impl Progress {
    fn stop(&self) {
        self.0.0.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.0.0.load(Ordering::Relaxed)
    }

    fn record(&self, event: u64) {
        self.0.1.store(event, Ordering::Relaxed);
    }

    fn events(&self) -> u64 {
        self.0.1.load(Ordering::Relaxed)
    }

    fn end(&self) {
        self.0.2.store(true, Ordering::Relaxed);
    }

    fn has_ended(&self) -> bool {
        self.0.2.load(Ordering::Relaxed)
    }
}

impl World {
    pub fn new(record: &Record, store: &Store) -> Self {
        Self {
            record: record.clone(),
            store: store.clone(),
            handles: Arc::default(),
            streams: Arc::default(),
            runs: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
            answers: Arc::default(),
            extras: Arc::default(),
            spoilable: Arc::default(),
            spoiled: Arc::default(),
        }
    }

    /// Returns the runners that have run a request.
    pub fn runs_of(&self, request: &str) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|(id, _)| id == request)
            .map(|(_, runner)| runner.clone())
            .collect()
    }

    /// Returns the answers of runners that may spoil some, and how many they have spoiled.
    pub fn spoiled(&self) -> (u64, u64) {
        (
            self.spoilable.load(Ordering::Relaxed),
            self.spoiled.load(Ordering::Relaxed),
        )
    }

    /// Returns the answers of runners that may send some twice, and how many they have sent twice.
    pub fn extras(&self) -> (u64, u64) {
        (
            self.answers.load(Ordering::Relaxed),
            self.extras.load(Ordering::Relaxed),
        )
    }

    fn new_handle(&self) -> String {
        let number = self.next.fetch_add(7, Ordering::Relaxed);
        let handle = format!("{:012x}", 0x3fa0_9c41_0000_u64 + number);
        let mut handles = self.handles.lock().unwrap();
        handles.insert(handle.clone(), Instant::now() + HANDLE_TTL);
        handle
    }

    fn ran(&self, request: &str, runner: &str) {
        self.record.line(&format!("{runner} runs {request}"));
        self.runs
            .lock()
            .unwrap()
            .push((request.to_owned(), runner.to_owned()));
    }
}

/// The disruptions of a runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// The share of its answers after which it sends a second one, the same once more, late: where the next answer is due on
    /// that connection. Refusals are taken for it.
    pub extra_share: f64,
    /// The share of its answers that it spoils: bytes without its signature, and another body.
    pub spoiled_share: f64,
    /// The share of its requests that it fails after they have run: 503, without its signature.
    pub failed_share: f64,
}

#[derive(Clone)]
pub struct Runner {
    id: String,
    address: SocketAddr,
    world: World,
    slots: u64,
    /// How many more requests may wait, at a runner of the application service.
    queue: u64,
    born: u64,
    trouble: Arc<Mutex<Trouble>>,
    /// Whether its streams have no length and end with their connections.
    unframed: bool,
    state: Arc<Mutex<State>>,
}

struct State {
    stage: &'static str,
    changing: bool,
    orders: u64,
    writes: u64,
    active: u64,
    working: u64,
    draining: bool,
    /// Connections with a second answer that is still to come.
    pending_extras: u64,
}

impl Runner {
    pub fn start(
        id: &str,
        stage: &'static str,
        slots: u64,
        world: &World,
        trouble: Trouble,
        unframed: bool,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let runner = Self {
            id: id.to_owned(),
            address: listener.local_addr().map_err(|error| error.to_string())?,
            world: world.clone(),
            slots,
            queue: slots,
            born: unix_ms(),
            trouble: Arc::new(Mutex::new(trouble)),
            unframed,
            state: Arc::new(Mutex::new(State {
                stage,
                changing: false,
                orders: 0,
                writes: 0,
                active: 0,
                working: 0,
                draining: false,
                pending_extras: 0,
            })),
        };
        runner.register();
        let server = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = server.clone();
                std::thread::spawn(move || runner.serve(Connection::new(stream)));
            }
        });
        let beating = runner.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(1_200);
                beating.register();
            }
        });
        Ok(runner)
    }

    /// Begins a disruption.
    pub fn set_trouble(&self, trouble: Trouble) {
        self.world.record.line(&format!("{}: {trouble:?}", self.id));
        *self.trouble.lock().unwrap() = trouble;
    }

    /// Reports that it leaves.
    pub fn drain(&self) {
        self.state.lock().unwrap().draining = true;
        self.register();
        self.world.record.line(&format!("{} is draining", self.id));
    }

    /// Whether a second answer is still to come on one of its connections.
    pub fn has_pending_extra(&self) -> bool {
        self.state.lock().unwrap().pending_extras > 0
    }

    pub fn is_draining(&self) -> bool {
        self.state.lock().unwrap().draining
    }

    /// Returns how many streams it is making.
    pub fn active(&self) -> u64 {
        self.state.lock().unwrap().active
    }

    /// Writes its entry.
    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        state.writes += 1;
        let (service, model) = if state.stage == PLAIN {
            ("registo", String::new())
        } else {
            let model = "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],";
            ("modelo", format!("\"stage\":\"{}\",{model}", state.stage))
        };
        let readiness = if state.draining { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"sala-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{readiness}\",\"warmup_left_ms\":0,{model}\"sequence\":{},\"born\":{}}}",
            self.address, self.slots, state.writes, self.born
        );
        self.world.store.put("servers", &self.id, &entry);
    }

    fn serve(&self, mut connection: Connection) {
        // an answer that is sent once more where the next one is due
        let mut extra: Option<Vec<u8>> = None;
        while let Some(request) = connection.read_request() {
            let id = request
                .header("wrenramp-request-id")
                .unwrap_or("")
                .to_owned();
            let (method, path) = (request.word(0).to_owned(), request.word(1).to_owned());
            let answer = match (method.as_str(), path.as_str()) {
                ("GET", "/report") => Some(self.report()),
                ("GET", "/kv-list") => Some(self.own("{\"epoch\":1,\"next\":0,\"held\":[]}")),
                ("GET", "/health") => Some(response(
                    "200 OK",
                    &[("Wrenramp-Instance-Id", &self.id)],
                    b"",
                )),
                ("POST", "/order") => Some(self.order(&request)),
                ("POST", "/kv-move") => Some(self.migrate(&request)),
                ("DELETE", path) if path.starts_with("/kv-handle/") => {
                    let handle = path.trim_start_matches("/kv-handle/");
                    self.world.handles.lock().unwrap().remove(handle);
                    Some(response("200 OK", &[], b""))
                }
                _ => None,
            };
            if let Some(answer) = answer {
                let before = self.take(&mut extra, &format!("{method} {path}"));
                if !connection.write(&[before, answer].concat()) {
                    return;
                }
                continue;
            }
            match self.generate(&request, &id) {
                Answer::Whole(bytes, refusal) => {
                    self.count_answer();
                    let before = self.take(&mut extra, &id);
                    if refusal && self.may_send_extra() {
                        extra = Some(bytes.clone());
                        self.state.lock().unwrap().pending_extras += 1;
                    }
                    if !connection.write(&[before, bytes].concat()) {
                        return;
                    }
                }
                Answer::Stream(head, events) => {
                    self.state.lock().unwrap().active += 1;
                    // the first token: the run begins
                    self.world.ran(&id, &self.id);
                    let before = self.take(&mut extra, &id);
                    let progress = Progress::default();
                    let mut streams = self.world.streams.lock().unwrap();
                    streams.insert(id.clone(), progress.clone());
                    drop(streams);
                    let first = 1 + request
                        .header("last-event-id")
                        .and_then(|last| last.parse::<u64>().ok())
                        .unwrap_or(0);
                    let head = [before, head].concat();
                    let complete = stream(
                        &mut connection,
                        &head,
                        first..=events,
                        &progress,
                        self.unframed,
                    );
                    self.state.lock().unwrap().active -= 1;
                    self.count_answer();
                    let ends = if progress.is_stopped() {
                        "stops"
                    } else if complete {
                        "completes"
                    } else {
                        "drops"
                    };
                    self.world.record.line(&format!(
                        "{} {ends} {id} after event {}",
                        self.id,
                        progress.events()
                    ));
                    if !progress.is_stopped() {
                        self.world.streams.lock().unwrap().remove(&id);
                    }
                    progress.end();
                    if !complete || self.unframed {
                        return;
                    }
                }
            }
        }
    }

    /// Takes the second answer that is to come before the answer to `next`.
    fn take(&self, extra: &mut Option<Vec<u8>>, next: &str) -> Vec<u8> {
        let Some(bytes) = extra.take() else {
            return Vec::new();
        };
        self.state.lock().unwrap().pending_extras -= 1;
        self.world.record.line(&format!(
            "{} sends a second answer to an earlier request, late, before that to {next}",
            self.id
        ));
        bytes
    }

    /// Stops a run and copies its memory to another runner.
    fn migrate(&self, request: &Message) -> Vec<u8> {
        let Some(call) = Json::parse(&request.body) else {
            return response("400 Bad Request", &[], b"");
        };
        let id = call.text("id");
        let found = self.world.streams.lock().unwrap().remove(&id);
        let Some(progress) = found.filter(|progress| !progress.has_ended()) else {
            self.world.record.line(&format!(
                "{} is asked to move {id}, which it does not run",
                self.id
            ));
            return response("404 Not Found", &[], b"");
        };
        progress.stop();
        while !progress.has_ended() {
            sleep_ms(1);
        }
        let handle = self.world.new_handle();
        self.world.record.line(&format!(
            "{} has moved {id} to {}",
            self.id,
            call.text("to")
        ));
        let body = format!(
            "{{\"kv_handle\":\"{handle}\",\"events_emitted\":{}}}",
            progress.events()
        );
        self.own(&body)
    }

    /// Counts an answer.
    fn count_answer(&self) {
        if self.trouble.lock().unwrap().extra_share > 0.0 {
            self.world.answers.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Whether the answer that is about to be sent is one of the few that are sent twice.
    fn may_send_extra(&self) -> bool {
        let share = self.trouble.lock().unwrap().extra_share;
        let most = (self.world.answers.load(Ordering::Relaxed) as f64 * share).floor() as u64;
        let take = |extras: u64| (extras < most).then_some(extras + 1);
        self.world
            .extras
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    /// Whether the answer that is about to be sent is one of the few that it spoils.
    fn spoils(&self) -> bool {
        let share = self.trouble.lock().unwrap().spoiled_share;
        self.draw(share)
    }

    /// Whether the request that has just run is one that it fails.
    fn fails(&self) -> bool {
        let share = self.trouble.lock().unwrap().failed_share;
        self.draw(share)
    }

    /// Counts an answer, and draws whether it is one of this share of all.
    fn draw(&self, share: f64) -> bool {
        if share == 0.0 {
            return false;
        }
        let answers = self.world.spoilable.fetch_add(1, Ordering::Relaxed) + 1;
        let most = (answers as f64 * share).floor() as u64;
        let take = |spoiled: u64| (spoiled < most).then_some(spoiled + 1);
        self.world
            .spoiled
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    fn own(&self, body: &str) -> Vec<u8> {
        response(
            "200 OK",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    fn report(&self) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        self.own(&format!(
            "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{},\"sequence\":{},\
             \"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":305000,\"kv_handles\":0,\"born\":{}}}",
            state.stage, state.changing, state.orders, state.active, self.born
        ))
    }

    fn order(&self, request: &Message) -> Vec<u8> {
        let Some(order) = Json::parse(&request.body) else {
            return response("400 Bad Request", &[], b"");
        };
        let wanted = match order.text("stage").as_str() {
            "prefill" => "prefill",
            "decode" => "decode",
            _ => return response("400 Bad Request", &[], b""),
        };
        if self.is_other(request) {
            return self.misdirected();
        }
        let mut state = self.state.lock().unwrap();
        if state.stage == wanted {
            return response("200 OK", &[], b"");
        }
        if state.changing
            || (order.get("expected_rev").is_some() && order.number("expected_rev") != state.orders)
        {
            return response("409 Conflict", &[], b"");
        }
        state.orders += 1;
        state.changing = true;
        drop(state);
        let runner = self.clone();
        std::thread::spawn(move || {
            sleep_ms(SWITCH_MS);
            {
                let mut state = runner.state.lock().unwrap();
                state.stage = wanted;
                state.changing = false;
            }
            runner.register();
        });
        response("202 Accepted", &[], b"")
    }

    /// Serves a request of the application service.
    fn work(&self, request: &Message, id: &str) -> Answer {
        if self.is_other(request) {
            return Answer::Whole(self.misdirected(), false);
        }
        {
            let mut state = self.state.lock().unwrap();
            if state.active >= self.slots + self.queue {
                self.world
                    .record
                    .line(&format!("{} is full and sheds {id}", self.id));
                // without a name, as on the page of examples: it has not read the request any further
                let headers = [("Wrenramp-Not-Executed", "1")];
                return Answer::Whole(response("503 Service Unavailable", &headers, b""), true);
            }
            state.active += 1;
        }
        while self.state.lock().unwrap().working >= self.slots {
            sleep_ms(1);
        }
        self.state.lock().unwrap().working += 1;
        self.world.ran(id, &self.id);
        sleep_ms(WORK_MS);
        {
            let mut state = self.state.lock().unwrap();
            state.active -= 1;
            state.working -= 1;
        }
        if self.fails() {
            self.world.record.line(&format!(
                "{} fails {id} after it has run: 503 without signature",
                self.id
            ));
            let headers = [("Wrenramp-Request-Id", id)];
            return Answer::Whole(
                response("503 Service Unavailable", &headers, b"a worker has failed"),
                false,
            );
        }
        if self.spoils() {
            self.world.record.line(&format!(
                "{} spoils its answer to {id}: no signature, another body",
                self.id
            ));
            let headers = [("Wrenramp-Request-Id", id)];
            return Answer::Whole(response("200 OK", &headers, b"a worker has failed"), false);
        }
        let stamp = format!("s.{}.{id}", self.id);
        let headers = [
            ("Wrenramp-Request-Id", id),
            ("Wrenramp-Response-Stamp", &stamp),
        ];
        Answer::Whole(response("200 OK", &headers, &[b'a'; 800]), false)
    }

    fn is_other(&self, request: &Message) -> bool {
        let expected = request.header("wrenramp-expect-instance");
        expected.is_some_and(|expected| expected != self.id)
    }

    fn misdirected(&self) -> Vec<u8> {
        response(
            "421 Misdirected Request",
            &[("Wrenramp-Instance-Id", &self.id)],
            b"",
        )
    }

    fn generate(&self, request: &Message, id: &str) -> Answer {
        if self.state.lock().unwrap().stage == PLAIN {
            return self.work(request, id);
        }
        let reads = request.header("wrenramp-serving-stage") == Some("prefill");
        let source = request.header("wrenramp-kv-source").map(str::to_owned);
        let counts = request.header("wrenramp-token-counts").unwrap_or("0,0");
        let (tokens, output) = counts.split_once(',').unwrap_or(("0", "0"));
        let tokens: u64 = tokens.parse().unwrap_or(0);
        let output: u64 = output.parse().unwrap_or(0);
        let (stage, changing) = {
            let state = self.state.lock().unwrap();
            (state.stage, state.changing)
        };
        let kind = match (&source, reads) {
            (_, true) => "to read",
            (Some(_), false) => "to go on from a handle",
            (None, false) => "to run whole",
        };
        self.world
            .record
            .line(&format!("{} ({stage}) gets {id} {kind}", self.id));
        let refuse = |why: &str| {
            self.world.record.line(&format!(
                "{} refuses {id} with 503 and Wrenramp-Not-Executed: {why}",
                self.id
            ));
            let headers = [("Wrenramp-Request-Id", id), ("Wrenramp-Not-Executed", "1")];
            Answer::Whole(response("503 Service Unavailable", &headers, b""), true)
        };
        if self.is_other(request) || reads != (stage == "prefill") {
            return Answer::Whole(self.misdirected(), false);
        }
        if changing {
            return refuse("it carries out an order");
        }
        if !reads && request.body.starts_with(b"bad") {
            self.world.ran(id, &self.id);
            let stamp = format!("s.{}.{id}", self.id);
            let headers = [
                ("Wrenramp-Request-Id", id),
                ("Wrenramp-Response-Stamp", &stamp),
            ];
            let body = b"the dossier has no readings";
            return Answer::Whole(response("422 Unprocessable Content", &headers, body), true);
        }
        if reads {
            sleep_ms(1 + tokens / 307);
            let handle = self.world.new_handle();
            let body = format!("{{\"kv_handle\":\"{handle}\",\"tokens\":{tokens},\"version\":1}}");
            let headers = [
                ("Wrenramp-Request-Id", id),
                ("Content-Type", "application/json"),
            ];
            return Answer::Whole(response("200 OK", &headers, body.as_bytes()), false);
        }
        match source {
            Some(source) => {
                let handle = source.split_once('/').map_or("", |(_, handle)| handle);
                let held = self.world.handles.lock().unwrap().remove(handle);
                if held.is_none_or(|until| until < Instant::now()) {
                    return refuse("the handle is gone");
                }
                sleep_ms(1);
            }
            // its own reading, at half the speed
            None => sleep_ms(1 + tokens * 2 / 307),
        }
        let framing = if self.unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nWrenramp-Request-Id: {id}\r\nWrenramp-Response-Stamp: s.{}.{id}\r\n\
             Wrenramp-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n",
            self.id
        );
        Answer::Stream(head.into_bytes(), output)
    }
}

enum Answer {
    /// The bytes, and whether it says that the request has not run.
    Whole(Vec<u8>, bool),
    /// The head and the number of events.
    Stream(Vec<u8>, u64),
}

/// Sends a stream. Returns false if it has not been completed: it was stopped, or the connection has closed meanwhile.
fn stream(
    connection: &mut Connection,
    head: &[u8],
    events: RangeInclusive<u64>,
    progress: &Progress,
    unframed: bool,
) -> bool {
    if !connection.write(head) {
        return false;
    }
    for number in events {
        if progress.is_stopped() {
            return false;
        }
        let event = format!("id: {number}\ndata: token\n\n");
        let bytes = if unframed {
            event
        } else {
            format!("{:x}\r\n{event}\r\n", event.len())
        };
        if !connection.write(bytes.as_bytes()) || has_closed(connection) {
            return false;
        }
        progress.record(number);
        sleep_ms(10);
    }
    unframed || connection.write(b"0\r\n\r\n")
}

fn has_closed(connection: &Connection) -> bool {
    let _ = connection.stream.set_nonblocking(true);
    let result = connection.stream.peek(&mut [0]);
    let _ = connection.stream.set_nonblocking(false);
    match result {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// The configuration: model runners behind a route whose streams can't be resumed, and an application service behind one
/// whose requests must not run twice.
pub fn configuration(slots: u64) -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"notes\",\"host\":\"review.example\",\"prefix\":\"/notes/\",\
     \"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":250,\"priority\":1,\"service\":\"modelo\",\
     \"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":150},\
     {\"name\":\"readings\",\"host\":\"review.example\",\"prefix\":\"/readings/\",\"kind\":\"non_idempotent\",\
     \"timeout_ms\":2000,\"target_latency_ms\":100,\"priority\":2,\"service\":\"registo\",\"max_attempts\":1}],\
     \"services\":[{\"name\":\"modelo\",\"health_path\":\"/health\",\"max_connections\":300,\"protocol\":\"h1\",\
     \"tls\":false,\"engine\":{\"slots\":SLOTS,\"kv_tokens\":305000,\"kv_token_bytes\":131072,\"link_mbps\":8800000.0,\
     \"moves\":true,\"backups\":true,\"stride\":1,\"most\":12,\"handle_ttl_s\":5.0,\"switch_s\":3.0,\
     \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}},\
     {\"name\":\"registo\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000}}"
        .replace("SLOTS", &slots.to_string())
}
