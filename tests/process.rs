//! The gateway as a separate process: what it logs about requests whose connections end, and at shutdown.

use std::{
    io::{self, Read},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use platform_standin::{
    caller::{self, RequestSpec},
    configuration,
    endpoint::{End, Ending, Endpoint, EngineRegistry, Fault, Setup},
    ledger::Ledger,
    store::Store,
};
use serde_json::Value;
use tokio::{task::JoinHandle, time::Instant};

/// The timeout of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway process in front of a stand-in store and one stand-in engine.
struct Gateway {
    child: Child,
    settings: PathBuf,
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
    ledger: Ledger,
    engine: Endpoint,
    _store: Arc<Store>,
}

/// Number of gateways that this process has started.
static STARTED: AtomicU8 = AtomicU8::new(0);

/// Returns an IP address for one gateway alone. Another socket on the same address may take a port between its choice
/// and the daemon's start.
fn unique_ip() -> [u8; 4] {
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    [127, high | 0x80, low, number + 1]
}

/// Returns an address with a port that is currently free.
fn free_address(ip: [u8; 4]) -> SocketAddr {
    let listener = std::net::TcpListener::bind((Ipv4Addr::from(ip), 0)).expect("a free port");
    listener.local_addr().expect("local address")
}

impl Gateway {
    async fn start(name: &str, grace_s: u64) -> Self {
        let store = Arc::new(Store::start().await.expect("store"));
        store.configure(&configuration::standard(1));
        let ledger = Ledger::default();
        let setup = Setup::engine("d1", "engines", "decode");
        let registry = EngineRegistry::default();
        let engine = Endpoint::start(setup, &store, &ledger, &registry).await;
        let engine = engine.expect("engine");
        let ip = unique_ip();
        let callers = free_address(ip);
        let ready = free_address(ip);
        let settings = std::env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
        let text = format!(
            "[gateway]\nname = \"{name}\"\ndata_centre = \"here\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
             metrics = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n[store]\naddress = \"{}\"\n\
             [bounds]\ngrace_s = {grace_s}\n",
            store.address(),
        );
        std::fs::write(&settings, text).expect("settings");
        let child = Command::new(env!("CARGO_BIN_EXE_wrenrampd"))
            .arg("--gateway")
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let gateway = Self {
            child,
            settings,
            caller_address: callers,
            readiness_address: ready,
            ledger,
            engine,
            _store: store,
        };
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !gateway.is_ready().await {
            assert!(
                Instant::now() < deadline,
                "the gateway did not become ready"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        gateway
    }

    async fn is_ready(&self) -> bool {
        caller::send(self.readiness_address, &RequestSpec::plain("", "/ready"))
            .await
            .code()
            == 200
    }

    /// Waits until the endpoint has received the request.
    async fn wait_for_request(&self, id: &str) {
        let arrived = |seen: &[platform_standin::ledger::Arrival]| seen.iter().any(|s| s.id == id);
        assert!(
            self.ledger.wait_until(WAIT_TIMEOUT, arrived).await,
            "the endpoint did not receive {id}"
        );
    }

    /// Shuts the gateway down with SIGTERM and returns its whole log.
    fn stop_and_read_log(mut self) -> Vec<Value> {
        let id = self.child.id().to_string();
        let signalled = Command::new("kill").args(["-s", "TERM", &id]).status();
        assert!(signalled.is_ok_and(|status| status.success()));
        let mut text = String::new();
        let mut output = self.child.stdout.take().expect("standard output is piped");
        output.read_to_string(&mut text).expect("a log in UTF-8");
        self.child.wait().expect("the gateway exits");
        let lines = text.lines().map(serde_json::from_str);
        lines.collect::<Result<_, _>>().expect("lines of JSON")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // the process has usually exited already
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn find_line<'a>(lines: &'a [Value], message: &str) -> Option<&'a Value> {
    lines.iter().find(|line| line["message"] == message)
}

const CONNECTION_ENDED: &str = "a caller's connection ended with its request under way";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_final_log_line_of_a_graceful_shutdown_is_written() {
    let gateway = Gateway::start("last-line", 3).await;
    let lines = tokio::task::spawn_blocking(|| gateway.stop_and_read_log()).await;
    let lines = lines.expect("stopped");
    let last = lines.last().expect("a log line");
    assert_eq!(last["message"], "planned stop ends", "{last}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_disconnect_is_logged_with_request_and_endpoint() {
    let gateway = Gateway::start("caller-closes", 3).await;
    gateway.engine.set_fault(Fault::Unresponsive);
    let request = RequestSpec::generation("r1", "/stream/", 10, 2);
    caller::disconnect_after(gateway.caller_address, &request, Duration::from_millis(300)).await;
    gateway.wait_for_request("r1").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let lines = tokio::task::spawn_blocking(|| gateway.stop_and_read_log()).await;
    let lines = lines.expect("stopped");
    let line = find_line(&lines, CONNECTION_ENDED).expect("a log line for the connection");
    assert_eq!(line["request"], "r1");
    assert_eq!(line["endpoint"], "d1");
    assert_eq!(line["reason"], "the caller closed it");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_aborted_by_a_graceful_shutdown_is_logged_with_request_and_endpoint() {
    let gateway = Gateway::start("process-ends", 3).await;
    // the engine sends the response headers and no events
    gateway.engine.set_fault(Fault::Stalls);
    let request = RequestSpec {
        deadline: WAIT_TIMEOUT,
        ..RequestSpec::generation("r1", "/stream/", 10, 2)
    };
    let callers = gateway.caller_address;
    let response = tokio::spawn(async move { caller::send(callers, &request).await });
    gateway.wait_for_request("r1").await;
    let lines = tokio::task::spawn_blocking(|| gateway.stop_and_read_log()).await;
    let lines = lines.expect("stopped");
    assert!(!response.await.expect("the caller task").complete);
    let line = find_line(&lines, CONNECTION_ENDED).expect("a log line for the connection");
    assert_eq!(line["request"], "r1");
    assert_eq!(line["endpoint"], "d1");
    assert_eq!(line["reason"], "the process ended");
}

/// Starts to read a stream whose engine sends some events, and then nothing.
async fn begin_to_read(gateway: &Gateway) -> JoinHandle<io::Result<String>> {
    gateway.engine.set_fault(Fault::Ends(Ending {
        events: 3,
        partial_bytes: 0,
        way: End::Silent,
    }));
    let spec = RequestSpec {
        deadline: WAIT_TIMEOUT,
        ..RequestSpec::generation("r1", "/stream/", 10, 9)
    };
    let to = gateway.caller_address;
    // a version without chunks
    let response = tokio::spawn(async move { caller::read_raw(to, &spec, "HTTP/1.0").await });
    gateway.wait_for_request("r1").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    response
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_without_chunks_is_not_passed_off_as_complete_by_a_kill() {
    let mut gateway = Gateway::start("killed", 3).await;
    let response = begin_to_read(&gateway).await;
    gateway.child.kill().expect("the gateway is killed");
    let response = response.await.expect("the caller task");
    assert!(response.is_err(), "{response:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_without_chunks_is_not_passed_off_as_complete_by_a_shutdown() {
    let gateway = Gateway::start("shut-down", 3).await;
    let response = begin_to_read(&gateway).await;
    let stopped = tokio::task::spawn_blocking(|| gateway.stop_and_read_log()).await;
    assert!(stopped.is_ok());
    let response = response.await.expect("the caller task");
    assert!(response.is_err(), "{response:?}");
}
