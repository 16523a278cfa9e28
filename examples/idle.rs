//! Measures the overhead of the control traffic in an idle daemon, for several numbers of daemons and
//! engines; see `docs/CAPACITY.md`. Daemons and stand-ins share one process, so the figures are too
//! high.

use std::{net::SocketAddr, time::Duration};

use cloud::table::Transaction;
use daemon::Running;
use policy::to_f64;
use settings::{
    daemon::Settings,
    tree::{Edit, Tree, resolve},
};
use standin::{
    engine::{Engine, Setup},
    platform::Platform,
};

const SETTLE_TIME: Duration = Duration::from_secs(3);
const MEASURE_TIME: Duration = Duration::from_secs(5);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn set_edit(path: &str, key: &str, value: &str) -> Edit {
    Edit::Set {
        path: path.to_owned(),
        key: key.to_owned(),
        value: value.to_owned(),
    }
}

fn write_settings(platform: &Platform, engines: &[Engine]) {
    let mut edits = vec![set_edit("service/soil", "kind", "engines")];
    for (number, engine) in engines.iter().enumerate() {
        let path = format!("endpoint/sala-a/{}", number + 1);
        edits.push(set_edit(&path, "service", "soil"));
        edits.push(set_edit(&path, "address", &engine.address().to_string()));
    }
    let tree = Tree::default()
        .apply(&edits)
        .expect("the settings are valid");
    let head = r#"{"version":1,"token":1}"#.to_owned();
    let mut transaction = Transaction::default().write("settings/head", head);
    for node in &tree.nodes {
        let text = serde_json::to_string(node).expect("a node serializes to JSON");
        transaction = transaction.write(&format!("settings/node/{}", node.path), text);
    }
    let _ = platform.commit(&transaction);
}

fn settings(number: usize, platform: SocketAddr, seeds: &[Running]) -> Settings {
    let seeds: Vec<String> = seeds
        .iter()
        .map(|running| format!("\"{}\"", running.addresses().peers))
        .collect();
    let text = format!(
        "[daemon]\nname = \"entry-{number}\"\ndata_centre = \"sala-a\"\ncallers = \"127.0.0.1:0\"\n\
         peers = \"127.0.0.1:0\"\nstatus = \"127.0.0.1:0\"\nseeds = [{}]\n\
         operator_token_sha256 = \"{}\"\n[platform]\ntable = \"{platform}\"\nvms = \"{platform}\"\n",
        seeds.join(", "),
        resolve::secret_digest("token")
    );
    Settings::parse(&text, "idle").expect("the settings are valid")
}

/// Returns the CPU time of this process in microseconds, and the bytes carried by the loopback
/// device.
fn process_usage() -> (u64, u64) {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("/proc/self/stat is readable");
    let fields: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    // user and system time are counted in ticks of 10 ms
    let ticks = |at: usize| fields[at].parse::<u64>().expect("CPU time is a number");
    let devices = std::fs::read_to_string("/proc/net/dev").expect("/proc/net/dev is readable");
    let loopback = devices.lines().find(|line| line.trim().starts_with("lo:"));
    let received = loopback
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|bytes| bytes.parse().ok());
    ((ticks(11) + ticks(12)) * 10_000, received.unwrap_or(0))
}

async fn measure(daemons: usize, engines: usize) {
    let platform = Platform::start(any_port())
        .await
        .expect("the platform starts");
    let mut running_engines = Vec::new();
    for _ in 0..engines {
        let engine = Engine::start(any_port(), Setup::default()).await;
        running_engines.push(engine.expect("the engine starts"));
    }
    write_settings(&platform, &running_engines);
    let mut running: Vec<Running> = Vec::new();
    for number in 0..daemons {
        let settings = settings(number, platform.address(), &running);
        running.push(daemon::start(settings).await.expect("the daemon starts"));
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let (before, table_before) = (process_usage(), platform.counts());
    tokio::time::sleep(MEASURE_TIME).await;
    let (after, table_after) = (process_usage(), platform.counts());
    let daemon_seconds = to_f64(daemons as u64) * MEASURE_TIME.as_secs_f64();
    println!(
        "{daemons} daemons, {engines} engines: {:.2} % of a core, {:.1} KB/s, {:.2} table reads/s and {:.2} table writes/s per daemon",
        to_f64(after.0 - before.0) / daemon_seconds / 1e4,
        to_f64(after.1 - before.1) / daemon_seconds / 1e3,
        to_f64(table_after.reads - table_before.reads) / daemon_seconds,
        to_f64(table_after.writes - table_before.writes) / daemon_seconds,
    );
}

#[tokio::main]
async fn main() {
    for (daemons, engines) in [(2, 12), (4, 12), (8, 12), (8, 4), (8, 24)] {
        measure(daemons, engines).await;
    }
}
