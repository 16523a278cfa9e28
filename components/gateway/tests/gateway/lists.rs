//! How the gateway requests the operators' lists.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use gateway::adapters::Cursor;
use prost::Message;
use tokio::net::UdpSocket;
use wire::{Digest, EndpointChanges};

use crate::fake::{Fake, REVISION, digest, settings};

/// Operators allow three seconds after the store's recovery for a lost call to be noticed and the list to be
/// read again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

#[tokio::test]
async fn long_polls_end_before_the_recovery_timeout() {
    let fake = Fake::failing(2..=2);
    let running = gateway::start(settings(), fake.adapters())
        .await
        .expect("gateway");
    for list in [&fake.endpoints, &fake.configuration] {
        while list.calls.lock().len() < 4 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let calls = list.calls.lock().clone();
        assert_eq!(calls[0], Cursor::Start);
        let waits: Vec<Duration> = calls[1..]
            .iter()
            .map(|from| match from {
                Cursor::Start => panic!("read from the start again: {calls:?}"),
                Cursor::After { revision, wait } => {
                    assert_eq!(*revision, REVISION);
                    *wait
                }
            })
            .collect();
        assert!(
            waits.iter().all(|wait| *wait < RECOVERY_TIMEOUT * 4 / 5),
            "{waits:?}"
        );
        // after a failure, the next call asks for an immediate answer
        assert_eq!(waits[1], Duration::ZERO);
        assert!(waits[2] > Duration::ZERO);
    }
    drop(running);
}

/// Confirmations of each list that followers need within the time that operators allow for a change to take effect.
const MIN_CONFIRMATIONS: u32 = 5;

#[tokio::test]
async fn a_reader_without_others_before_it_confirms_both_lists_several_times_in_the_time_allowed() {
    let fake = Fake::failing(usize::MAX..=usize::MAX);
    let settings = settings();
    let bounds = settings.bounds.clone();
    let running = gateway::start(settings, fake.adapters())
        .await
        .expect("gateway");
    for (list, allowed) in [
        (&fake.endpoints, bounds.drain_ms),
        (&fake.configuration, bounds.configuration_ms),
    ] {
        while list.calls.lock().len() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let call = list.calls.lock()[1];
        let Cursor::After { wait, .. } = call else {
            panic!("read from the start again");
        };
        assert!(wait <= allowed / MIN_CONFIRMATIONS, "{wait:?}");
        assert!(wait > Duration::ZERO);
    }
    drop(running);
}

#[tokio::test]
async fn peer_updates_do_not_resume_long_polls_while_the_store_fails() {
    let fake = Fake::failing(2..=usize::MAX);
    let running = gateway::start(settings(), fake.adapters())
        .await
        .expect("gateway");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let update = Digest {
        incarnation: 1,
        address: socket.local_addr().expect("an address").to_string(),
        changes: vec![EndpointChanges {
            after: REVISION,
            to: REVISION + 1,
            ..EndpointChanges::default()
        }],
        ..Digest::default()
    };
    let calls = || fake.endpoints.calls.lock().clone();
    while calls().len() < 3 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let knows =
        |from: &Cursor| matches!(from, Cursor::After { revision, .. } if *revision > REVISION);
    let mut number = 0;
    while !calls().iter().any(knows) {
        number += 1;
        let digest = Digest {
            number,
            ..update.clone()
        };
        let to = running.addresses().peers;
        let sent = socket.send_to(&digest.encode_to_vec(), to).await;
        sent.expect("a digest is sent");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // the second call was made before the store had failed
    for call in calls().iter().skip(2) {
        assert_eq!(*call, call.without_wait());
    }
}

/// Calls of a gateway without peers when the test compares the two.
const CALLS_ALONE: usize = 14;
/// The maximum number of calls of a gateway with peers in the same time: after four quick retries its pauses
/// are at least one and a half times as long, whatever the jitter.
const MAX_CALLS_WITH_PEERS: usize = 11;

#[tokio::test]
async fn a_gateway_with_peers_calls_a_failing_store_less_often() {
    let (alone, with_peers) = (Fake::failing(2..=usize::MAX), Fake::failing(2..=usize::MAX));
    let first = gateway::start(settings(), alone.adapters());
    let first = first.await.expect("gateway");
    let second = gateway::start(settings(), with_peers.adapters());
    let second = second.await.expect("gateway");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    for port in [1, 2] {
        let peer = SocketAddr::from(([127, 0, 0, 1], port));
        let to = second.addresses().peers;
        let sent = socket.send_to(&digest(peer, false), to).await;
        sent.expect("a digest is sent");
    }
    let calls = |fake: &Fake| fake.configuration.calls.lock().len();
    while calls(&alone) < CALLS_ALONE {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(
        calls(&with_peers) <= MAX_CALLS_WITH_PEERS,
        "{}",
        calls(&with_peers)
    );
    drop((first, second));
}

#[tokio::test]
async fn the_lease_is_not_read_while_the_store_fails() {
    let fake = Fake::failing(2..=usize::MAX);
    let running = gateway::start(settings(), fake.adapters())
        .await
        .expect("gateway");
    while fake.endpoints.calls.lock().len() < 10 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // it may have read the lease once while the store still answered
    let reads = fake.reads.load(Ordering::Relaxed);
    assert!(reads <= 1, "{reads} reads");
    drop(running);
}
