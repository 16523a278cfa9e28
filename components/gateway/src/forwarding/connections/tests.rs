use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use super::{Connections, Paused};

const OWN: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const PEER: SocketAddr = SocketAddr::new(OWN, 1);
const OTHER_PEER: SocketAddr = SocketAddr::new(OWN, 2);

#[test]
fn a_peer_that_reaches_no_endpoint_of_a_service_is_asked_for_other_services() {
    let connections = Connections::new(OWN);
    connections.pause(PEER, Paused::Service(1));
    assert_eq!(connections.load(PEER, 1), None);
    assert_eq!(connections.load(PEER, 2), Some(0));
    assert_eq!(connections.load(OTHER_PEER, 1), Some(0));
}

#[test]
fn a_peer_that_takes_no_requests_is_not_asked_for_any_service() {
    let connections = Connections::new(OWN);
    connections.pause(PEER, Paused::Service(1));
    connections.pause(PEER, Paused::All);
    connections.pause(PEER, Paused::Service(2));
    for service in [1, 2, 3] {
        assert_eq!(connections.load(PEER, service), None);
    }
}
