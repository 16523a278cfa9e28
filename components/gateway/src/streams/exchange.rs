//! Datagrams with which gateways replicate and query the records of streams.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, OnceLock},
    time::Duration,
};

use clock::Instant;
use parking_lot::Mutex;
use prost::Message;
use tokio::{net::UdpSocket, sync::Notify};
use wire::{Digest, RecentBuilds, ServiceBuild, StreamExchange, StreamRecord};

use super::{
    Begun, Key, MAX_LIFETIME,
    question::{Answer, Subject},
    table::{Owner, Record},
};
use crate::{
    endpoint::Build,
    process::{Gateway, List, Reported, Rows},
};

/// Maximum number of items in a datagram, so that it usually fits into a packet.
const MAX_ITEMS: usize = 32;
/// Maximum number of items that wait to be sent. Records beyond them are sent later, questions are asked again.
const MAX_PENDING: usize = 8_192;
/// Maximum number of builds in a datagram. A gateway that knows more does not answer which ones have served.
const MAX_BUILDS: usize = 256;
/// How long items are collected before they are sent: far less than a caller takes to come back.
const BATCH_DELAY: Duration = Duration::from_millis(2);

/// A part of a datagram to a peer.
#[derive(Clone, Debug)]
pub enum Item {
    /// A stream that this process knows.
    Known(Record),
    /// What this process asks for.
    Ask(Subject),
    /// A stream that the peer asked for and this process does not know.
    Unknown(Key),
    /// The builds that have served lately, as far as this process knows.
    Builds,
}

/// Items that wait to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: Mutex<Vec<(SocketAddr, Item)>>,
    filled: Notify,
    /// Sends what must not wait.
    socket: OnceLock<Arc<UdpSocket>>,
}

impl Outbox {
    /// Sets the socket for items that must not wait.
    pub fn attach(&self, socket: &Arc<UdpSocket>) {
        self.socket.get_or_init(|| Arc::clone(socket));
    }

    /// Adds items for peers. Returns false if there is no room, and then adds none.
    pub fn push(&self, items: impl Iterator<Item = (SocketAddr, Item)>) -> bool {
        // the items may take locks themselves
        let items: Vec<(SocketAddr, Item)> = items.collect();
        let mut pending = self.pending.lock();
        if pending.len() >= MAX_PENDING {
            return false;
        }
        pending.extend(items);
        drop(pending);
        self.filled.notify_one();
        true
    }

    /// Waits for items and takes them, those of each peer together.
    async fn take(&self) -> Vec<(SocketAddr, Item)> {
        self.filled.notified().await;
        clock::sleep(BATCH_DELAY).await;
        let mut items = std::mem::take(&mut *self.pending.lock());
        items.sort_by_key(|(peer, _)| *peer);
        items
    }
}

/// Sends the queued items until the process ends.
pub async fn run(gateway: &Gateway, socket: &UdpSocket) {
    loop {
        let items = gateway.streams.outbox.take().await;
        for of_peer in items.chunk_by(|(first, _), (second, _)| first == second) {
            for items in of_peer.chunks(MAX_ITEMS) {
                let peer = items[0].0;
                let bytes = encode(gateway, items).encode_to_vec();
                if let Err(error) = socket.send_to(&bytes, peer).await {
                    log::debug!(peer:%, error:%; "failed to send a datagram about streams");
                }
            }
        }
    }
}

impl Gateway {
    /// Sends each item in a datagram of its own before this returns. Returns whether all could be sent.
    pub(super) fn send_at_once(&self, items: &[(SocketAddr, Item)]) -> bool {
        let Some(socket) = self.streams.outbox.socket.get() else {
            return false;
        };
        items.chunks(1).all(|item| {
            let bytes = encode(self, item).encode_to_vec();
            socket.try_send_to(&bytes, item[0].0).is_ok()
        })
    }
}

/// Encodes items as a digest without a number, which reports nothing else of its sender's state.
fn encode(gateway: &Gateway, items: &[(SocketAddr, Item)]) -> Digest {
    let now = Instant::now();
    let mut streams = StreamExchange::default();
    for (_, item) in items {
        match item {
            Item::Known(record) => streams.known.push(encode_record(record, now)),
            Item::Ask(Subject::Stream(key)) => streams.asked.push(key.0),
            Item::Ask(Subject::Builds) => streams.asks_builds = true,
            Item::Unknown(key) => streams.unknown.push(key.0),
            Item::Builds => streams.builds = Some(encode_builds(gateway)),
        }
    }
    Digest {
        incarnation: gateway.incarnation,
        address: gateway.settings.gateway.peers.to_string(),
        streams: Some(streams),
        ..Digest::default()
    }
}

fn encode_builds(gateway: &Gateway) -> RecentBuilds {
    // read before the builds, so that they hold all that this revision added
    let endpoints_changed = gateway.last_changes.revision(List::Endpoints);
    let builds = gateway.registry.builds().all();
    let known = gateway.registry.builds();
    let is_recorded = |(service, _): &(Arc<str>, Build)| !known.has_unrecorded(service);
    let is_complete = gateway.knows_earlier_builds() && builds.iter().all(is_recorded);
    if !is_complete || builds.len() > MAX_BUILDS {
        return RecentBuilds::default();
    }
    let builds = builds.into_iter().map(|(service, build)| ServiceBuild {
        used: known.is_used(&service, &build),
        service: service.to_string(),
        build: build.to_string(),
    });
    RecentBuilds {
        complete: true,
        builds: builds.collect(),
        endpoints_changed,
    }
}

/// Takes over which builds have served lately from a peer that knows all of them.
fn apply_builds(gateway: &Gateway, peer: SocketAddr, recent: &RecentBuilds) {
    let builds = recent.builds.iter().map(|reported| Reported {
        service: reported.service.clone(),
        build: Build(Arc::from(reported.build.as_str())),
        is_used: reported.used,
    });
    let builds: Vec<Reported> = builds.collect();
    if recent.complete && gateway.record_reported_builds(&builds, recent.endpoints_changed) {
        log::info!(
            peer:%, builds:?, endpoints_changed = recent.endpoints_changed;
            "a peer knows which builds have served lately"
        );
    }
    // gateways of an earlier version state of no build that it is in use
    let states_use = recent.builds.iter().any(|reported| reported.used);
    let answer = match recent.complete {
        true if states_use => Answer::Certain,
        true => Answer::WithoutUse,
        false => Answer::Incomplete,
    };
    let questions = &gateway.streams.questions;
    questions.record(Subject::Builds, peer, answer);
}

fn encode_record(record: &Record, now: Instant) -> StreamRecord {
    let left = record.expires.saturating_duration_since(now);
    StreamRecord {
        key: record.key.0,
        build: match &record.begun {
            Begun::At(build) => build.to_string(),
            Begun::Ambiguous => String::new(),
        },
        left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Stores the records that a peer sent and answers its queries. Datagrams of unknown senders are ignored.
pub fn apply(gateway: &Gateway, from: IpAddr, digest: &Digest, streams: &StreamExchange) {
    let Ok(peer) = digest.address.parse::<SocketAddr>() else {
        return;
    };
    // a peer that has just started knows the addresses of the others before it receives their first digest
    if peer.ip() != from || !gateway.peers.has_ip(from) {
        log::info!(peer:%, from:%; "ignoring a datagram about streams from an unknown sender");
        return;
    }
    let now = Instant::now();
    let owner = Owner::Peer(digest.incarnation);
    for record in streams.known.iter().take(MAX_ITEMS) {
        let begun = match record.build.as_str() {
            "" => Begun::Ambiguous,
            build => Begun::At(Build(Arc::from(build))),
        };
        let left = Duration::from_millis(u64::from(record.left_ms)).min(MAX_LIFETIME);
        let dropped = gateway
            .streams
            .table
            .record(Key(record.key), begun, now + left, owner);
        gateway.count_dropped_stream(dropped);
    }
    for key in streams.unknown.iter().take(MAX_ITEMS) {
        let subject = Subject::Stream(Key(*key));
        let questions = &gateway.streams.questions;
        questions.record(subject, peer, Answer::Certain);
    }
    if let Some(recent) = &streams.builds {
        apply_builds(gateway, peer, recent);
    }
    gateway.streams.questions.notify();
    // until the rows have been read silence makes the peer ask again, while an answer would count for good
    let knows_rows = *gateway.earlier_rows().borrow() == Rows::Read;
    let answers = streams.asked.iter().take(MAX_ITEMS).filter_map(|key| {
        let key = Key(*key);
        let known = gateway.streams.table.get(key, now).map(Item::Known);
        let answer = known.or_else(|| knows_rows.then_some(Item::Unknown(key)));
        answer.map(|answer| (peer, answer))
    });
    let builds = streams.asks_builds.then_some((peer, Item::Builds));
    let is_question = streams.asks_builds || !streams.asked.is_empty();
    if is_question && !gateway.streams.outbox.push(answers.chain(builds)) {
        log::info!(peer:%; "too much waits to be sent; a question about streams is not answered");
    }
}
