//! Which peers a gateway sends digests to, and how often.

use std::{net::SocketAddr, time::Duration};

use tokio::net::UdpSocket;

use crate::fake::{Fake, digest, settings};

/// More peers than a data centre has in which all gateways send digests to each other.
const PEERS: usize = 40;
/// The maximum number of peers that get frequent digests.
const NEIGHBOURS: usize = 16;
/// Takes the digests that have arrived and returns their number.
fn received(socket: &UdpSocket) -> usize {
    let mut buffer = [0; 4096];
    std::iter::from_fn(|| socket.try_recv(&mut buffer).ok()).count()
}

#[tokio::test]
async fn only_neighbours_get_frequent_digests_but_every_peer_gets_some() {
    let fake = Fake::failing(2..=2);
    let running = gateway::start(settings(), fake.adapters())
        .await
        .expect("gateway");
    let to = running.addresses().peers;
    let mut peers = Vec::new();
    for _ in 0..PEERS {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        peers.push(socket);
    }
    for socket in &peers {
        let address = socket.local_addr().expect("an address");
        let sent = socket.send_to(&digest(address, false), to).await;
        sent.expect("a digest is sent");
    }
    // two readers with lower addresses, so that no peer depends on this gateway's reads
    for port in [1, 2] {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let sent = peers[0].send_to(&digest(address, true), to).await;
        sent.expect("a digest is sent");
    }
    // before all peers are known, the known ones may all be neighbours and get digests equally often
    tokio::time::sleep(Duration::from_millis(500)).await;
    for socket in &peers {
        received(socket);
    }

    let mut counts = vec![0; PEERS];
    while counts.iter().max() < Some(&20) || counts.iter().min() < Some(&1) {
        tokio::time::sleep(Duration::from_millis(20)).await;
        for (count, socket) in counts.iter_mut().zip(&peers) {
            *count += received(socket);
        }
    }
    let most = counts.iter().max().copied().unwrap_or_default();
    let often = counts.iter().filter(|count| **count * 2 > most).count();
    // the two readers may be neighbours too, and have no socket
    assert!((NEIGHBOURS - 2..=NEIGHBOURS).contains(&often), "{counts:?}");
}
