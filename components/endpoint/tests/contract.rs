//! What the daemon relies on in engines and plain services. Every adapter and its endpoint must pass these tests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use endpoint::{
    Failure,
    engine::{EngineClient, Frame, Generate, Order},
    service::ServiceClient,
};
use hyper::{HeaderMap, Method};
use protocol::order::{Role, Wanted};
use standin::{
    batch::Speed,
    engine::{Engine as Standin, Fault, Setup, expected_text},
    service,
};

const TIMEOUT: Duration = Duration::from_secs(5);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start(fences: bool) -> Standin {
    let setup = Setup {
        speed: Speed::quick(),
        fences,
        holds: Wanted::default(),
    };
    Standin::start(any_port(), setup).await.expect("engine")
}

fn request(attempt: u64, tokens: u64) -> Generate {
    Generate {
        attempt,
        prompt: "question".to_owned(),
        max_tokens: tokens,
        ..Generate::default()
    }
}

async fn frames(engine: &Standin, generate: &Generate) -> Result<Vec<Frame>, Failure> {
    let mut stream = EngineClient::default()
        .generate(engine.address(), generate)
        .await?;
    let mut frames = Vec::new();
    while let Some(frame) = stream.next().await? {
        frames.push(frame);
    }
    Ok(frames)
}

#[tokio::test]
async fn an_answer_carries_its_attempt_and_offsets_and_ends_once() {
    let engine = start(false).await;
    let frames = frames(&engine, &request(7, 5)).await.expect("complete");
    let text: String = frames.iter().map(|frame| frame.text.as_str()).collect();
    assert_eq!(text, expected_text("question", 0, 5));
    let offsets: Vec<u64> = frames.iter().map(|frame| frame.offset).collect();
    assert_eq!(offsets, [0, 1, 2, 3, 4]);
    assert!(frames.iter().all(|frame| frame.attempt == 7));
    assert!(frames[4].done.is_some() && frames[3].done.is_none());
}

#[tokio::test]
async fn a_resumed_answer_continues_at_its_offset() {
    let engine = start(false).await;
    let resumed = Generate {
        resume_from: 3,
        ..request(8, 5)
    };
    let frames = frames(&engine, &resumed).await.expect("complete");
    let text: String = frames.iter().map(|frame| frame.text.as_str()).collect();
    assert_eq!(text, expected_text("question", 3, 5));
}

#[tokio::test]
async fn each_failure_says_correctly_whether_the_attempt_may_have_executed() {
    let cases = [
        (Fault::Refuse, Some(Failure::Refused(503))),
        (Fault::ResetAt(2), Some(Failure::Lost)),
        (Fault::MalformedFrames, Some(Failure::Lost)),
        // a stream that is closed cleanly too early is no error here; the code that assembles the answer detects it
        (Fault::CloseAt(2), None),
    ];
    for (fault, expected_failure) in cases {
        let engine = start(false).await;
        engine.set_fault(fault);
        let failure = frames(&engine, &request(9, 5)).await.err();
        assert_eq!(failure, expected_failure, "{fault:?}");
    }
    let engine = start(false).await;
    let address = engine.address();
    drop(engine);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let failure = EngineClient::default()
        .generate(address, &request(1, 1))
        .await
        .err();
    assert_eq!(failure, Some(Failure::NotSent));
}

#[tokio::test]
async fn only_a_fencing_engine_refuses_an_old_order_number() {
    for (fences, expected_answer) in [(true, Err(Failure::Refused(409))), (false, Ok(()))] {
        let engine = start(fences).await;
        let adapter = EngineClient::default();
        let order = |number, role| Order {
            number,
            wanted: Wanted {
                role,
                ..Wanted::default()
            },
        };
        let (new, old) = (order(2, Role::Decode), order(1, Role::Prefill));
        let answer = adapter.order(engine.address(), &new, TIMEOUT).await;
        assert_eq!(answer, Ok(()));
        let answer = adapter.order(engine.address(), &old, TIMEOUT).await;
        assert_eq!(answer, expected_answer);
        let report = adapter
            .report(engine.address(), TIMEOUT)
            .await
            .expect("report");
        let role = if fences { Role::Decode } else { Role::Prefill };
        assert_eq!((report.holds.role, report.number), (role, 2));
    }
}

#[tokio::test]
async fn a_repeated_order_is_applied_once() {
    let engine = start(false).await;
    let order = Order {
        number: 1,
        wanted: Wanted {
            role: Role::Decode,
            ..Wanted::default()
        },
    };
    for _ in 0..2 {
        let adapter = EngineClient::default();
        assert_eq!(
            adapter.order(engine.address(), &order, TIMEOUT).await,
            Ok(())
        );
    }
    assert_eq!(engine.counts().changes, 1);
}

#[tokio::test]
async fn a_cancelled_answer_stops() {
    let engine = start(false).await;
    let adapter = EngineClient::default();
    let mut stream = adapter
        .generate(engine.address(), &request(3, 100_000))
        .await
        .expect("started");
    assert!(stream.next().await.expect("a frame").is_some());
    adapter
        .cancel(engine.address(), 3, TIMEOUT)
        .await
        .expect("cancelled");
    while let Ok(Some(frame)) = stream.next().await {
        assert!(frame.done.is_none());
    }
    assert_eq!(engine.counts().cancelled, 1);
}

#[tokio::test]
async fn a_plain_service_failure_says_whether_it_may_have_executed() {
    let cases = [
        (service::Fault::None, None, 1),
        (service::Fault::ResetBefore, Some(Failure::Lost), 0),
        (service::Fault::ResetAfter, Some(Failure::Lost), 1),
    ];
    for (fault, expected_failure, runs) in cases {
        let standin = service::Service::start(any_port()).await.expect("service");
        standin.set_fault(fault);
        let body = Bytes::from_static(b"reading");
        let answer = ServiceClient::default()
            .send(
                standin.address(),
                &Method::PUT,
                "/x?y=1",
                &HeaderMap::new(),
                body,
            )
            .await;
        assert_eq!(answer.err(), expected_failure, "{fault:?}");
        assert_eq!(standin.runs("reading"), runs, "{fault:?}");
    }
}
