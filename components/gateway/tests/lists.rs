//! How the gateway asks for the operators' lists, against a fake of the edge that only notes it.

use std::{net::SocketAddr, ops::RangeInclusive, sync::Arc, time::Duration};

use cloud::table::{Error, Outcome, Read, Row, Table, Transaction};
use futures::{FutureExt, future::BoxFuture};
use gateway::{
    Edges,
    edge::{
        Ask, Call, Change, Dialect, Directive, Directory, Failure, From, Handle, Order, Ordered,
        Relocated, Report, Told, Update,
    },
    version::Configuration,
};
use hyper::{HeaderMap, Method, StatusCode, http::request, http::response};
use parking_lot::Mutex;
use prost::Message;
use settings::gateway::{Bounds, Gateway, Resources, Settings, Store};
use tokio::net::UdpSocket;
use wire::{Digest, EndpointChanges};

/// The revision that all answers have.
const REVISION: u64 = 7;

/// Notes all calls, and fails some of them.
#[derive(Debug)]
struct Notes {
    calls: Mutex<Vec<From>>,
    /// The calls that fail, by their number from 1.
    fails: RangeInclusive<usize>,
}

impl Notes {
    fn new(fails: RangeInclusive<usize>) -> Self {
        Self {
            calls: Mutex::default(),
            fails,
        }
    }

    fn take<T>(&self, from: From) -> Result<Update<T>, Failure> {
        let mut calls = self.calls.lock();
        calls.push(from);
        if self.fails.contains(&calls.len()) {
            return Err(Failure::Lost);
        }
        Ok(Update {
            revision: REVISION,
            changed: 0,
            changes: Vec::new(),
        })
    }
}

#[derive(Debug)]
struct Fake {
    endpoints: Notes,
    configuration: Notes,
}

impl Fake {
    /// Of each list the calls with these numbers fail.
    fn failing(fails: RangeInclusive<usize>) -> Arc<Self> {
        Arc::new(Self {
            endpoints: Notes::new(fails.clone()),
            configuration: Notes::new(fails),
        })
    }

    fn edges(self: &Arc<Self>) -> Edges {
        Edges {
            directory: Arc::clone(self) as Arc<dyn Directory>,
            dialect: Arc::clone(self) as Arc<dyn Dialect>,
            table: Arc::clone(self) as Arc<dyn Table>,
        }
    }
}

impl Directory for Fake {
    fn endpoints(&self, from: From) -> BoxFuture<'_, Result<Update<Change>, Failure>> {
        async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.endpoints.take(from)
        }
        .boxed()
    }

    fn configuration(
        &self,
        from: From,
    ) -> BoxFuture<'_, Result<Update<Arc<Configuration>>, Failure>> {
        async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.configuration.take(from)
        }
        .boxed()
    }
}

impl Table for Fake {
    fn read(&self, _: Read) -> BoxFuture<'_, Result<Vec<Row>, Error>> {
        async { Err(Error::Refused) }.boxed()
    }

    fn commit(&self, _: Transaction) -> BoxFuture<'_, Result<Outcome, Error>> {
        async { Err(Error::Refused) }.boxed()
    }
}

/// Nothing is sent in these tests.
impl Dialect for Fake {
    fn ask(&self, _: &request::Parts) -> Ask {
        Ask::default()
    }

    fn pass_on(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }

    fn direct(&self, _: &Directive, _: &mut HeaderMap) {}

    fn told(&self, _: &str, _: &response::Parts) -> Told {
        Told {
            ours: false,
            not_run: false,
            signed: false,
            keeps: None,
        }
    }

    fn handle(&self, _: SocketAddr, _: &[u8]) -> Option<Handle> {
        None
    }

    fn release(&self, _: &Handle) -> Call {
        call()
    }

    fn relocation(&self, _: &str, _: SocketAddr) -> Call {
        call()
    }

    fn relocated(&self, _: SocketAddr, _: StatusCode, _: &[u8]) -> Option<Relocated> {
        None
    }

    fn order(&self, _: &Order) -> Call {
        call()
    }

    fn ordered(&self, _: StatusCode) -> Ordered {
        Ordered::Unclear
    }

    fn inquiry(&self) -> Call {
        call()
    }

    fn report(&self, _: &[u8]) -> Option<Report> {
        None
    }
}

fn call() -> Call {
    Call {
        method: Method::GET,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
    }
}

fn settings() -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        gateway: Gateway {
            name: "g1".to_owned(),
            data_centre: "here".to_owned(),
            callers: any,
            ready: any,
            metrics: any,
            peers: any,
            seeds: Vec::new(),
            restarted: false,
        },
        store: Store {
            address: any,
            writes_per_second: 400.0,
            reads_per_second: 2000.0,
        },
        bounds: Bounds::default(),
        resources: Resources::default(),
    }
}

/// A call that a silent store swallowed must be noticed, and the list read again, within the three
/// seconds after the store's return that operators grant.
const GRANTED: Duration = Duration::from_secs(3);

#[tokio::test]
async fn a_store_is_never_asked_to_wait_as_long_as_operators_grant() {
    let fake = Fake::failing(2..=2);
    let running = gateway::start(settings(), fake.edges())
        .await
        .expect("gateway");
    for notes in [&fake.endpoints, &fake.configuration] {
        while notes.calls.lock().len() < 4 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let asked = notes.calls.lock().clone();
        assert_eq!(asked[0], From::Start);
        let waits: Vec<Duration> = asked[1..]
            .iter()
            .map(|from| match from {
                From::Start => panic!("read from the start again: {asked:?}"),
                From::After { revision, wait } => {
                    assert_eq!(*revision, REVISION);
                    *wait
                }
            })
            .collect();
        assert!(
            waits.iter().all(|wait| *wait < GRANTED * 4 / 5),
            "{waits:?}"
        );
        // a store that failed is asked for a plain answer first
        assert_eq!(waits[1], Duration::ZERO);
        assert!(waits[2] > Duration::ZERO);
    }
    drop(running);
}

#[tokio::test]
async fn a_store_that_fails_is_not_asked_to_wait_because_a_peer_tells_a_change() {
    let fake = Fake::failing(2..=usize::MAX);
    let running = gateway::start(settings(), fake.edges())
        .await
        .expect("gateway");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let told = Digest {
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
    let knows = |from: &From| matches!(from, From::After { revision, .. } if *revision > REVISION);
    let mut number = 0;
    while !calls().iter().any(knows) {
        number += 1;
        let digest = Digest {
            number,
            ..told.clone()
        };
        let to = running.addresses().peers;
        let sent = socket.send_to(&digest.encode_to_vec(), to).await;
        sent.expect("a digest is sent");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // the second call was made before the store had failed
    for call in calls().iter().skip(2) {
        assert_eq!(*call, call.at_once());
    }
}
