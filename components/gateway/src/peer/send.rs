//! Digests as they go: while there is something to tell, and as a heartbeat.

use std::time::Duration;

use clock::Instant;
use prost::Message;
use tokio::net::UdpSocket;
use wire::{Digest, EndpointChanges, Placed, Suspect};

use super::{
    PLACED, endpoint_load, own, paces,
    reach::{HEARTBEAT, PACE, Reach},
    receive::heed,
    suspects,
};
use crate::{
    endpoint::Load,
    process::{Gateway, List},
    steward,
};

/// Placements in one digest; a datagram then stays below the usual size of a packet or two.
const PLACED_AT_ONCE: usize = 24;

/// Requests that endpoints ended under in one digest, for the same reason.
const SUSPECTS_AT_ONCE: usize = 24;

/// Between two digests of a stream that tell how fast engines are: it takes several prompts to learn more.
const PACES_EVERY: Duration = Duration::from_millis(50);

/// Sends digests as long as the process lives.
pub async fn keep(gateway: &Gateway, socket: &UdpSocket) {
    let mut number = 0;
    let mut streams = [Reach::Near, Reach::Far, Reach::Others].map(Stream::new);
    loop {
        clock::sleep(PACE).await;
        let news = News::gather(gateway);
        heed(gateway, &news.changing, &[]);
        for stream in &mut streams {
            stream.add(&news);
            if !stream.is_due(&news) {
                continue;
            }
            let own = &gateway.settings.gateway;
            let circle = gateway.peers.circle(
                stream.reach,
                own.peers,
                &own.data_centre,
                is_missed(gateway, &news),
            );
            stream.pace = circle.pace;
            stream.beat = circle.beat;
            number += 1;
            let bytes = stream.digest(gateway, &news, number).encode_to_vec();
            for address in circle.peers {
                if let Err(error) = socket.send_to(&bytes, address).await {
                    log::debug!(peer:% = address, error:%; "a digest was not sent");
                }
            }
        }
    }
}

/// Whether others depend on this process and must notice its end soon.
fn is_missed(gateway: &Gateway, news: &News) -> bool {
    // while the store answers nobody all would read
    (news.reads && gateway.store_available()) || steward::is_steward_or_successor(gateway)
}

/// What there is to tell at one moment.
#[derive(Debug)]
struct News {
    loads: Vec<(u32, Load)>,
    placed: Vec<Placed>,
    changing: Vec<u32>,
    changes: Vec<EndpointChanges>,
    revisions: [u64; 2],
    /// Whether this process reads the operators' lists itself.
    reads: bool,
    suspects: Vec<Suspect>,
}

impl News {
    fn gather(gateway: &Gateway) -> Self {
        Self {
            loads: gateway.registry.busy().loads(),
            placed: std::mem::take(&mut *gateway.peers.placed.lock()),
            changing: gateway.steward.changing(),
            changes: std::mem::take(&mut *gateway.peers.news.lock()),
            revisions: [List::Endpoints, List::Configuration]
                .map(|list| gateway.last_changes.revision(list)),
            reads: gateway.reads_lists(),
            suspects: gateway
                .suspects_to_send()
                .iter()
                .map(|(content, record)| suspects::encode(*content, record, gateway.moment()))
                .collect(),
        }
    }
}

/// Digests to some of the peers.
#[derive(Debug)]
struct Stream {
    reach: Reach,
    /// When the last one was sent.
    sent: Instant,
    /// The shortest time until the next one.
    pace: Duration,
    /// The longest time until the next one.
    beat: Duration,
    /// What the last one told.
    loads: Vec<(u32, Load)>,
    changing: Vec<u32>,
    revisions: [u64; 2],
    /// What none has told yet.
    placed: Vec<Placed>,
    changes: Vec<EndpointChanges>,
    suspects: Vec<Suspect>,
    /// When one last told how fast engines are.
    told_paces: Instant,
}

impl Stream {
    fn new(reach: Reach) -> Self {
        Self {
            reach,
            sent: Instant::now(),
            pace: PACE,
            beat: HEARTBEAT,
            loads: Vec::new(),
            changing: Vec::new(),
            revisions: [0; 2],
            placed: Vec::new(),
            changes: Vec::new(),
            suspects: Vec::new(),
            told_paces: Instant::now(),
        }
    }

    /// Keeps what must be told once. Placements are hints, of use to those that are told of loads in time.
    fn add(&mut self, news: &News) {
        if self.reach != Reach::Others {
            let room = PLACED.saturating_sub(self.placed.len());
            self.placed.extend(news.placed.iter().take(room).cloned());
        }
        self.changes.extend_from_slice(&news.changes);
        self.suspects.extend_from_slice(&news.suspects);
    }

    /// Whether a digest is to be sent now.
    fn is_due(&self, news: &News) -> bool {
        let since = self.sent.elapsed();
        // what a follower knows its readers have told
        let urgent = !self.changes.is_empty()
            || !self.suspects.is_empty()
            || news.changing != self.changing
            || (news.reads && news.revisions != self.revisions);
        let changed = news.loads != self.loads || !self.placed.is_empty();
        urgent || (changed && since >= self.pace) || since >= self.beat
    }

    /// The digest that tells the news.
    fn digest(&mut self, gateway: &Gateway, news: &News, number: u64) -> Digest {
        self.sent = Instant::now();
        self.loads.clone_from(&news.loads);
        self.changing.clone_from(&news.changing);
        self.revisions = news.revisions;
        let count = self.placed.len().min(PLACED_AT_ONCE);
        let suspects = self.suspects.len().min(SUSPECTS_AT_ONCE);
        let paces = if self.told_paces.elapsed() < PACES_EVERY {
            Vec::new()
        } else {
            self.told_paces = self.sent;
            paces::own(gateway, gateway.peers.has_newcomer())
        };
        Digest {
            paces,
            loads: news
                .loads
                .iter()
                .map(|(at, load)| endpoint_load(*at, *load))
                .collect(),
            placed: self.placed.drain(..count).collect(),
            beat_ms: u32::try_from(self.beat.as_millis()).unwrap_or(u32::MAX),
            changes: std::mem::take(&mut self.changes),
            suspects: self.suspects.drain(..suspects).collect(),
            ..own(gateway, number)
        }
    }
}
