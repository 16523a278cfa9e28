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
    endpoint::{Listening, Refusal, Target, short_id},
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

/// What other paths of this process say about the one to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Paths {
    /// They work.
    Work,
    /// They are lost too.
    Lost,
    /// There are none, or they disagree.
    Unclear,
}

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

/// Returns why an endpoint has just refused a connection of this process. It has crashed if a peer confirms it and none
/// reaches the endpoint. Without any reply that counts, it has if the paths of this process work otherwise.
pub async fn explain_refusal(gateway: &Gateway, target: &Arc<Target>, request: &str) -> Refusal {
    let replies = ask_peers(gateway, target).await;
    let refusal = match () {
        () if replies.contains(&Reply::Accepts) => Refusal::PathLost,
        () if replies.contains(&Reply::Refuses) => Refusal::Crashed,
        () => match compare_paths(gateway, target).await {
            Paths::Work => Refusal::Crashed,
            Paths::Lost => Refusal::PathLost,
            Paths::Unclear => Refusal::Unclear,
        },
    };
    let contents = target.with(|state| state.requests.fingerprints(Instant::now()));
    log::info!(
        request, endpoint = &*target.id.0, crashed = refusal == Refusal::Crashed, refusal:%, replies:?,
        contents = join(&contents);
        "an endpoint refuses connections; peers were asked whether they reach it"
    );
    refusal
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
        Listening::Refuses => match compare_paths(gateway, target).await {
            Paths::Work => Reply::Refuses,
            Paths::Lost | Paths::Unclear => Reply::Unknown,
        },
        Listening::Unknown => Reply::Unknown,
    }
}

/// Compares the path to an endpoint that refuses connections with other paths of this process: those to the other endpoints of
/// its service, without endpoints that have crashed, as these say nothing about paths. Endpoints of other services in the same
/// data centre are compared if none is left; if most others refuse connections too, they show whether paths are lost.
async fn compare_paths(gateway: &Gateway, target: &Arc<Target>) -> Paths {
    clock::sleep(SETTLE_TIME).await;
    let fleet = gateway.registry.fleet(&target.service());
    let is_other = |other: &&Arc<Target>| !Arc::ptr_eq(other, target);
    let others: Vec<Arc<Target>> = fleet.subset().iter().filter(is_other).cloned().collect();
    let compared = without_crashed(gateway, &others);
    if !compared.is_empty() && do_paths_work(&compared).await {
        return Paths::Work;
    }
    let neighbours = without_crashed(gateway, &neighbours(gateway, target));
    let work = do_paths_work(&neighbours).await;
    match () {
        // nothing speaks against the path to the only endpoint
        () if neighbours.is_empty() && others.is_empty() => Paths::Work,
        () if neighbours.is_empty() => Paths::Unclear,
        () if work && compared.is_empty() => Paths::Work,
        () if work => Paths::Unclear,
        () => Paths::Lost,
    }
}

/// Whether at most half of the paths to endpoints are lost, and a connection to one can be opened now.
async fn do_paths_work(targets: &[Arc<Target>]) -> bool {
    let reachable = targets.iter().filter(|other| !other.is_path_lost());
    let checked: Vec<&Arc<Target>> = reachable.take(MAX_COMPARED).collect();
    futures::future::join_all(checked.iter().map(|other| other.check_path())).await;
    let lost = targets.iter().filter(|other| other.is_path_lost()).count();
    let reaches_one = checked.iter().any(|other| !other.is_path_lost());
    reaches_one && lost * 2 <= targets.len()
}

fn without_crashed(gateway: &Gateway, targets: &[Arc<Target>]) -> Vec<Arc<Target>> {
    let has_crashed = |target: &&Arc<Target>| gateway.crashes.has_crashed(target.short_id);
    let others = targets.iter().filter(|target| !has_crashed(target));
    others.cloned().collect()
}

/// Returns the endpoints of other services in the data centre of an endpoint.
fn neighbours(gateway: &Gateway, target: &Target) -> Vec<Arc<Target>> {
    let data_centre = target.with(|state| Arc::clone(&state.profile.data_centre));
    let service = target.service();
    let is_neighbour =
        |other: &&Arc<Target>| other.with(|state| state.profile.data_centre == data_centre);
    let fleets = gateway.registry.fleets();
    let others = fleets.iter().filter(|(name, _)| *name != service);
    let others = others.flat_map(|(_, fleet)| fleet.subset());
    others.filter(is_neighbour).cloned().collect()
}
