//! Endpoints that stop in the middle of their answer's head: the outcome is unknown, and no request is sent twice.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use endpoint::{
    Failure,
    engine::{EngineClient, Generate, Order},
    service::ServiceClient,
};
use hyper::{HeaderMap, Method};
use protocol::order::Wanted;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Heads of each form that an endpoint may send, refusals among them.
const HEADS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 5\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "HTTP/1.0 200 OK\r\ncontent-type: text/plain\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n",
];
const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BYTES: usize = 1_024;
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// An endpoint that answers the first `whole` requests of each connection and then stops in the middle of a head.
struct Cutting {
    address: SocketAddr,
    received: Arc<AtomicUsize>,
}

impl Cutting {
    async fn start(whole: usize, head: &'static str, sent: usize, resets: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let received = Arc::<AtomicUsize>::default();
        let count = Arc::clone(&received);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let count = Arc::clone(&count);
                tokio::spawn(async move {
                    for _ in 0..whole {
                        if !read_request(&mut stream).await {
                            return;
                        }
                        count.fetch_add(1, Ordering::Relaxed);
                        // if this fails, so does the next read
                        let _ = stream.write_all(WHOLE.as_bytes()).await;
                    }
                    if read_request(&mut stream).await {
                        count.fetch_add(1, Ordering::Relaxed);
                        let _ = stream.write_all(&head.as_bytes()[..sent]).await;
                        if resets {
                            let _ = stream.set_zero_linger();
                        }
                    }
                });
            }
        });
        Self { address, received }
    }

    fn received(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }
}

/// Reads a request; `false` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    loop {
        let head = bytes.windows(4).position(|end| end == b"\r\n\r\n");
        if let Some(end) = head {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            let mut lines = head.lines();
            let length = lines.find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
            if bytes.len() >= end + 4 + length.unwrap_or(0) {
                return true;
            }
        }
        let mut more = [0; 4_096];
        match stream.read(&mut more).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => bytes.extend_from_slice(&more[..count]),
        }
    }
}

/// Every case: a head, how many of its bytes are sent, and whether the connection is reset.
fn cases() -> impl Iterator<Item = (&'static str, usize, bool)> {
    HEADS.into_iter().flat_map(|head| {
        (0..head.len()).flat_map(move |sent| [false, true].map(|resets| (head, sent, resets)))
    })
}

async fn post(client: &ServiceClient, to: SocketAddr) -> Result<u16, Failure> {
    let body = Bytes::from_static(b"body");
    let headers = HeaderMap::new();
    let response = client.send(to, &Method::POST, "/", &headers, body).await?;
    let status = response.status().as_u16();
    let body = call::read_body(response.into_body(), MAX_BYTES, TIMEOUT);
    body.await.map_err(|_| Failure::Lost)?;
    Ok(status)
}

#[tokio::test]
async fn a_cut_head_of_a_service_leaves_the_outcome_unknown() {
    for (head, sent, resets) in cases() {
        let endpoint = Cutting::start(0, head, sent, resets).await;
        let got = post(&ServiceClient::default(), endpoint.address).await;
        let case = format!("{sent} bytes of {head:?}, {resets}");
        assert_eq!(got, Err(Failure::Lost), "{case}");
        assert_eq!(endpoint.received(), 1, "{case}");
    }
}

#[tokio::test]
async fn a_head_cut_on_a_used_connection_leaves_the_outcome_unknown() {
    for (head, sent, resets) in cases() {
        let endpoint = Cutting::start(1, head, sent, resets).await;
        let client = ServiceClient::default();
        let case = format!("{sent} bytes of {head:?}, {resets}");
        assert_eq!(post(&client, endpoint.address).await, Ok(200), "{case}");
        let got = post(&client, endpoint.address).await;
        assert_eq!(got, Err(Failure::Lost), "{case}");
        assert_eq!(endpoint.received(), 2, "{case}");
    }
}

#[tokio::test]
async fn a_cut_head_of_an_engine_is_no_answer_to_any_call() {
    for (head, sent, resets) in cases() {
        let endpoint = Cutting::start(0, head, sent, resets).await;
        let client = EngineClient::default();
        let case = format!("{sent} bytes of {head:?}, {resets}");
        let generated = client
            .generate(endpoint.address, &Generate::default())
            .await;
        assert_eq!(generated.err(), Some(Failure::Lost), "{case}");
        let reported = client.report(endpoint.address, TIMEOUT).await;
        assert_eq!(reported.err(), Some(Failure::Lost), "{case}");
        let order = Order {
            number: 1,
            wanted: Wanted::default(),
        };
        let ordered = client.order(endpoint.address, &order, TIMEOUT).await;
        assert_eq!(ordered.err(), Some(Failure::Lost), "{case}");
        let events = client.cache_events(endpoint.address, 0, TIMEOUT).await;
        assert_eq!(events.err(), Some(Failure::Lost), "{case}");
        assert_eq!(endpoint.received(), 4, "{case}");
    }
}
