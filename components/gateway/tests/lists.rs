//! How the gateway asks for the operators' lists, against a fake of the edge that only notes it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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
use settings::gateway::{Bounds, Gateway, Resources, Settings, Store};

/// Answers the first call, fails the second, answers the third, and notes all of them.
#[derive(Debug, Default)]
struct Notes(Mutex<Vec<From>>);

impl Notes {
    fn take<T>(&self, from: From) -> Result<Update<T>, Failure> {
        let mut notes = self.0.lock();
        notes.push(from);
        match notes.len() {
            2 => Err(Failure::Lost),
            _ => Ok(Update {
                revision: 7,
                changed: 0,
                changes: Vec::new(),
            }),
        }
    }
}

#[derive(Debug, Default)]
struct Fake {
    endpoints: Notes,
    configuration: Notes,
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
    let fake = Arc::new(Fake::default());
    let edges = Edges {
        directory: Arc::clone(&fake) as Arc<dyn Directory>,
        dialect: Arc::clone(&fake) as Arc<dyn Dialect>,
        table: Arc::clone(&fake) as Arc<dyn Table>,
    };
    let running = gateway::start(settings(), edges).await.expect("gateway");
    for notes in [&fake.endpoints, &fake.configuration] {
        while notes.0.lock().len() < 4 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let asked = notes.0.lock().clone();
        assert_eq!(asked[0], From::Start);
        let waits: Vec<Duration> = asked[1..]
            .iter()
            .map(|from| match from {
                From::Start => panic!("read from the start again: {asked:?}"),
                From::After { revision, wait } => {
                    assert_eq!(*revision, 7);
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
