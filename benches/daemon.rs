//! Overhead of a daemon compared with calling the stand-in engine directly in the same run: the latency of one-token
//! requests, and the CPU time per streamed chunk.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cloud::table::Transaction;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use settings::{
    daemon::Settings,
    tree::{Edit, Tree, resolve},
};
use standin::{
    batch::Speed,
    engine::{Engine, Setup},
    platform::Platform,
};

const ROUNDS: u64 = 1_000;
const STREAMS: usize = 32;
const TOKENS: u64 = 2_000;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn set(path: &str, key: &str, value: &str) -> Edit {
    Edit::Set {
        path: path.to_owned(),
        key: key.to_owned(),
        value: value.to_owned(),
    }
}

fn write_settings(platform: &Platform, engine: SocketAddr) {
    let tree = Tree::default()
        .apply(&[
            set("service/soil", "kind", "engines"),
            set("model/proctor", "service", "soil"),
            set("model/proctor", "version", "1"),
            set("group/field", "keys", &resolve::secret_digest("key")),
            set("endpoint/sala-a/1", "service", "soil"),
            set("endpoint/sala-a/1", "address", &engine.to_string()),
        ])
        .expect("valid settings");
    let mut transaction =
        Transaction::default().write("settings/head", r#"{"version":1,"token":1}"#.to_owned());
    for node in &tree.nodes {
        let text = serde_json::to_string(node).expect("serializable to JSON");
        transaction = transaction.write(&format!("settings/node/{}", node.path), text);
    }
    let _ = platform.commit(&transaction);
}

fn settings(platform: SocketAddr) -> Settings {
    let text = format!(
        "[daemon]\nname = \"bench\"\ndata_centre = \"sala-a\"\ncallers = \"127.0.0.1:0\"\n\
         peers = \"127.0.0.1:0\"\nstatus = \"127.0.0.1:0\"\noperator_token_sha256 = \"{}\"\n\
         [platform]\ntable = \"{platform}\"\nvms = \"{platform}\"\n",
        resolve::secret_digest("token")
    );
    Settings::parse(&text, "bench").expect("valid settings")
}

fn request(address: SocketAddr, direct: bool, tokens: u64) -> Request<Full<Bytes>> {
    let (path, body) = if direct {
        let attempt: u64 = rand::random();
        (
            "/generate",
            format!(
                r#"{{"attempt":{attempt},"model":"","adapter":"","version":"","prompt":"p","max_tokens":{tokens},"priority":4,"resume_from":0,"resume_text":"","import":null,"export":false}}"#
            ),
        )
    } else {
        (
            "/v1/completions",
            format!(r#"{{"model":"proctor","prompt":"p","max_tokens":{tokens},"stream":true}}"#),
        )
    };
    Request::post(format!("http://{address}{path}"))
        .header("authorization", "Bearer key")
        .body(Full::from(body))
        .expect("a well-formed request")
}

async fn time_request(
    http: &HttpClient,
    address: SocketAddr,
    direct: bool,
    tokens: u64,
) -> Duration {
    let started = Instant::now();
    let response = http.request(request(address, direct, tokens)).await;
    let mut body = response.expect("a response").into_body();
    while let Some(frame) = body.frame().await {
        frame.expect("an unbroken body");
    }
    started.elapsed()
}

/// Returns the CPU time of this process in microseconds.
fn cpu_time_us() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("could not read /proc/self/stat");
    let fields: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    // user and system time, in ticks of 10 ms
    let ticks = |index: usize| fields[index].parse::<u64>().expect("a number");
    (ticks(11) + ticks(12)) * 10_000
}

#[tokio::main]
async fn main() {
    let platform = Platform::start(any_port()).await.expect("platform");
    let speed = Speed {
        step_us: 1,
        decode_us: 0,
        prefill_us_per_thousand: 0,
        ..Speed::default()
    };
    let setup = Setup {
        speed,
        ..Setup::default()
    };
    let engine = Engine::start(any_port(), setup).await.expect("engine");
    write_settings(&platform, engine.address());
    let daemon = daemon::start(settings(platform.address()))
        .await
        .expect("daemon");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let http = Client::builder(TokioExecutor::new()).build_http();
    let (direct, via_daemon) = (engine.address(), daemon.addresses().callers);
    // alternating, so that a drift of the machine's speed affects both equally
    let mut latencies =
        [Histogram::<u64>::new(3), Histogram::new(3)].map(|h| h.expect("valid precision"));
    for _ in 0..ROUNDS {
        for (index, (address, is_direct)) in [(direct, true), (via_daemon, false)]
            .into_iter()
            .enumerate()
        {
            let latency = time_request(&http, address, is_direct, 1).await;
            let us = u64::try_from(latency.as_micros()).expect("short");
            latencies[index]
                .record(us)
                .expect("the histogram resizes itself");
        }
    }
    for (name, latencies) in ["direct", "through a daemon"].iter().zip(&latencies) {
        println!(
            "{name}: one request of one token, p50 {} us, p99 {} us",
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99)
        );
    }
    println!(
        "added at the median: {} us",
        latencies[1]
            .value_at_quantile(0.5)
            .saturating_sub(latencies[0].value_at_quantile(0.5))
    );
    let mut cpu_costs = Vec::new();
    for (address, is_direct) in [(direct, true), (via_daemon, false)] {
        let before = cpu_time_us();
        let started = Instant::now();
        let streams = (0..STREAMS).map(|_| time_request(&http, address, is_direct, TOKENS));
        futures::future::join_all(streams).await;
        let chunks = TOKENS * u64::try_from(STREAMS).expect("few");
        let cost = policy::to_f64(cpu_time_us() - before) / policy::to_f64(chunks);
        println!(
            "{}: {chunks} chunks in {} ms, {cost:.2} us of processor a chunk (engine, daemon and caller together)",
            if is_direct {
                "direct"
            } else {
                "through a daemon"
            },
            started.elapsed().as_millis(),
        );
        cpu_costs.push(cost);
    }
    println!(
        "added: {:.2} us of processor a chunk",
        cpu_costs[1] - cpu_costs[0]
    );
    let before = cpu_time_us();
    let started = Instant::now();
    for _ in 0..20 {
        let requests = (0..100).map(|_| time_request(&http, via_daemon, false, 1));
        futures::future::join_all(requests).await;
    }
    let cost = policy::to_f64(cpu_time_us() - before) / 2_000.0;
    println!(
        "2000 requests of one token in {} ms, {cost:.0} us of processor each (all parts), {:.0} requests a second a core",
        started.elapsed().as_millis(),
        1e6 / cost
    );
}
