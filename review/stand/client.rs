//! Clients, each request on a connection that is kept for the next one.

use std::{
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use super::base::{Connection, Message};

pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    /// Headers of a prompt: tokens in, tokens out, and its parts.
    pub prompt: Option<(u64, u64, String)>,
    pub body: Vec<u8>,
}

/// What a client has seen.
#[derive(Clone, Debug)]
pub struct Seen {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub stamp: Option<String>,
    pub complete: bool,
    pub body: Vec<u8>,
    /// Whether it was sent on a connection that had carried a request before.
    pub kept: bool,
}

pub struct Client {
    to: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        Self {
            to,
            connection: None,
        }
    }

    pub fn send(&mut self, request: &Request) -> Seen {
        let kept = self.connection.is_some();
        let none = Seen {
            kept,
            status: 0,
            stamp: None,
            complete: false,
            body: Vec::new(),
        };
        let opened = match self.connection.take() {
            Some(connection) => Some(connection),
            None => TcpStream::connect(self.to).ok().map(Connection::new),
        };
        let Some(mut connection) = opened else {
            return none;
        };
        // a client waits for its deadline, and a little longer for the last bytes
        let wait = Duration::from_millis(request.deadline_ms + 1_000);
        let _ = connection.stream.set_read_timeout(Some(wait));
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: review.example\r\nWrenramp-Request-Id: {}\r\nWrenramp-Deadline-Ms: {}\r\n",
            request.method, request.path, request.id, request.deadline_ms
        );
        if let Some((tokens, output, parts)) = &request.prompt {
            text.push_str(&format!(
                "Wrenramp-Model-Name: m\r\nWrenramp-Token-Counts: {tokens},{output}\r\nWrenramp-Prompt-Prefix: {parts}\r\n"
            ));
        }
        if request.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&request.body);
        if !connection.write(&bytes) {
            return none;
        }
        let Some((answer, complete)) = connection.read_response() else {
            return none;
        };
        let seen = Seen {
            kept,
            status: answer.word(1).parse().unwrap_or(0),
            stamp: answer.header("wrenramp-response-stamp").map(str::to_owned),
            complete,
            body: answer.body.clone(),
        };
        if complete && keeps_open(&answer) {
            self.connection = Some(connection);
        }
        seen
    }
}

fn keeps_open(answer: &Message) -> bool {
    let closes = answer
        .header("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let framed =
        answer.header("content-length").is_some() || answer.header("transfer-encoding").is_some();
    framed && !closes
}
