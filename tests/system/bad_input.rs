//! Bad input from callers: every case has a specific error response, and no endpoint executes the request.

use std::time::Duration;

use protocol::order::Role;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fleet::{Caller, FIELD_KEY, Fleet, completion_body, engine_setup, parse_stream};

struct BadInput {
    description: &'static str,
    path: &'static str,
    header: (&'static str, &'static str),
    body: String,
    status: u16,
    code: &'static str,
}

fn bad_input(description: &'static str, body: &str, status: u16, code: &'static str) -> BadInput {
    BadInput {
        description,
        path: "/v1/completions",
        header: ("x-nothing", ""),
        body: body.to_owned(),
        status,
        code,
    }
}

fn bad_inputs() -> Vec<BadInput> {
    let fine = r#"{"model":"proctor","prompt":"p","max_tokens":3}"#;
    vec![
        bad_input("broken JSON", "{\"model\":", 400, "bad_body"),
        bad_input("no JSON", "hello", 400, "bad_body"),
        bad_input("empty body", "", 400, "bad_body"),
        bad_input("no model", r#"{"prompt":"p"}"#, 400, "bad_body"),
        bad_input("no prompt", r#"{"model":"proctor"}"#, 400, "bad_body"),
        bad_input("wrong type", r#"{"model":7,"prompt":"p"}"#, 400, "bad_body"),
        bad_input(
            "no tokens",
            r#"{"model":"proctor","prompt":"p","max_tokens":0}"#,
            400,
            "bad_body",
        ),
        bad_input(
            "unknown model",
            r#"{"model":"other","prompt":"p"}"#,
            404,
            "unknown_model",
        ),
        bad_input("too large", &"x".repeat(9 << 20), 413, "too_large"),
        BadInput {
            path: "/v1/chat/completions",
            ..bad_input(
                "no messages",
                r#"{"model":"proctor","messages":[]}"#,
                400,
                "bad_body",
            )
        },
        BadInput {
            header: ("x-wrenramp-deadline-ms", "soon"),
            ..bad_input("bad deadline", fine, 400, "bad_header")
        },
        BadInput {
            header: ("x-wrenramp-priority", "-1"),
            ..bad_input("bad priority", fine, 400, "bad_header")
        },
        BadInput {
            header: ("x-wrenramp-deadline-ms", "0"),
            ..bad_input("no time", fine, 429, "late")
        },
        BadInput {
            path: "/services/nowhere/x",
            ..bad_input("unknown service", fine, 404, "unknown_service")
        },
        BadInput {
            path: "/services/soil/x",
            ..bad_input("engines are no plain service", fine, 404, "unknown_service")
        },
        BadInput {
            path: "/v1/nothing",
            ..bad_input("unknown path", fine, 404, "no_such_route")
        },
        BadInput {
            path: "/services/readings/x",
            header: ("idempotency-key", ""),
            ..bad_input("empty key", fine, 400, "bad_header")
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_input_is_refused_and_not_executed() {
    let fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 1).await;
    let address = fleet.daemons[0].caller_address;
    let bearer = format!("Bearer {FIELD_KEY}");
    for bad_input in bad_inputs() {
        // a new connection each, as refusing a body may close it
        let caller = Caller::new();
        let headers = [("authorization", bearer.as_str()), bad_input.header];
        let response = caller
            .request(address, bad_input.path, &headers, &bad_input.body)
            .await;
        let Some(response) = response else {
            // the daemon may close the connection before the whole oversized body is sent
            assert_eq!(bad_input.status, 413, "{}", bad_input.description);
            continue;
        };
        let parsed: serde_json::Value =
            serde_json::from_str(&response.body).expect("a JSON error body");
        assert_eq!(
            response.status.as_u16(),
            bad_input.status,
            "{}: {response:?}",
            bad_input.description
        );
        assert_eq!(
            parsed["error"]["type"], bad_input.code,
            "{}",
            bad_input.description
        );
        assert_eq!(
            response.run_header(),
            Some("not-run"),
            "{}",
            bad_input.description
        );
        assert_eq!(
            parsed["error"]["run"], "not-run",
            "{}",
            bad_input.description
        );
    }
    assert_eq!(fleet.engines[0].counts().attempts, 0);
    assert_eq!(fleet.service.total_executions(), 0);
    let response = Caller::new().complete(address, "still here", 4, true).await;
    assert!(parse_stream(&response.expect("a response").body).1);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_bytes_close_only_their_own_connection() {
    let fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 1).await;
    let address = fleet.daemons[0].caller_address;
    let long_header = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 << 10));
    let cases: [&[u8]; 4] = [
        b"\xff\xfe\x00garbage\r\n\r\n",
        b"POST /v1/completions HTTP/9\r\n\r\n",
        long_header.as_bytes(),
        b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nZZ\r\n",
    ];
    for case in cases {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        // the daemon may close the connection before everything is sent
        let _ = stream.write_all(case).await;
        let _ = stream.shutdown().await;
        let mut response = Vec::new();
        let _ =
            tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut response)).await;
        assert!(!response.starts_with(b"HTTP/1.1 200"));
    }
    let response = Caller::new().complete(address, "still here", 4, true).await;
    assert!(parse_stream(&response.expect("a response").body).1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_half_closed_connection_gets_the_complete_response() {
    let fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 1).await;
    let body = completion_body("half closed", 40, true);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {FIELD_KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    for after_ms in [0, 5, 40] {
        let connecting = TcpStream::connect(fleet.daemons[0].caller_address);
        let mut stream = connecting.await.expect("connected");
        let request = format!("{head}{body}");
        stream.write_all(request.as_bytes()).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
        stream.shutdown().await.expect("half-closed");
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.expect("read");
        let response = String::from_utf8_lossy(&response);
        assert!(parse_stream(&response).1, "after {after_ms} ms: {response}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_arrives_with_the_end_of_its_connection_gets_the_complete_response() {
    let fleet = Fleet::start(vec![engine_setup(Role::Mixed, false)], 1).await;
    let daemon = &fleet.daemons[0];
    let headers = format!("HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {FIELD_KEY}\r\n");
    let list = format!("GET /v1/models {headers}\r\n");
    let body = completion_body("half closed", 40, true);
    let length = body.len();
    let completion =
        format!("POST /v1/completions {headers}content-length: {length}\r\n\r\n{body}");
    for (request, end) in [(completion, "data: [DONE]"), (list.clone(), "}]}")] {
        let connecting = TcpStream::connect(daemon.caller_address);
        let mut stream = connecting.await.expect("connected");
        // once it has answered a request the daemon waits for the next one
        stream.write_all(list.as_bytes()).await.expect("sent");
        read_until(&mut stream, "}]}").await;
        daemon.signal("STOP");
        stream.write_all(request.as_bytes()).await.expect("sent");
        stream.shutdown().await.expect("half-closed");
        daemon.signal("CONT");
        read_until(&mut stream, end).await;
    }
}

/// Reads from a connection until the response contains `end`.
async fn read_until(stream: &mut TcpStream, end: &str) {
    let mut response = Vec::new();
    while !String::from_utf8_lossy(&response).contains(end) {
        let read = stream.read_buf(&mut response).await.expect("read");
        let response = String::from_utf8_lossy(&response);
        assert!(read > 0, "ended without {end}: {response:?}");
    }
}
