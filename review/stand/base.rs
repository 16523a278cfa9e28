//! What all stand-ins share: the record, HTTP messages, a small JSON reader and base64.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::TcpStream,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    path: String,
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self(Arc::new(Inner {
            path: path.to_owned(),
            started: Instant::now(),
            lines: Mutex::new(Vec::new()),
        }))
    }

    pub fn line(&self, text: &str) {
        let at = self.0.started.elapsed().as_secs_f64();
        self.0
            .lines
            .lock()
            .unwrap()
            .push(format!("{at:9.4} {text}"));
    }

    pub fn write(&self) {
        let mut text = self.0.lines.lock().unwrap().join("\n");
        text.push('\n');
        if let Err(error) = std::fs::write(&self.0.path, text) {
            eprintln!("cannot write the record: {error}");
        }
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A request or a response: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(other, _)| other == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }
}

/// A connection that is read message by message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 16384];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => None,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Some(())
            }
        }
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Some(Message {
            first,
            headers,
            body: Vec::new(),
        })
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the next chunk of a body; an empty one is the last.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let line = self.take_line()?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).ok()?;
        let chunk = self.take(size)?;
        self.take_line()?;
        Some(chunk)
    }

    /// Reads a whole request.
    pub fn read_request(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().ok()?;
            message.body = self.take(length)?;
        }
        Some(message)
    }

    /// Reads a whole response and returns whether its body is complete; `None` if no head came.
    pub fn read_response(&mut self) -> Option<(Message, bool)> {
        let mut message = self.read_head()?;
        let mut complete = true;
        if message.header("transfer-encoding").is_some() {
            loop {
                match self.read_chunk() {
                    Some(chunk) if chunk.is_empty() => break,
                    Some(chunk) => message.body.extend(chunk),
                    None => {
                        complete = false;
                        break;
                    }
                }
            }
        } else if let Some(length) = message
            .header("content-length")
            .and_then(|l| l.parse().ok())
        {
            match self.take(length) {
                Some(body) => message.body = body,
                None => complete = false,
            }
        } else {
            while self.fill().is_some() {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Some((message, complete))
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// A response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Other(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut at = 0;
        parse_value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text) | Self::Other(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Self::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }
}

fn skip_blank(text: &[u8], at: &mut usize) {
    while *at < text.len() && text[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_text(text: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(bytes).ok();
            }
            b'\\' => {
                *at += 1;
                match *text.get(*at)? {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'u' => {
                        let code = std::str::from_utf8(text.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let mut buffer = [0; 4];
                        let c = char::from_u32(code)?;
                        bytes.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                        *at += 4;
                    }
                    other => bytes.push(other),
                }
                *at += 1;
            }
            other => {
                bytes.push(other);
                *at += 1;
            }
        }
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_blank(text, at);
    match *text.get(*at)? {
        b'"' => parse_text(text, at).map(Json::Text),
        open @ (b'[' | b'{') => {
            let close = if open == b'[' { b']' } else { b'}' };
            let (mut items, mut fields) = (Vec::new(), BTreeMap::new());
            *at += 1;
            loop {
                skip_blank(text, at);
                match *text.get(*at)? {
                    byte if byte == close => {
                        *at += 1;
                        return Some(match open {
                            b'[' => Json::List(items),
                            _ => Json::Table(fields),
                        });
                    }
                    b',' => *at += 1,
                    _ if open == b'[' => items.push(parse_value(text, at)?),
                    _ => {
                        let name = parse_text(text, at)?;
                        skip_blank(text, at);
                        *at += 1;
                        fields.insert(name, parse_value(text, at)?);
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while *at < text.len() && !b",]} \n\r\t".contains(&text[*at]) {
                *at += 1;
            }
            Some(Json::Other(
                String::from_utf8_lossy(&text[start..*at]).into_owned(),
            ))
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three
            .iter()
            .fold(0_u32, |number, byte| (number << 8) | u32::from(*byte));
        let number = number << (8 * (3 - three.len()));
        for index in 0..4 {
            if index <= three.len() {
                let letter = (number >> (18 - 6 * index)) & 63;
                text.push(char::from(LETTERS[letter as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
