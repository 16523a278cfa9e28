//! A fixed set of checks with real requests.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use standin::engine::{Fault, expected_text};
use wire::{CommitRequest, ReadRequest, operator_client::OperatorClient};

use super::fleet::{Fleet, KEY, TOKEN, edit};

type Http = Client<HttpConnector, Full<Bytes>>;

struct Answer {
    status: StatusCode,
    /// Value of the `x-wrenramp-run` header.
    run_status: String,
    body: String,
    /// Whether the body was received without an error.
    complete: bool,
}

/// Runs all checks, prints the result of each and fails if one fails.
pub async fn run(mut fleet: Fleet) -> ExitCode {
    let http = Client::builder(TokioExecutor::new()).build_http();
    let mut results = Vec::new();
    let mut report = |what: &str, passed: bool| {
        println!("{} {what}", if passed { "ok  " } else { "FAIL" });
        results.push(passed);
    };
    let each =
        futures::future::join_all((0..3).map(|n| check_stream(&http, fleet.callers(n), 30))).await;
    report(
        "each daemon streams a complete answer",
        each.iter().all(|passed| *passed),
    );
    fleet
        .engines
        .iter()
        .for_each(|engine| engine.set_fault(Fault::ForeignFrames));
    report(
        "frames of other attempts are dropped",
        check_stream(&http, fleet.callers(0), 30).await,
    );
    fleet
        .engines
        .iter()
        .for_each(|engine| engine.set_fault(Fault::None));
    report(
        "a request with an idempotency key runs once and its answer is replayed",
        check_idempotency(&http, &fleet).await,
    );
    let refused = send(
        &http,
        fleet.callers(0),
        "/v1/completions",
        "wrong",
        None,
        "{}",
    )
    .await;
    let passed = refused.status == StatusCode::UNAUTHORIZED && refused.run_status == "not-run";
    report("a request with a wrong key is refused as not run", passed);
    report(
        "a settings change takes effect in all daemons",
        change_setting(&fleet, "group/technicians", "share", "3").await,
    );
    report(
        "a drained engine gets no new requests",
        check_drain(&http, &fleet).await,
    );
    report(
        "streams survive the crash of an engine",
        check_crash(&http, &mut fleet).await,
    );
    report(
        "a graceful shutdown interrupts no stream",
        check_shutdown(&http, &mut fleet).await,
    );
    if results.iter().all(|passed| *passed) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn send(
    http: &Http,
    address: SocketAddr,
    path: &str,
    key: &str,
    idempotency: Option<&str>,
    body: &str,
) -> Answer {
    let mut request = Request::post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {key}"));
    if let Some(name) = idempotency {
        request = request.header("idempotency-key", name);
    }
    let request = request
        .body(Full::from(body.to_owned()))
        .expect("the request is well-formed");
    let failed = Answer {
        status: StatusCode::BAD_GATEWAY,
        run_status: String::new(),
        body: String::new(),
        complete: false,
    };
    let Ok(response) = http.request(request).await else {
        return failed;
    };
    let (head, body) = response.into_parts();
    let run_status = head.headers.get("x-wrenramp-run");
    let run_status = run_status
        .and_then(|run| run.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    match body.collect().await {
        Ok(body) => Answer {
            status: head.status,
            run_status,
            body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            complete: true,
        },
        Err(_) => failed,
    }
}

/// Streams a completion; returns whether it was complete and had the expected text.
async fn check_stream(http: &Http, address: SocketAddr, tokens: u64) -> bool {
    let prompt = format!("question for {address}");
    let body =
        format!(r#"{{"model":"proctor","prompt":"{prompt}","max_tokens":{tokens},"stream":true}}"#);
    let answer = send(http, address, "/v1/completions", KEY, None, &body).await;
    let mut text = String::new();
    let mut done = false;
    for line in answer
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
    {
        match serde_json::from_str::<serde_json::Value>(line) {
            Ok(event) => text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default()),
            Err(_) => done = line == "[DONE]",
        }
    }
    answer.complete && done && text == expected_text(&prompt, 0, tokens)
}

async fn check_idempotency(http: &Http, fleet: &Fleet) -> bool {
    let path = "/services/readings/plate-load";
    let mut bodies = Vec::new();
    for daemon in [0, 0, 1, 2] {
        let answer = send(
            http,
            fleet.callers(daemon),
            path,
            KEY,
            Some("probe-3/7"),
            "9.7 kN",
        )
        .await;
        if answer.status == StatusCode::OK {
            bodies.push(answer.body);
        }
        // the outcome is recorded shortly after the answer
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    bodies.len() == 4
        && bodies.iter().all(|body| *body == bodies[0])
        && fleet.service.runs("9.7 kN") == 1
}

async fn change_setting(fleet: &Fleet, path: &str, key: &str, value: &str) -> bool {
    commit_setting(fleet, path, key, value).await.is_ok() && {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let all = fleet
            .daemons
            .iter()
            .map(|daemon| read_setting(daemon.addresses().peers, path, key));
        futures::future::join_all(all)
            .await
            .iter()
            .all(|read| read.as_deref() == Some(value))
    }
}

async fn commit_setting(
    fleet: &Fleet,
    path: &str,
    key: &str,
    value: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    let address = fleet.daemons[1].addresses().peers;
    let mut client = OperatorClient::connect(format!("http://{address}")).await?;
    let request = CommitRequest {
        token: TOKEN.to_owned(),
        base: 0,
        edits: vec![edit(path, key, value)],
        dry_run: false,
        operator: "demo".to_owned(),
    };
    client.commit(request).await?;
    Ok(())
}

async fn read_setting(address: SocketAddr, path: &str, key: &str) -> Option<String> {
    let mut client = OperatorClient::connect(format!("http://{address}"))
        .await
        .ok()?;
    let token = TOKEN.to_owned();
    let tree = client.read(ReadRequest { token }).await.ok()?.into_inner();
    let node = tree.nodes.into_iter().find(|node| node.path == path)?;
    node.values.get(key).cloned()
}

async fn check_drain(http: &Http, fleet: &Fleet) -> bool {
    if !change_setting(fleet, "endpoint/sala-a/5", "drain", "true").await {
        return false;
    }
    let before = fleet.engines[4].counts().attempts;
    let streams = (0..12).map(|n| check_stream(http, fleet.callers(n % 3), 5));
    let complete = futures::future::join_all(streams).await;
    let after = fleet.engines[4].counts().attempts;
    complete.iter().all(|passed| *passed)
        && before == after
        && change_setting(fleet, "endpoint/sala-a/5", "drain", "false").await
}

async fn check_crash(http: &Http, fleet: &mut Fleet) -> bool {
    let addresses: Vec<SocketAddr> = (0..3).map(|n| fleet.callers(n)).collect();
    let http = http.clone();
    let streams = tokio::spawn(async move {
        let all = (0..12).map(|n| check_stream(&http, addresses[n % 3], 600));
        futures::future::join_all(all).await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(fleet.engines.remove(3));
    streams
        .await
        .is_ok_and(|complete| complete.iter().all(|passed| *passed))
}

async fn check_shutdown(http: &Http, fleet: &mut Fleet) -> bool {
    let address = fleet.callers(2);
    let http = http.clone();
    let streams = tokio::spawn(async move {
        let all = (0..8).map(|_| check_stream(&http, address, 600));
        futures::future::join_all(all).await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.daemons[2].stop();
    let interrupted = fleet.daemons[2].ended().await;
    interrupted == 0
        && streams
            .await
            .is_ok_and(|complete| complete.iter().all(|passed| *passed))
}
