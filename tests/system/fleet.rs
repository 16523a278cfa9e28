//! A small fleet for tests: stand-ins in the test's process, daemons as separate processes.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cloud::table::Transaction;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use protocol::order::{Role, Wanted};
use settings::tree::{Change, Edit, Node, Tree, resolve};
use standin::{
    batch::Speed,
    engine::{Engine, Setup},
    platform::Platform,
    service::Service,
};

pub const OPERATOR_TOKEN: &str = "operators-token";
pub const FIELD_KEY: &str = "field-key";
pub const ALARM_KEY: &str = "alarm-key";
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A daemon process; dropping it kills the process.
pub struct Daemon {
    pub child: Child,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub status_address: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // the process may have exited already
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Sends a signal, given by name.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("could not run kill").success());
    }
}

pub struct Fleet {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub service: Service,
    pub daemons: Vec<Daemon>,
    /// The platform address given to daemons that are added from now on; `None` for the platform's own.
    pub platform_address_override: Option<SocketAddr>,
    /// The setting `table_timeout` of daemons that are added from now on.
    pub table_timeout: &'static str,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn engine_setup(role: Role, fences: bool) -> Setup {
    Setup {
        speed: Speed::quick(),
        fences,
        holds: Wanted {
            role,
            ..Wanted::default()
        },
    }
}

impl Fleet {
    /// Starts the stand-ins with these engines, and this many daemons, all in one data centre.
    pub async fn start(engines: Vec<Setup>, daemons: usize) -> Self {
        let platform = Platform::start(any_port()).await.expect("platform");
        let service = Service::start(any_port()).await.expect("service");
        let mut started_engines = Vec::new();
        for engine_setup in engines {
            started_engines.push(
                Engine::start(any_port(), engine_setup)
                    .await
                    .expect("engine"),
            );
        }
        let folder = std::env::temp_dir().join(format!("wrenramp-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&folder).expect("folder");
        let mut fleet = Self {
            platform,
            engines: started_engines,
            service,
            daemons: Vec::new(),
            platform_address_override: None,
            table_timeout: "500ms",
            folder,
        };
        fleet.write_settings();
        for _ in 0..daemons {
            fleet.add_daemon();
        }
        for daemon in &fleet.daemons {
            wait_until_ready(daemon).await;
        }
        fleet
    }

    /// Writes the initial settings to the table in the form in which a daemon writes them.
    fn write_settings(&self) {
        let mut edits = vec![
            set("service/soil", "kind", "engines"),
            set("service/readings", "kind", "plain"),
            set("service/readings", "repeat", "never"),
            set("model/proctor", "service", "soil"),
            set("model/proctor", "version", "1"),
            set("fleet/roles", "roles", "fixed"),
            set("group/field", "keys", &resolve::secret_digest(FIELD_KEY)),
            set("group/alarm", "keys", &resolve::secret_digest(ALARM_KEY)),
            set("group/alarm", "priority", "9"),
            set("group/alarm", "priority_max", "9"),
            set("endpoint/sala-a/100", "service", "readings"),
            set(
                "endpoint/sala-a/100",
                "address",
                &self.service.address().to_string(),
            ),
        ];
        for (number, engine) in self.engines.iter().enumerate() {
            let path = format!("endpoint/sala-a/{}", number + 1);
            edits.push(set(&path, "service", "soil"));
            edits.push(set(&path, "address", &engine.address().to_string()));
        }
        let tree = Tree::default().apply(&edits).expect("valid settings");
        let change = Change {
            version: 1,
            operator: "test".to_owned(),
            edits,
            token: 1,
        };
        let to_json = |value: &dyn json::ToJson| value.to_json();
        let mut transaction = Transaction::default()
            .write("settings/head", r#"{"version":1,"token":1}"#.to_owned())
            .write("settings/log/000000000001", to_json(&change));
        for node in &tree.nodes {
            transaction = transaction.write(&format!("settings/node/{}", node.path), to_json(node));
        }
        let _ = self.platform.commit(&transaction);
    }

    /// Adds this many groups to the settings in the table, as version 2. Must be called before a daemon is started, as
    /// the row of the change itself is not written.
    pub fn add_groups(&self, groups: usize) {
        let mut transaction =
            Transaction::default().write("settings/head", r#"{"version":2,"token":2}"#.to_owned());
        for n in 0..groups {
            let node = Node {
                path: format!("group/workspace-{n:05}"),
                values: vec![
                    ("keys".to_owned(), resolve::secret_digest(&n.to_string())),
                    ("share".to_owned(), "2".to_owned()),
                ],
            };
            let row = format!("settings/node/{}", node.path);
            transaction = transaction.write(&row, json::ToJson::to_json(&node));
        }
        let _ = self.platform.commit(&transaction);
    }

    /// Returns the contents of the settings file of a daemon.
    fn settings_file(&self, number: usize) -> String {
        let seeds: Vec<String> = self
            .daemons
            .iter()
            .map(|daemon| format!("\"{}\"", daemon.peer_address))
            .collect();
        let address = self
            .platform_address_override
            .unwrap_or(self.platform.address());
        format!(
            r#"[daemon]
name = "entry-{number}"
data_centre = "sala-a"
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
status = "127.0.0.1:0"
seeds = [{}]
operator_token_sha256 = "{}"

[platform]
table = "{address}"
vms = "{address}"

[control]
heartbeat = "100ms"
settings_poll = "200ms"
vm_poll = "200ms"
report_poll = "50ms"
lease_term = "1s"
table_timeout = "{}"
close_wait = "5s"
role_period = "200ms"
stop_lag = "300ms"
"#,
            seeds.join(", "),
            resolve::secret_digest(OPERATOR_TOKEN),
            self.table_timeout,
        )
    }

    /// Starts one more daemon, without waiting until it is ready.
    pub fn add_daemon(&mut self) {
        let number = self.daemons.len();
        let path = self
            .folder
            .join(format!("{number}-{:x}.toml", rand::random::<u32>()));
        std::fs::write(&path, self.settings_file(number)).expect("settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_wrenrampd"))
            .arg("-c")
            .arg(&path)
            .args(["--log", "debug"])
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("could not start the daemon");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("stdout"))
            .read_line(&mut line)
            .expect("a line with the addresses");
        let words: Vec<&str> = line.split_whitespace().collect();
        let address = |index: usize| words[index].parse().expect("an address");
        self.daemons.push(Daemon {
            child,
            caller_address: address(1),
            peer_address: address(3),
            status_address: address(5),
        });
    }

    /// Runs the operators' client against a daemon. Returns its exit code and its output.
    pub fn run_client(&self, daemon: usize, arguments: &[&str]) -> (i32, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_wrenramp"))
            .arg("--daemon")
            .arg(self.daemons[daemon].peer_address.to_string())
            .args(arguments)
            .env("WRENRAMP_TOKEN", OPERATOR_TOKEN)
            .output()
            .expect("could not run the client");
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        (output.status.code().unwrap_or(-1), text)
    }
}

mod json {
    //! Serialization to JSON through a trait object.

    pub trait ToJson {
        fn to_json(&self) -> String;
    }

    impl<T: serde::Serialize> ToJson for T {
        fn to_json(&self) -> String {
            serde_json::to_string(self).expect("serializable to JSON")
        }
    }
}

pub fn set(path: &str, key: &str, value: &str) -> Edit {
    Edit::Set {
        path: path.to_owned(),
        key: key.to_owned(),
        value: value.to_owned(),
    }
}

/// An HTTP client of a caller.
#[derive(Clone)]
pub struct Caller(Client<HttpConnector, Full<Bytes>>);

/// A complete HTTP response.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

impl Response {
    pub fn run_header(&self) -> Option<&str> {
        self.headers.get("x-wrenramp-run")?.to_str().ok()
    }
}

impl Caller {
    pub fn new() -> Self {
        Self(Client::builder(TokioExecutor::new()).build_http())
    }

    /// Sends a request and returns the response once its headers have arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<hyper::Response<Incoming>, hyper_util::client::legacy::Error> {
        let mut request = Request::post(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body.to_owned())).expect("request");
        self.0.request(request).await
    }

    /// Sends a request and reads the whole response; `None` if the connection fails or breaks off.
    pub async fn request(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Response> {
        let response = self.send(address, path, headers, body).await.ok()?;
        let (head, body) = response.into_parts();
        let bytes = body.collect().await.ok()?.to_bytes();
        Some(Response {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8_lossy(&bytes).into_owned(),
        })
    }

    /// Requests a completion with the key of the group `field`.
    pub async fn complete(
        &self,
        address: SocketAddr,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> Option<Response> {
        let bearer = format!("Bearer {FIELD_KEY}");
        let headers = [("authorization", bearer.as_str())];
        let body = completion_body(prompt, tokens, stream);
        self.request(address, "/v1/completions", &headers, &body)
            .await
    }
}

pub fn completion_body(prompt: &str, tokens: u64, stream: bool) -> String {
    format!(r#"{{"model":"proctor","prompt":"{prompt}","max_tokens":{tokens},"stream":{stream}}}"#)
}

/// Returns the text of a streamed response, and whether it ended as a complete one.
pub fn parse_stream(body: &str) -> (String, bool) {
    let mut text = String::new();
    let mut complete = false;
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            complete = true;
        } else if let Ok(event) = serde_json::from_str::<serde_json::Value>(line) {
            text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
        }
    }
    (text, complete)
}

/// Waits until a daemon is ready.
pub async fn wait_until_ready(daemon: &Daemon) {
    let caller = Caller::new();
    eventually("a daemon is ready", async || {
        let request = Request::get(format!("http://{}/readyz", daemon.status_address))
            .body(Full::default())
            .expect("request");
        let response = caller.0.request(request).await;
        response.is_ok_and(|response| response.status() == StatusCode::OK)
    })
    .await;
}

/// Waits until a condition holds. The timeout only ends a test that would otherwise hang.
pub async fn eventually(condition: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {condition}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
