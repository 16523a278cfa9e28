//! The gateway as a real process: what its log says of requests whose connections end.

use std::{
    io::Read,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

use platform_standin::{
    any_port,
    caller::{self, RequestSpec},
    configuration,
    endpoint::{Endpoint, EngineRegistry, Faults, Setup},
    ledger::Ledger,
    store::Store,
};
use serde_json::Value;
use tokio::time::Instant;

/// The longest that anything is waited for.
const LONGEST: Duration = Duration::from_secs(20);

/// A gateway's process before a store and one engine.
struct Process {
    child: Child,
    settings: PathBuf,
    callers: SocketAddr,
    ready: SocketAddr,
    ledger: Ledger,
    engine: Endpoint,
    _store: Arc<Store>,
}

/// A port that is free now.
fn free() -> SocketAddr {
    let listener = std::net::TcpListener::bind(any_port()).expect("a port");
    listener.local_addr().expect("its address")
}

impl Process {
    async fn start(name: &str, grace_s: u64) -> Self {
        let store = Arc::new(Store::start().await.expect("store"));
        store.configure(&configuration::standard(1));
        let ledger = Ledger::default();
        let setup = Setup::engine("d1", "engines", "decode");
        let registry = EngineRegistry::default();
        let engine = Endpoint::start(setup, &store, &ledger, &registry).await;
        let engine = engine.expect("engine");
        let (callers, ready) = (free(), free());
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
        let process = Self {
            child,
            settings,
            callers,
            ready,
            ledger,
            engine,
            _store: store,
        };
        let latest = Instant::now() + LONGEST;
        while !process.is_ready().await {
            assert!(Instant::now() < latest, "the gateway becomes ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        process
    }

    async fn is_ready(&self) -> bool {
        caller::send(self.ready, &RequestSpec::plain("", "/ready"))
            .await
            .code()
            == 200
    }

    /// Waits until an endpoint has got a request.
    async fn arrives(&self, id: &str) {
        let arrived = |seen: &[platform_standin::ledger::Arrival]| seen.iter().any(|s| s.id == id);
        assert!(
            self.ledger.wait_until(LONGEST, arrived).await,
            "{id} arrives"
        );
    }

    /// Stops it as operators do, and gives all that it logged.
    fn stop(mut self) -> Vec<Value> {
        let id = self.child.id().to_string();
        let told = Command::new("kill").args(["-s", "TERM", &id]).status();
        assert!(told.is_ok_and(|status| status.success()));
        let mut text = String::new();
        let mut output = self.child.stdout.take().expect("it is read here");
        output.read_to_string(&mut text).expect("text");
        self.child.wait().expect("it ends");
        let lines = text.lines().map(serde_json::from_str);
        lines.collect::<Result<_, _>>().expect("lines of JSON")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // it has ended in most cases
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn find<'a>(lines: &'a [Value], message: &str) -> Option<&'a Value> {
    lines.iter().find(|line| line["message"] == message)
}

const ENDED: &str = "a caller's connection ended with its request under way";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_line_of_a_planned_stop_is_written() {
    let process = Process::start("last-line", 3).await;
    let lines = tokio::task::spawn_blocking(|| process.stop()).await;
    let lines = lines.expect("stopped");
    let last = lines.last().expect("lines");
    assert_eq!(last["message"], "planned stop ends", "{last}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_closes_its_connection_has_a_line_with_request_and_endpoint() {
    let process = Process::start("caller-closes", 3).await;
    process.engine.fail(Faults::Unresponsive);
    let ask = RequestSpec::generation("r1", "/stream/", 10, 2);
    caller::disconnect_after(process.callers, &ask, Duration::from_millis(300)).await;
    process.arrives("r1").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let lines = tokio::task::spawn_blocking(|| process.stop()).await;
    let lines = lines.expect("stopped");
    let line = find(&lines, ENDED).expect("a line of its end");
    assert_eq!(line["request"], "r1");
    assert_eq!(line["endpoint"], "d1");
    assert_eq!(line["reason"], "the caller closed it");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_a_planned_stop_cuts_has_a_line_with_request_and_endpoint() {
    let process = Process::start("process-ends", 3).await;
    // the answer's head has come, and nothing more will
    process.engine.fail(Faults::Stalls);
    let ask = RequestSpec {
        deadline: LONGEST,
        ..RequestSpec::generation("r1", "/stream/", 10, 2)
    };
    let callers = process.callers;
    let asking = tokio::spawn(async move { caller::send(callers, &ask).await });
    process.arrives("r1").await;
    let lines = tokio::task::spawn_blocking(|| process.stop()).await;
    let lines = lines.expect("stopped");
    assert!(!asking.await.expect("asked").complete);
    let line = find(&lines, ENDED).expect("a line of its end");
    assert_eq!(line["request"], "r1");
    assert_eq!(line["endpoint"], "d1");
    assert_eq!(line["reason"], "the process ended");
}
