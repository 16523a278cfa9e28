//! Questions between gateways whether an endpoint accepts connections.
//!
//! A refused connection may come from a network that fails for one gateway only. Before a gateway tells
//! the others that an endpoint has crashed, it asks some whether they reach it. See
//! `docs/DESIGN.md#requests-that-end-endpoints`.

use std::{net::IpAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use wire::ReachabilityQuery;

use super::envelope;
use crate::{
    endpoint::{Listening, Target, short_id},
    peer::Helper,
    process::Gateway,
    request::relay::{Body, full_body},
};

/// Header of a question: a [`ReachabilityQuery`] in base64.
static QUERY: HeaderName = HeaderName::from_static("reachability-query");
/// Header of the answer, see [`Testimony`].
static TESTIMONY: HeaderName = HeaderName::from_static("reachability");
/// Number of peers that are asked. Several, as some may have lost the same paths just now.
const MAX_WITNESSES: usize = 4;
/// Time within which a peer must answer: several round trips between data centres, and the time of a
/// connection that the peer opens itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of other endpoints that a gateway tries to reach to see whether its own paths work.
const MAX_COMPARED: usize = 2;

/// What a gateway knows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Testimony {
    /// It accepts connections.
    Accepts,
    /// It refuses connections, and other endpoints of its service do not.
    Refuses,
    /// Nothing that counts as evidence.
    Unknown,
}

impl Testimony {
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
        let value = headers.get(&TESTIMONY);
        let mut known = Self::ALL.into_iter();
        let found = known.find(|(_, header)| Some(header) == value);
        found.map_or(Self::Unknown, |(testimony, _)| testimony)
    }
}

/// Whether an endpoint that has just refused a connection of this process has crashed. That holds if a
/// peer confirms it and none reaches the endpoint. Without any peer that knows, it holds if this process
/// reaches another endpoint of the service.
pub async fn confirms_crash(gateway: &Gateway, target: &Arc<Target>) -> bool {
    let testimonies = ask_peers(gateway, target).await;
    let crashed = match () {
        () if testimonies.contains(&Testimony::Accepts) => false,
        () if testimonies.contains(&Testimony::Refuses) => true,
        () => reaches_others(gateway, target).await,
    };
    log::info!(
        endpoint = &*target.id.0, crashed, testimonies:?;
        "an endpoint refuses connections; peers were asked whether they reach it"
    );
    crashed
}

async fn ask_peers(gateway: &Gateway, target: &Arc<Target>) -> Vec<Testimony> {
    let service = short_id(&target.service());
    let own = &gateway.settings.gateway;
    let mut witnesses = gateway.peers.helpers(service, &own.data_centre);
    // those that reach the most endpoints first, in an order of chance
    witnesses.sort_by_cached_key(|witness| (witness.unreachable, rand::random::<u32>()));
    witnesses.truncate(MAX_WITNESSES);
    let answers = witnesses.iter().map(|witness| {
        let answer = clock::timeout(ANSWER_TIMEOUT, ask(gateway, witness, target));
        async { answer.await.ok().flatten().unwrap_or(Testimony::Unknown) }
    });
    let mut answers: FuturesUnordered<_> = answers.collect();
    let mut testimonies = Vec::new();
    while let Some(testimony) = answers.next().await {
        testimonies.push(testimony);
        if testimony == Testimony::Accepts {
            break;
        }
    }
    testimonies
}

async fn ask(gateway: &Gateway, witness: &Helper, target: &Target) -> Option<Testimony> {
    let connections = &gateway.forwarding;
    let mut connection = connections
        .connect(witness.address, crate::request::MAX_IDLE_RETRYABLE)
        .await
        .ok()?;
    let query = ReachabilityQuery {
        sender: gateway.incarnation,
        endpoint: target.short_id,
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    envelope::insert_message(request.headers_mut(), &QUERY, &query);
    let response = connection.sender().send_request(request).await.ok()?;
    let testimony = Testimony::from_headers(response.headers());
    connections.put_back(witness.address, connection);
    Some(testimony)
}

/// Takes a question out of the headers of a request; `None` if it has none.
pub fn take_query(headers: &mut HeaderMap) -> Option<ReachabilityQuery> {
    envelope::take_message(headers, &QUERY)
}

/// Answers the question of a peer at `from`.
pub async fn answer(gateway: &Gateway, from: IpAddr, query: ReachabilityQuery) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    let target = gateway.registry.find(query.endpoint);
    let testimony = match target {
        _ if !gateway.peers.has_incarnation(from, query.sender) => {
            *response.status_mut() = StatusCode::FORBIDDEN;
            Testimony::Unknown
        }
        Some(target) => testify(gateway, &target).await,
        None => Testimony::Unknown,
    };
    let headers = response.headers_mut();
    headers.insert(TESTIMONY.clone(), testimony.to_header());
    response
}

async fn testify(gateway: &Gateway, target: &Arc<Target>) -> Testimony {
    match target.check_listening().await {
        Listening::Accepts => Testimony::Accepts,
        Listening::Refuses if reaches_others(gateway, target).await => Testimony::Refuses,
        Listening::Refuses | Listening::Unknown => Testimony::Unknown,
    }
}

/// Whether the paths of this process to the rest of a service work: at most half of them are lost, and a
/// connection to another endpoint can be opened now. If the service has no other endpoint, nothing
/// speaks against them.
async fn reaches_others(gateway: &Gateway, target: &Arc<Target>) -> bool {
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
