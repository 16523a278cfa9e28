//! Indirect probes: a gateway asks peers whether an endpoint accepts their connections.
//!
//! A refused connection may come from a network that fails for one gateway only, so it shows a crash of
//! the endpoint only if peers confirm it. See `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{net::IpAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use clock::Instant;
use futures::{StreamExt, stream::FuturesUnordered};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use wire::ProbeRequest;

use super::envelope;
use crate::{
    endpoint::{Listening, Target, short_id},
    peer::Candidate,
    process::{Gateway, join},
    request::{
        MAX_IDLE_RETRYABLE,
        relay::{Body, full_body},
    },
};

/// Header of a request for a probe: a [`ProbeRequest`] in base64.
static REQUEST: HeaderName = HeaderName::from_static("probe-request");
/// Header of the response, see [`Reply`].
static REPLY: HeaderName = HeaderName::from_static("probe-reply");
/// Number of peers that are asked. Several, as some may have lost the same paths just now.
const MAX_PEERS: usize = 4;
/// Delay before a gateway checks its own paths after an endpoint refused a connection: a network may fail for
/// one endpoint a little before it does for the others.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Time within which a peer must reply: several round trips between data centres, the time of the
/// connections that the peer opens itself, and [`SETTLE_TIME`].
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of other endpoints that a gateway connects to in order to check its own paths.
const MAX_COMPARED: usize = 2;

/// What a peer's probe of an endpoint showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// The endpoint accepts connections.
    Accepts,
    /// The endpoint refuses connections, and the peer's paths to other endpoints work.
    Refuses,
    /// Nothing that counts as evidence.
    Unknown,
}

impl Reply {
    const ALL: [(Self, HeaderValue); 3] = [
        (Self::Accepts, HeaderValue::from_static("accepts")),
        (Self::Refuses, HeaderValue::from_static("refuses")),
        (Self::Unknown, HeaderValue::from_static("unknown")),
    ];

    fn to_header(self) -> HeaderValue {
        let [(_, accepts), (_, refuses), (_, unknown)] = Self::ALL;
        match self {
            Self::Accepts => accepts,
            Self::Refuses => refuses,
            Self::Unknown => unknown,
        }
    }

    fn from_headers(headers: &HeaderMap) -> Self {
        let value = headers.get(&REPLY);
        let mut known = Self::ALL.into_iter();
        let found = known.find(|(_, header)| Some(header) == value);
        found.map_or(Self::Unknown, |(reply, _)| reply)
    }
}

/// Whether an endpoint that has just refused a connection of this process has crashed. That holds if a
/// peer confirms it and none reaches the endpoint. Without any reply that counts, it holds if the paths of
/// this process to the rest of the service work.
pub async fn confirms_crash(gateway: &Gateway, target: &Arc<Target>, request: &str) -> bool {
    let replies = ask_peers(gateway, target).await;
    let crashed = match () {
        () if replies.contains(&Reply::Accepts) => false,
        () if replies.contains(&Reply::Refuses) => true,
        () => has_working_paths(gateway, target).await,
    };
    let contents = target.with(|state| state.requests.fingerprints(Instant::now()));
    log::info!(
        request, endpoint = &*target.id.0, crashed, replies:?, contents = join(&contents);
        "an endpoint refuses connections; peers were asked whether they reach it"
    );
    crashed
}

/// Asks several peers at once. Stops at the first one that reaches the endpoint.
async fn ask_peers(gateway: &Gateway, target: &Arc<Target>) -> Vec<Reply> {
    let own = &gateway.settings.gateway;
    let service = short_id(&target.service());
    let mut peers = gateway.peers.candidates(service, &own.data_centre);
    // those that reach the most endpoints first, in a random order
    peers.sort_by_cached_key(|peer| (peer.unreachable, rand::random::<u32>()));
    peers.truncate(MAX_PEERS);
    let asked = peers.iter().map(|peer| async {
        let reply = clock::timeout(REPLY_TIMEOUT, ask(gateway, peer, target)).await;
        reply.ok().flatten().unwrap_or(Reply::Unknown)
    });
    let mut asked: FuturesUnordered<_> = asked.collect();
    let mut replies = Vec::new();
    while let Some(reply) = asked.next().await {
        replies.push(reply);
        if reply == Reply::Accepts {
            break;
        }
    }
    replies
}

async fn ask(gateway: &Gateway, peer: &Candidate, target: &Target) -> Option<Reply> {
    let connections = &gateway.forwarding;
    let connecting = connections.connect(peer.address, MAX_IDLE_RETRYABLE);
    let mut connection = connecting.await.ok()?;
    let message = ProbeRequest {
        sender: gateway.incarnation,
        endpoint: target.short_id,
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    envelope::insert_message(request.headers_mut(), &REQUEST, &message);
    let response = connection
        .start_request()
        .send_request(request)
        .await
        .ok()?;
    let reply = Reply::from_headers(response.headers());
    connections.put_back(peer.address, connection);
    Some(reply)
}

/// Takes a request for a probe out of the headers of a request; `None` if it has none.
pub fn take_request(headers: &mut HeaderMap) -> Option<ProbeRequest> {
    envelope::take_message(headers, &REQUEST)
}

/// Probes an endpoint for a peer at `from`.
pub async fn respond(gateway: &Gateway, from: IpAddr, request: ProbeRequest) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    let target = gateway.registry.find(request.endpoint);
    let reply = match target {
        _ if !gateway.peers.has_incarnation(from, request.sender) => {
            *response.status_mut() = StatusCode::FORBIDDEN;
            Reply::Unknown
        }
        Some(target) => probe(gateway, &target).await,
        None => Reply::Unknown,
    };
    let headers = response.headers_mut();
    headers.insert(REPLY.clone(), reply.to_header());
    response
}

async fn probe(gateway: &Gateway, target: &Arc<Target>) -> Reply {
    match target.check_listening().await {
        Listening::Accepts => Reply::Accepts,
        Listening::Refuses if has_working_paths(gateway, target).await => Reply::Refuses,
        Listening::Refuses | Listening::Unknown => Reply::Unknown,
    }
}

/// Whether the paths of this process to the rest of a service work: at most half of them are lost, and a
/// connection to another endpoint can be opened now. If the service has no other endpoint, nothing
/// speaks against them.
async fn has_working_paths(gateway: &Gateway, target: &Arc<Target>) -> bool {
    clock::sleep(SETTLE_TIME).await;
    let fleet = gateway.registry.fleet(&target.service());
    let others: Vec<&Arc<Target>> = fleet
        .subset()
        .iter()
        .filter(|other| !Arc::ptr_eq(other, target))
        .collect();
    let compared: Vec<&Arc<Target>> = others
        .iter()
        .filter(|other| !other.is_path_lost())
        .take(MAX_COMPARED)
        .copied()
        .collect();
    futures::future::join_all(compared.iter().map(|other| other.check_path())).await;
    let lost = others.iter().filter(|other| other.is_path_lost()).count();
    let reaches_one = compared.iter().any(|other| !other.is_path_lost());
    others.is_empty() || (reaches_one && lost * 2 <= others.len())
}
