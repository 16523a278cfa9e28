use std::{net::SocketAddr, sync::Arc};

use clock::Instant;
use prost::Message;
use wire::Digest;

use super::{Advertisement, Peer, Peers};
use crate::{
    adapters::Change,
    endpoint::{Build, Id, MAX_NAME_BYTES, Profile, Stage, State},
};

/// Numbers of gateways: more than exchange frequent heartbeats with all others, and as many as a large deployment has.
const FLEETS: [u16; 2] = [40, 300];
/// Numbers of peers that hold copies of a record, and of live ones that are asked for it.
const COPIES: usize = 4;
const ASKED: usize = 8;
/// Number of streams whose holders are compared.
const KEYS: u64 = 500;

fn address(gateway: u16) -> SocketAddr {
    let [high, low] = gateway.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

/// The peers of a gateway, which has received digests of some of them and knows the others by their addresses.
fn peers(own: u16, fleet: u16, is_confirmed: impl Fn(u16) -> bool) -> Peers {
    let peers = Peers::default();
    for gateway in (0..fleet).filter(|gateway| *gateway != own) {
        let mut peer = Peer::new(address(gateway), "here");
        if is_confirmed(gateway) {
            peer.incarnation = 1 + u64::from(gateway);
            peer.last_received = Some(Instant::now());
        }
        peers.known.lock().push(peer);
    }
    peers
}

/// Checks that a gateway asks a peer to which another one has sent a copy, however few peers have sent digests to either.
fn check_that_holders_are_asked(owner: impl Fn(u16) -> bool, searcher: impl Fn(u16) -> bool) {
    for fleet in FLEETS {
        let owner = peers(0, fleet, &owner).ranking();
        let searcher = peers(1, fleet, &searcher).ranking();
        for key in 0..KEYS {
            let holders = owner.first(key, COPIES);
            let holders: Vec<SocketAddr> =
                holders.iter().map(|peer| owner.address(*peer)).collect();
            let asked = searcher.first(key, ASKED);
            let asked: Vec<SocketAddr> = asked.iter().map(|peer| searcher.address(*peer)).collect();
            assert!(holders.len() <= 2 * COPIES && asked.len() <= 2 * ASKED);
            let is_known = |holder: &SocketAddr| *holder == address(1) || asked.contains(holder);
            assert!(holders.iter().any(is_known), "{fleet} gateways, key {key}");
        }
    }
}

/// One peer in seven, others for each gateway.
fn few(first: u16) -> impl Fn(u16) -> bool {
    move |gateway| gateway % 7 == first
}

#[test]
fn a_gateway_with_digests_of_few_peers_asks_one_that_holds_a_copy() {
    check_that_holders_are_asked(|_| true, few(2));
    check_that_holders_are_asked(|_| true, |_| false);
}

#[test]
fn a_gateway_with_digests_of_few_peers_sends_copies_to_one_that_is_asked() {
    check_that_holders_are_asked(few(3), |_| true);
    check_that_holders_are_asked(few(3), few(4));
}

#[test]
fn a_peer_that_restarts_or_sends_its_first_digest_gets_its_copies_again() {
    let [unconfirmed, confirmed] =
        [false, true].map(|is_confirmed| peers(0, 3, |_| is_confirmed).ranking());
    let token = |holders: &[usize]| confirmed.token(holders);
    assert_ne!(unconfirmed.token(&[0, 1]), token(&[0, 1]));
    assert_ne!(unconfirmed.token(&[0]), unconfirmed.token(&[1]));
    assert_eq!(token(&[0, 1]), token(&[0, 1]));
}

/// The bytes that a UDP datagram over IPv4 can carry.
const DATAGRAM_BYTES: usize = 65_507;

/// Changes of endpoints whose names are as long as they may be.
fn long_changes(count: usize) -> Vec<Change> {
    let name = || Arc::from("n".repeat(MAX_NAME_BYTES));
    let profile = |n: usize| Profile {
        id: Id(Arc::from(format!("{n}{}", "i".repeat(190)))),
        service: name(),
        build: Build(name()),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: name(),
        state: State::Ready,
        slots: 16,
        stage: Some(Stage::Decode),
        revocable: false,
        started: Some(1),
    };
    (0..count).map(|n| Change::Present(profile(n))).collect()
}

#[test]
fn endpoint_changes_in_quick_succession_fit_into_a_datagram() {
    let peers = Peers::default();
    for revision in 0..32 {
        peers.advertise(&Advertisement {
            after_revision: revision,
            to_revision: revision + 1,
            after_outage: false,
            changes: long_changes(8),
        });
    }
    let changes = std::mem::take(&mut *peers.pending_changes.lock());
    assert!(!changes.is_empty());
    let digest = Digest {
        changes,
        ..Digest::default()
    };
    let bytes = digest.encoded_len();
    assert!(
        bytes < DATAGRAM_BYTES / 2,
        "{bytes} bytes, the rest of a digest aside"
    );
}
