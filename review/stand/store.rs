//! The platform's store: rows with versions, their history, and transactions under conditions.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use super::base::{Connection, Json, Message, base64, response};

#[derive(Clone, Debug)]
struct Row {
    table: String,
    part: String,
    key: String,
    /// In base64; `None` if the row was dropped.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String, String), Row>,
    history: Vec<Row>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    started: Instant,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            started: Instant::now(),
            shared: Arc::default(),
        };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Some(request) = connection.read_request() {
                        let answer = store.answer(&request);
                        if !connection.write(&answer) {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        set(
            &mut state,
            (table, "", key),
            Some(base64(value.as_bytes())),
            version,
        );
        self.shared.1.notify_all();
    }

    fn now_ms(&self) -> u128 {
        1_000 + self.started.elapsed().as_millis()
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        std::thread::sleep(Duration::from_millis(4));
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let json = &[("Content-Type", "application/json")];
        match (request.word(0), path) {
            ("GET", "/rows-get") => {
                let state = self.shared.0.lock().unwrap();
                let (table, part, from, to) =
                    (field("table"), field("part"), field("from"), field("to"));
                let limit = field("limit").parse().unwrap_or(500).min(500);
                let all: Vec<&Row> = state
                    .rows
                    .values()
                    .filter(|row| row.table == table && row.part == part && row.key >= from)
                    .filter(|row| to.is_empty() || row.key < to)
                    .collect();
                let rows: Vec<String> = all.iter().take(limit).map(|row| row_json(row)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"has_more\":{},\"schema_version\":{},\"now_ms\":{}}}",
                    rows.join(","),
                    all.len() > limit,
                    state.version,
                    self.now_ms()
                );
                response("200 OK", json, body.as_bytes())
            }
            ("GET", "/rows-feed") => {
                let (table, after) = (field("table"), field("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0).min(30_000));
                let until = Instant::now() + wait;
                let mut state = self.shared.0.lock().unwrap();
                loop {
                    let rows: Vec<String> = state
                        .history
                        .iter()
                        .filter(|row| row.table == table && row.version > after)
                        .map(row_json)
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"rows\":[{}],\"schema_version\":{},\"now_ms\":{}}}",
                            rows.join(","),
                            state.version,
                            self.now_ms()
                        );
                        return response("200 OK", json, body.as_bytes());
                    }
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/rows-tx") => match Json::parse(&request.body) {
                Some(transaction) => self.commit(&transaction),
                None => response("400 Bad Request", &[], b""),
            },
            _ => response("404 Not Found", &[], b""),
        }
    }

    fn commit(&self, transaction: &Json) -> Vec<u8> {
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let json = &[("Content-Type", "application/json")];
        let mut state = self.shared.0.lock().unwrap();
        let checks = transaction.list("expected_rev");
        let differs = checks.iter().any(|check| {
            let version = state.rows.get(&key(check)).map_or(0, |row| row.version);
            version != check.number("schema_version")
        });
        if differs {
            let rows: Vec<String> = checks
                .iter()
                .filter_map(|check| state.rows.get(&key(check)))
                .map(row_json)
                .collect();
            let body = format!(
                "{{\"rows\":[{}],\"schema_version\":{},\"now_ms\":{}}}",
                rows.join(","),
                state.version,
                self.now_ms()
            );
            return response("412 Precondition Failed", json, body.as_bytes());
        }
        state.version += 1;
        let version = state.version;
        for row in transaction.list("set_keys") {
            let (table, part, key) = key(&row);
            if table == "op" || table == "servers" {
                return response("403 Forbidden", &[], b"");
            }
            set(
                &mut state,
                (&table, &part, &key),
                Some(row.text("value")),
                version,
            );
        }
        for row in transaction.list("remove") {
            let (table, part, key) = key(&row);
            set(&mut state, (&table, &part, &key), None, version);
        }
        self.shared.1.notify_all();
        let body = format!(
            "{{\"schema_version\":{version},\"now_ms\":{}}}",
            self.now_ms()
        );
        response("200 OK", json, body.as_bytes())
    }
}

fn set(state: &mut State, key: (&str, &str, &str), value: Option<String>, version: u64) {
    let row = Row {
        table: key.0.to_owned(),
        part: key.1.to_owned(),
        key: key.2.to_owned(),
        value,
        version,
    };
    let place = (row.table.clone(), row.part.clone(), row.key.clone());
    match row.value {
        Some(_) => {
            state.rows.insert(place, row.clone());
        }
        None => {
            state.rows.remove(&place);
        }
    }
    state.history.push(row);
}

fn row_json(row: &Row) -> String {
    let head = format!(
        "\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\",\"schema_version\":{}",
        row.table, row.part, row.key, row.version
    );
    match &row.value {
        Some(value) => format!("{{{head},\"value\":\"{value}\"}}"),
        None => format!("{{{head},\"tombstone\":true}}"),
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = match bytes[at] {
            b'%' => text
                .get(at + 1..at + 3)
                .and_then(|code| u8::from_str_radix(code, 16).ok()),
            _ => None,
        };
        match code {
            Some(code) => {
                decoded.push(code);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
