//! The server for calls from peers.

use std::{sync::Arc, time::Duration};

use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};
use wire::{
    CloseReply, CloseRequest, FetchRequest, Heartbeat, OpenReply, OpenRequest, Tree,
    operator_server::OperatorServer,
    peer_server::{Peer, PeerServer},
};

use super::{Process, gates::Id, heartbeat, operators::Operators, settings_sync};
use telemetry::timeline::Kind;

struct Peers(Arc<Process>);

/// Serves peers and operators.
pub async fn serve(process: Arc<Process>, listener: TcpListener) {
    let peers = PeerServer::new(Peers(Arc::clone(&process)));
    let operators = OperatorServer::new(Operators(process));
    let served = Server::builder()
        .add_service(peers)
        .add_service(operators.max_decoding_message_size(wire::MAX_MESSAGE_BYTES))
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await;
    if let Err(error) = served {
        log::error!("the server for peers and operators failed: {error}");
    }
}

#[tonic::async_trait]
impl Peer for Peers {
    async fn beat(&self, request: Request<Heartbeat>) -> Result<Response<Heartbeat>, Status> {
        heartbeat::receive(&self.0, request.get_ref());
        Ok(Response::new(heartbeat::compose(&self.0)))
    }

    async fn fetch(&self, _: Request<FetchRequest>) -> Result<Response<Tree>, Status> {
        // the closed endpoints are read before the tree; a close that comes in between is sent to the
        // fetching daemon as well
        let closed = self.0.gates.closed();
        let mut tree = self
            .0
            .current
            .get()
            .map(|current| settings_sync::to_wire(&current.tree))
            .unwrap_or_default();
        tree.closed = closed
            .into_iter()
            .map(|(id, number)| wire::Closed {
                endpoint: id.number,
                data_centre: id.data_centre.to_string(),
                number,
            })
            .collect();
        Ok(Response::new(tree))
    }

    async fn close(&self, request: Request<CloseRequest>) -> Result<Response<CloseReply>, Status> {
        let close = request.into_inner();
        let id = endpoint_id(&close.data_centre, close.endpoint);
        let timeout = Duration::from_millis(close.wait_ms);
        let closed = self.0.gates.drain(&id, close.number, timeout).await;
        let detail = format!(
            "order {}, {}",
            close.number,
            if closed { "empty" } else { "busy" }
        );
        self.0.timeline.record(Kind::Closed, id.to_string(), detail);
        let members = self.0.members.all();
        Ok(Response::new(CloseReply {
            incarnation: self.0.incarnation.0,
            closed,
            known: members.iter().map(to_wire).collect(),
        }))
    }

    async fn open(&self, request: Request<OpenRequest>) -> Result<Response<OpenReply>, Status> {
        let open = request.into_inner();
        let id = endpoint_id(&open.data_centre, open.endpoint);
        self.0.gates.open(&id, open.number);
        let detail = format!("order {}", open.number);
        self.0.timeline.record(Kind::Opened, id.to_string(), detail);
        for pool in self.0.all_pools() {
            pool.wake();
        }
        Ok(Response::new(OpenReply {}))
    }
}

fn endpoint_id(data_centre: &str, number: u32) -> Id {
    Id {
        data_centre: data_centre.into(),
        number,
    }
}

pub fn to_wire(member: &super::members::Member) -> wire::Member {
    wire::Member {
        incarnation: member.incarnation.0,
        address: member.address.to_string(),
        data_centre: member.data_centre.clone(),
    }
}
