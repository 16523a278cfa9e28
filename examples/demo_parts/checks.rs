//! A fixed set of real requests, with a line and a verdict each.

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
    run: String,
    body: String,
    whole: bool,
}

/// Runs all checks; fails when one is wrong.
pub async fn run(mut fleet: Fleet) -> ExitCode {
    let http = Client::builder(TokioExecutor::new()).build_http();
    let mut verdicts = Vec::new();
    let mut tell = |what: &str, fine: bool| {
        println!("{} {what}", if fine { "ok  " } else { "FAIL" });
        verdicts.push(fine);
    };
    let each =
        futures::future::join_all((0..3).map(|n| streamed(&http, fleet.callers(n), 30))).await;
    tell(
        "streamed whole through each daemon",
        each.iter().all(|fine| *fine),
    );
    fleet
        .engines
        .iter()
        .for_each(|engine| engine.set_fault(Fault::ForeignFrames));
    tell(
        "crossed frames dropped",
        streamed(&http, fleet.callers(0), 30).await,
    );
    fleet
        .engines
        .iter()
        .for_each(|engine| engine.set_fault(Fault::None));
    tell(
        "a reading runs once, its answer is given again",
        once(&http, &fleet).await,
    );
    let refused = ask(
        &http,
        fleet.callers(0),
        "/v1/completions",
        "wrong",
        None,
        "{}",
    )
    .await;
    let fine = refused.status == StatusCode::UNAUTHORIZED && refused.run == "not-run";
    tell("a wrong key is refused as not run", fine);
    tell(
        "a settings change is in force in all daemons",
        change(&fleet, "group/technicians", "share", "3").await,
    );
    tell(
        "a drained engine gets no new work",
        drained(&http, &fleet).await,
    );
    tell(
        "an engine killed in a stream costs nothing",
        killed(&http, &mut fleet).await,
    );
    tell(
        "a planned stop cuts no stream",
        stopped(&http, &mut fleet).await,
    );
    if verdicts.iter().all(|fine| *fine) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn ask(
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
        .expect("a fixed request is well formed");
    let broken = Answer {
        status: StatusCode::BAD_GATEWAY,
        run: String::new(),
        body: String::new(),
        whole: false,
    };
    let Ok(response) = http.request(request).await else {
        return broken;
    };
    let (head, body) = response.into_parts();
    let run = head.headers.get("x-wrenramp-run");
    let run = run
        .and_then(|run| run.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    match body.collect().await {
        Ok(body) => Answer {
            status: head.status,
            run,
            body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            whole: true,
        },
        Err(_) => broken,
    }
}

/// A completion that must come out whole and right.
async fn streamed(http: &Http, address: SocketAddr, tokens: u64) -> bool {
    let prompt = format!("question for {address}");
    let body =
        format!(r#"{{"model":"proctor","prompt":"{prompt}","max_tokens":{tokens},"stream":true}}"#);
    let answer = ask(http, address, "/v1/completions", KEY, None, &body).await;
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
    answer.whole && done && text == expected_text(&prompt, 0, tokens)
}

async fn once(http: &Http, fleet: &Fleet) -> bool {
    let path = "/services/readings/plate-load";
    let mut bodies = Vec::new();
    for daemon in [0, 0, 1, 2] {
        let answer = ask(
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
        // the outcome is recorded a moment after the answer
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    bodies.len() == 4
        && bodies.iter().all(|body| *body == bodies[0])
        && fleet.service.execution_count("9.7 kN") == 1
}

async fn change(fleet: &Fleet, path: &str, key: &str, value: &str) -> bool {
    commit(fleet, path, key, value).await.is_ok() && {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let all = fleet
            .daemons
            .iter()
            .map(|daemon| read(daemon.addresses().peers, path, key));
        futures::future::join_all(all)
            .await
            .iter()
            .all(|read| read.as_deref() == Some(value))
    }
}

async fn commit(
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

async fn read(address: SocketAddr, path: &str, key: &str) -> Option<String> {
    let mut client = OperatorClient::connect(format!("http://{address}"))
        .await
        .ok()?;
    let token = TOKEN.to_owned();
    let tree = client.read(ReadRequest { token }).await.ok()?.into_inner();
    let node = tree.nodes.into_iter().find(|node| node.path == path)?;
    node.values.get(key).cloned()
}

async fn drained(http: &Http, fleet: &Fleet) -> bool {
    if !change(fleet, "endpoint/sala-a/5", "drain", "true").await {
        return false;
    }
    let before = fleet.engines[4].counts().attempts;
    let asked = (0..12).map(|n| streamed(http, fleet.callers(n % 3), 5));
    let whole = futures::future::join_all(asked).await;
    let after = fleet.engines[4].counts().attempts;
    whole.iter().all(|fine| *fine)
        && before == after
        && change(fleet, "endpoint/sala-a/5", "drain", "false").await
}

async fn killed(http: &Http, fleet: &mut Fleet) -> bool {
    let addresses: Vec<SocketAddr> = (0..3).map(|n| fleet.callers(n)).collect();
    let http = http.clone();
    let streams = tokio::spawn(async move {
        let all = (0..12).map(|n| streamed(&http, addresses[n % 3], 600));
        futures::future::join_all(all).await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(fleet.engines.remove(3));
    streams
        .await
        .is_ok_and(|whole| whole.iter().all(|fine| *fine))
}

async fn stopped(http: &Http, fleet: &mut Fleet) -> bool {
    let address = fleet.callers(2);
    let http = http.clone();
    let streams = tokio::spawn(async move {
        let all = (0..8).map(|_| streamed(&http, address, 600));
        futures::future::join_all(all).await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.daemons[2].stop();
    let cut = fleet.daemons[2].ended().await;
    cut == 0
        && streams
            .await
            .is_ok_and(|whole| whole.iter().all(|fine| *fine))
}
