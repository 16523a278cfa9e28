//! Gateways as separate processes beside odd entries in the list of endpoints and in their own table: none ends by itself or stops following.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

use platform_standin::{
    caller::{self, RequestSpec},
    configuration,
    endpoint::{Endpoint, EngineRegistry, Setup},
    ledger::Ledger,
    odd,
    store::Store,
};
use serde_json::{Value, json};
use tokio::time::Instant;

/// The timeout of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Two gateways read the lists from the store, the others get them from these.
const GATEWAYS: u8 = 4;
const PATHS: [&str; 4] = ["/once/", "/idempotent/", "/stream/", "/resumable/"];
/// How often the odd entries are written again, as by writers with a heartbeat.
const HEARTBEATS: usize = 5;
/// The processes share the processor with the test, so their timers are late whenever the machine is busy.
const LAG_MS: u32 = 3_600_000;
/// Lines of its log that are shown if a gateway does not serve.
const LAST_LINES: usize = 20;
/// More bytes than a line of the log may have.
const MAX_LINE_BYTES: usize = 4 << 10;

struct Gateway {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    callers: SocketAddr,
    ready: SocketAddr,
}

/// Returns an address for a gateway of this process alone, with a port that is currently free.
fn free_address(gateway: u8) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high | 0x80, low, 200 + gateway);
    let listener = std::net::TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("local address")
}

impl Gateway {
    async fn start(number: u8, store: &Store) -> Self {
        let (callers, ready) = (free_address(number), free_address(number));
        let name = format!("odd-{number}-{}", std::process::id());
        let settings = std::env::temp_dir().join(format!("{name}.toml"));
        let log = std::env::temp_dir().join(format!("{name}.log"));
        let text = format!(
            "[gateway]\nname = \"{name}\"\ndata_centre = \"here\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             metrics = \"127.0.0.1:0\"\npeers = \"127.0.0.{}:0\"\n[store]\naddress = \"{}\"\n\
             [overload]\nlag_ms = {LAG_MS}\n",
            1 + number,
            store.address(),
        );
        std::fs::write(&settings, text).expect("settings");
        let child = Command::new(env!("CARGO_BIN_EXE_wrenrampd"))
            .arg("--gateway")
            .arg(&settings)
            .stdout(std::fs::File::create(&log).expect("a log"))
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let gateway = Self {
            child,
            settings,
            log,
            callers,
            ready,
        };
        let is_ready = async || {
            let probe = RequestSpec::plain("", "/ready");
            caller::send(gateway.ready, &probe).await.code() == 200
        };
        assert!(eventually(is_ready).await, "the gateway becomes ready");
        gateway
    }

    async fn ask(&self, id: &str, path: &str) -> (u16, bool) {
        let spec = match path {
            "/stream/" | "/resumable/" => RequestSpec::generation(id, path, 700, 8),
            _ => RequestSpec::plain(id, path),
        };
        let got = caller::send(self.callers, &spec).await;
        (got.code(), got.complete)
    }

    /// Returns the last lines of its log.
    fn last_lines(&self) -> String {
        let log = std::fs::read_to_string(&self.log).expect("a log in UTF-8");
        let mut lines: Vec<&str> = log.lines().rev().take(LAST_LINES).collect();
        lines.reverse();
        lines.join("\n")
    }

    /// Checks that it still runs, that none of its tasks has panicked, and that its log has no long lines.
    fn assert_sound(&mut self) {
        assert!(matches!(self.child.try_wait(), Ok(None)), "it runs");
        let log = std::fs::read_to_string(&self.log).expect("a log in UTF-8");
        for line in log.lines() {
            assert!(!line.contains("a task panicked"), "{line}");
            assert!(line.len() < MAX_LINE_BYTES, "{} bytes", line.len());
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // the process has usually exited already if a check failed
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in [&self.settings, &self.log] {
            let _ = std::fs::remove_file(file);
        }
    }
}

async fn eventually<F: Future<Output = bool>>(condition: impl Fn() -> F) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        if Instant::now() > deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    true
}

fn put_odd_entries(store: &Store, endpoints: &[Endpoint]) {
    for (service, endpoint) in [("plain", &endpoints[0]), ("engines", &endpoints[1])] {
        for (key, value) in odd::entries(service, endpoint.address()) {
            store.put("servers", &format!("{service}-{key}"), &value);
        }
    }
}

/// Writes a configuration with another route, and returns the path of that.
fn configure(store: &Store, mut base: Value, version: u64) -> String {
    let prefix = format!("/version-{version}/");
    let mut added = configuration::standard(version)["routes"][0].take();
    added["name"] = json!(prefix);
    added["prefix"] = json!(prefix);
    base["version"] = json!(version);
    base["routes"].as_array_mut().expect("routes").push(added);
    store.configure(&base);
    prefix
}

async fn all_answer(gateways: &[Gateway], path: &str, status: u16) -> bool {
    for gateway in gateways {
        if gateway.ask("probe", path).await.0 != status {
            return false;
        }
    }
    true
}

async fn assert_served(gateways: &mut [Gateway], round: &str) {
    for (n, gateway) in gateways.iter_mut().enumerate() {
        for path in PATHS {
            let id = format!("{round}{n}{}", path.replace('/', "-"));
            let got = gateway.ask(&id, path).await;
            assert_eq!(got, (200, true), "{id}: {}", gateway.last_lines());
        }
        gateway.assert_sound();
    }
}

/// Starts a store with odd rows, sound endpoints, and gateways.
async fn fleet() -> (Arc<Store>, Vec<Endpoint>, Vec<Gateway>) {
    let store = Arc::new(Store::start().await.expect("store"));
    store.configure(&configuration::standard(1));
    let (ledger, registry) = (Ledger::default(), EngineRegistry::default());
    let mut endpoints = Vec::new();
    for setup in [
        Setup::plain("p1", "plain"),
        Setup::engine("d1", "engines", "decode"),
        Setup::engine("f1", "engines", "prefill"),
    ] {
        let endpoint = Endpoint::start(setup, &store, &ledger, &registry).await;
        endpoints.push(endpoint.expect("endpoint"));
    }
    put_odd_entries(&store, &endpoints);
    for (key, value) in odd::own_rows() {
        store.put(odd::OWN_TABLE, &key, value.as_bytes());
    }
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        gateways.push(Gateway::start(number, &store).await);
    }
    (store, endpoints, gateways)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_process_ends_or_stops_following_beside_odd_entries() {
    let (store, mut endpoints, mut gateways) = fleet().await;
    assert_served(&mut gateways, "a").await;
    for n in 0..HEARTBEATS {
        put_odd_entries(&store, &endpoints);
        assert_served(&mut gateways, &format!("b{n}")).await;
    }
    store.forget_history();
    store.remove_endpoint("p1");
    assert!(eventually(|| all_answer(&gateways, "/once/", 503)).await);
    let setup = Setup::plain("p2", "plain");
    let added = Endpoint::start(
        setup,
        &store,
        &Ledger::default(),
        &EngineRegistry::default(),
    )
    .await;
    endpoints.push(added.expect("endpoint"));
    assert!(eventually(|| all_answer(&gateways, "/once/", 200)).await);
    for version in [2, 3] {
        let path = configure(&store, configuration::standard(version), version);
        assert!(
            eventually(|| all_answer(&gateways, &path, 200)).await,
            "{version}"
        );
    }
    assert_served(&mut gateways, "c").await;
}
