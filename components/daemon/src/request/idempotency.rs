//! Requests that must not be retried and carry an idempotency key: a claim is written to the table
//! before they are dispatched.
//!
//! See `docs/DESIGN.md#requests-that-may-not-be-repeated`.

use std::{fmt::Write as _, sync::Arc};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};
use protocol::claim::{self, Decision, Recorded, Row, Stage, WriteOutcome};
use telemetry::timeline::Kind;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

use super::{
    Body, full_body,
    plain::{Call, EndpointResponse},
    refusal::{Reason, Refusal},
};
use crate::process::claims::{self, ClaimGuard};

/// Largest body that is recorded with a claim. Of a larger answer only the fact that the request
/// was executed is recorded.
const MAX_RECORDED_BODY_BYTES: usize = 8 << 10;
/// Response header that marks a recorded answer.
const REPLAYED_HEADER: &str = "x-wrenramp-replayed";

/// Serves a request with an idempotency key. It runs to completion even if the caller disconnects,
/// so that the outcome is recorded.
pub async fn serve(call: Call, key: &str) -> Result<Response<Body>, Refusal> {
    let row_key = row_key(&call, key);
    let digest = request_digest(&call);
    let process = Arc::clone(&call.context.process);
    let found = process
        .claims
        .look_up(&process, &row_key)
        .await
        .map_err(|_| Reason::KeyUnread)?;
    match claims::decide(&process, &found, digest) {
        Decision::Claim => {}
        Decision::Replay(recorded) => return Ok(replay(recorded.as_ref())),
        Decision::InProgress => return Err(Reason::InProgress.into()),
        Decision::Unknown => return Err(Reason::OutcomeUnknown.into()),
        Decision::Mismatch => return Err(Reason::KeyReused.into()),
    }
    let row = Row {
        digest,
        claimant: process.incarnation,
        token: rand::random(),
        at_ms: telemetry::logs::wall_ms(),
        stage: Stage::Claimed,
    };
    let task = tokio::spawn(claim_and_send(call, row_key, row, found.version));
    task.await
        .unwrap_or_else(|_| Err(Reason::AnswerLost.into()))
}

async fn claim_and_send(
    call: Call,
    key: String,
    row: Row,
    expected_version: u64,
) -> Result<Response<Body>, Refusal> {
    let process = Arc::clone(&call.context.process);
    let (write, version) = process
        .claims
        .write(key.clone(), row.clone(), expected_version)
        .await;
    let written_version = (write == WriteOutcome::Written).then_some(version);
    match write {
        WriteOutcome::Taken => return Err(Reason::InProgress.into()),
        // another request may have claimed this key by now
        WriteOutcome::Refused => return Err(Reason::KeyUnread.into()),
        WriteOutcome::Unclear => {
            // the request is not dispatched, and its claim is marked as not run once the table is
            // available; until then it is unknown whether another claim of this key came first
            ClaimGuard::new(Arc::clone(&process), key, row, None).not_executed();
            return Err(Reason::KeyUnread.into());
        }
        WriteOutcome::Written => {}
    }
    let claim = ClaimGuard::new(Arc::clone(&process), key, row, written_version);
    // always passes here; kept so that each dispatch depends on the rule that the `spec` crate checks
    if !claim::may_dispatch(write) {
        claim.not_executed();
        return Err(Reason::KeyUnread.into());
    }
    call.context.record(Kind::Claimed, "written");
    match call.send().await {
        Ok(answer) => record_and_respond(&call, claim, answer).await,
        Err(refusal) => {
            match refusal.reason.execution() {
                super::refusal::Execution::NotRun => claim.not_executed(),
                super::refusal::Execution::Unknown => drop(claim),
            }
            Err(refusal)
        }
    }
}

/// Reads the whole answer, records it with the claim and returns it to the caller.
async fn record_and_respond(
    call: &Call,
    claim: ClaimGuard,
    answer: EndpointResponse,
) -> Result<Response<Body>, Refusal> {
    let EndpointResponse { response, guard } = answer;
    let (head, incoming) = response.into_parts();
    let collected = tokio::time::timeout_at(call.caller.deadline.into(), incoming.collect()).await;
    drop(guard);
    // without a complete answer the outcome of the claim is unknown; dropping the claim records
    // that
    let Ok(Ok(collected)) = collected else {
        return Err(Reason::AnswerLost.into());
    };
    let bytes = collected.to_bytes();
    claim.executed(recorded_response(head.status, &head.headers, &bytes));
    call.record_answered("answered");
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = head.status;
    *response.headers_mut() = endpoint::service::forwarded_headers(&head.headers);
    Ok(response)
}

fn recorded_response(
    status: StatusCode,
    headers: &hyper::HeaderMap,
    bytes: &Bytes,
) -> Option<Recorded> {
    if bytes.len() > MAX_RECORDED_BODY_BYTES {
        return None;
    }
    let content_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let mut body_hex = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // writing to a `String` can't fail
        let _ = write!(body_hex, "{byte:02x}");
    }
    Some(Recorded {
        status: status.as_u16(),
        content_type: content_type.to_owned(),
        body_hex,
    })
}

/// Builds the response from a recorded answer. If the answer was too large to record, a header
/// tells the caller that the request was executed.
fn replay(recorded: Option<&Recorded>) -> Response<Body> {
    let bytes: Vec<u8> = recorded
        .map(|recorded| decode_hex(&recorded.body_hex))
        .unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    let replay_value = match recorded {
        Some(recorded) => {
            *response.status_mut() =
                StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
            if let Ok(content_type) = HeaderValue::from_str(&recorded.content_type)
                && !content_type.is_empty()
            {
                response
                    .headers_mut()
                    .insert(header::CONTENT_TYPE, content_type);
            }
            "whole"
        }
        None => "answer-not-kept",
    };
    let replay_value = HeaderValue::from_static(replay_value);
    response.headers_mut().insert(REPLAYED_HEADER, replay_value);
    response
}

fn decode_hex(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2)
        .filter_map(|at| u8::from_str_radix(hex.get(2 * at..2 * at + 2)?, 16).ok())
        .collect()
}

fn row_key(call: &Call, key: &str) -> String {
    let group = xxh3_64(call.caller.group.1.as_bytes());
    let digest = xxh3_128(key.as_bytes());
    format!(
        "{}{}/{group:016x}/{digest:032x}",
        claims::PREFIX,
        call.service
    )
}

fn request_digest(call: &Call) -> u64 {
    let mut bytes = format!("{} {}\n", call.method, call.path).into_bytes();
    bytes.extend_from_slice(&call.body);
    xxh3_64(&bytes)
}
