//! Bad input of callers: one row a case, each with its clear, truthful answer.

use std::time::Duration;

use protocol::order::Role;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fleet::{Caller, Fleet, KEY, completion, setup, streamed};

struct Row {
    what: &'static str,
    path: &'static str,
    header: (&'static str, &'static str),
    body: String,
    status: u16,
    code: &'static str,
}

fn row(what: &'static str, body: &str, status: u16, code: &'static str) -> Row {
    Row {
        what,
        path: "/v1/completions",
        header: ("x-nothing", ""),
        body: body.to_owned(),
        status,
        code,
    }
}

fn rows() -> Vec<Row> {
    let fine = r#"{"model":"proctor","prompt":"p","max_tokens":3}"#;
    vec![
        row("broken JSON", "{\"model\":", 400, "bad_body"),
        row("no JSON", "hello", 400, "bad_body"),
        row("empty body", "", 400, "bad_body"),
        row("no model", r#"{"prompt":"p"}"#, 400, "bad_body"),
        row("no prompt", r#"{"model":"proctor"}"#, 400, "bad_body"),
        row("wrong type", r#"{"model":7,"prompt":"p"}"#, 400, "bad_body"),
        row(
            "no tokens",
            r#"{"model":"proctor","prompt":"p","max_tokens":0}"#,
            400,
            "bad_body",
        ),
        row(
            "unknown model",
            r#"{"model":"other","prompt":"p"}"#,
            404,
            "unknown_model",
        ),
        row("too large", &"x".repeat(9 << 20), 413, "too_large"),
        Row {
            path: "/v1/chat/completions",
            ..row(
                "no messages",
                r#"{"model":"proctor","messages":[]}"#,
                400,
                "bad_body",
            )
        },
        Row {
            header: ("x-wrenramp-deadline-ms", "soon"),
            ..row("bad deadline", fine, 400, "bad_header")
        },
        Row {
            header: ("x-wrenramp-priority", "-1"),
            ..row("bad priority", fine, 400, "bad_header")
        },
        Row {
            header: ("x-wrenramp-deadline-ms", "0"),
            ..row("no time", fine, 429, "late")
        },
        Row {
            path: "/services/nowhere/x",
            ..row("unknown service", fine, 404, "unknown_service")
        },
        Row {
            path: "/services/soil/x",
            ..row("engines are no plain service", fine, 404, "unknown_service")
        },
        Row {
            path: "/v1/nothing",
            ..row("unknown path", fine, 404, "no_such_route")
        },
        Row {
            path: "/services/readings/x",
            header: ("idempotency-key", ""),
            ..row("empty key", fine, 400, "bad_header")
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_input_gets_its_answer_and_runs_nowhere() {
    let fleet = Fleet::start(vec![setup(Role::Mixed, false)], 1).await;
    let address = fleet.daemons[0].callers;
    let bearer = format!("Bearer {KEY}");
    for row in rows() {
        // a connection of its own, since a refused body may end it
        let caller = Caller::new();
        let headers = [("authorization", bearer.as_str()), row.header];
        let answer = caller.ask(address, row.path, &headers, &row.body).await;
        let Some(answer) = answer else {
            // the daemon may close before a body that is too large has left
            assert_eq!(row.status, 413, "{}", row.what);
            continue;
        };
        let told: serde_json::Value = serde_json::from_str(&answer.body).expect("a typed body");
        assert_eq!(
            answer.status.as_u16(),
            row.status,
            "{}: {answer:?}",
            row.what
        );
        assert_eq!(told["error"]["type"], row.code, "{}", row.what);
        assert_eq!(answer.run(), Some("not-run"), "{}", row.what);
        assert_eq!(told["error"]["run"], "not-run", "{}", row.what);
    }
    assert_eq!(fleet.engines[0].counts().attempts, 0);
    assert_eq!(fleet.service.total_runs(), 0);
    let answer = Caller::new().complete(address, "still here", 4, true).await;
    assert!(streamed(&answer.expect("an answer").body).1);
}

#[tokio::test(flavor = "multi_thread")]
async fn raw_garbage_ends_its_own_connection_only() {
    let fleet = Fleet::start(vec![setup(Role::Mixed, false)], 1).await;
    let address = fleet.daemons[0].callers;
    let long_header = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 << 10));
    let cases: [&[u8]; 4] = [
        b"\xff\xfe\x00garbage\r\n\r\n",
        b"POST /v1/completions HTTP/9\r\n\r\n",
        long_header.as_bytes(),
        b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nZZ\r\n",
    ];
    for case in cases {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        // the daemon may close before all of it has left
        let _ = stream.write_all(case).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
        assert!(!answer.starts_with(b"HTTP/1.1 200"));
    }
    let answer = Caller::new().complete(address, "still here", 4, true).await;
    assert!(streamed(&answer.expect("an answer").body).1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_half_closes_gets_its_whole_answer() {
    let fleet = Fleet::start(vec![setup(Role::Mixed, false)], 1).await;
    let body = completion("half closed", 40, true);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    for after_ms in [0, 5, 40] {
        let opening = TcpStream::connect(fleet.daemons[0].callers);
        let mut stream = opening.await.expect("connected");
        let request = format!("{head}{body}");
        stream.write_all(request.as_bytes()).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        stream.shutdown().await.expect("half-closed");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.expect("read");
        let answer = String::from_utf8_lossy(&answer);
        assert!(streamed(&answer).1, "after {after_ms} ms: {answer}");
    }
}
