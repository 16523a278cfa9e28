//! Which peers this process tells of itself, and how often.
//!
//! Each process telling each other one grows with the square of their number. In a data centre with many,
//! a process tells a few of them often, its neighbours, which is what choices depend on; all others hear
//! seldom that it lives, and at once what must be told to all. See
//! `docs/CAPACITY.md#gateways-on-a-platform`.

use std::{net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{Peer, Peers};

/// The shortest time between two digests: twice the way between two data centres, and well below the
/// time that a prompt takes to be read.
pub(super) const PACE: Duration = Duration::from_millis(10);
/// What each peer adds to that time: a process then takes in some 600 digests a second from its data
/// centre and as many from all others. One gateway of many matters less to the others' choices, so what it
/// tells may be older.
const EACH: Duration = Duration::from_micros(1_600);
/// A digest is sent to neighbours at least this often, so that they know that this process lives.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(100);
/// The shortest time between two digests to the others, and what each of them adds: a process takes in
/// some 125 of them a second, however many there are. They show who shares the budgets, and where engines
/// are busy on the whole.
const SELDOM: Duration = Duration::from_secs(1);
const EACH_SELDOM: Duration = Duration::from_millis(8);
/// Peers in a data centre up to which all of them are neighbours: above the first large deployments' 22, where
/// fewer neighbours in other data centres were measured to serve less (`docs/MEASUREMENTS.md#on-the-platform`).
const WHOLE: usize = 32;
/// Neighbours in the own data centre where there are more: what they have under way is heard of some 160 times a
/// second, a quarter of what is taken in from 32. Not swept.
const NEAR: usize = 16;
/// Neighbours in each other data centre where there are more: one that is cut off is noticed by the silence
/// of all of them, and bytes between data centres are paid for. Not swept.
const FAR: usize = 4;

/// Some of the peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reach {
    /// Neighbours in the same data centre.
    Near,
    /// Neighbours in other ones: what goes there is paid for, and what they have under way matters less here.
    Far,
    /// All others.
    Others,
}

/// Peers that are told alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Circle {
    /// Where they listen.
    pub peers: Vec<SocketAddr>,
    /// The shortest time between two digests, unless there is something urgent.
    pub pace: Duration,
    /// The longest time between two digests.
    pub beat: Duration,
}

impl Peers {
    /// The circle of a reach around a process. A `prompt` one must be missed soon when it ends, since others
    /// depend on it: all of its circles hear it as often as neighbours.
    pub(super) fn circle(
        &self,
        reach: Reach,
        own: SocketAddr,
        data_centre: &str,
        prompt: bool,
    ) -> Circle {
        let known = self.known.lock();
        let mut centres: Vec<&str> = known.iter().map(|peer| &*peer.data_centre).collect();
        centres.sort_unstable();
        centres.dedup();
        let mut peers = Vec::new();
        let mut whole = true;
        for centre in centres {
            let near = centre == data_centre;
            let within = known.iter().filter(|peer| *peer.data_centre == *centre);
            let (neighbours, others) = neighbours(own, within, if near { NEAR } else { FAR });
            match reach {
                Reach::Near if near => peers.extend(&neighbours),
                Reach::Far if !near => peers.extend(&neighbours),
                Reach::Others => peers.extend(&others),
                Reach::Near | Reach::Far => continue,
            }
            whole &= others.is_empty();
        }
        let (pace, beat) = rhythm(reach, peers.len(), whole, prompt);
        Circle { peers, pace, beat }
    }
}

/// The neighbours among the peers of a data centre, and the others. They are drawn by a hash that is the same
/// for both of a pair, so who tells a process is likely told by it.
fn neighbours<'a>(
    own: SocketAddr,
    peers: impl Iterator<Item = &'a Peer>,
    most: usize,
) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let mut peers: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
    if peers.len() <= WHOLE {
        return (peers, Vec::new());
    }
    peers.sort_by_cached_key(|peer| {
        let (first, second) = (own.min(*peer), own.max(*peer));
        xxh3_64(format!("{first} {second}").as_bytes())
    });
    let others = peers.split_off(most);
    (peers, others)
}

/// The shortest and the longest time between two digests to so many peers; `whole` if there are no others.
fn rhythm(reach: Reach, peers: usize, whole: bool, prompt: bool) -> (Duration, Duration) {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    match reach {
        Reach::Near | Reach::Far if whole => {
            let pace = PACE.max(EACH.saturating_mul(peers));
            (pace, HEARTBEAT.max(pace))
        }
        Reach::Near | Reach::Far => (HEARTBEAT, HEARTBEAT),
        Reach::Others if prompt => (HEARTBEAT, HEARTBEAT),
        Reach::Others => {
            let beat = SELDOM.max(EACH_SELDOM.saturating_mul(peers));
            (beat, beat)
        }
    }
}
