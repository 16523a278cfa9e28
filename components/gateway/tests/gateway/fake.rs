//! Fake adapters: lists that record how they are requested, and a table that refuses every call.

use std::{
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cloud::table::{Error, Outcome, Read, Row, Table, Transaction};
use futures::{FutureExt, future::BoxFuture};
use gateway::{
    Adapters,
    adapters::{
        Call, Change, Cursor, Dialect, Directive, Directory, Failure, Identity, KvHandle, Metadata,
        MigrationReply, Order, OrderOutcome, Reply, Report, Update,
    },
    endpoint::Id,
    version::{Configuration, Workspace},
};
use hyper::{HeaderMap, Method, StatusCode, http::request, http::response};
use parking_lot::Mutex;
use prost::Message;
use settings::gateway::{Bounds, Gateway, Overload, Resources, Settings, Store};
use wire::Digest;

/// The revision of all answers.
pub const REVISION: u64 = 7;

/// Records all calls and fails some of them.
#[derive(Debug)]
pub struct FakeList {
    pub calls: Mutex<Vec<Cursor>>,
    /// The calls that fail, numbered from 1.
    fails: RangeInclusive<usize>,
}

impl FakeList {
    fn new(fails: RangeInclusive<usize>) -> Self {
        Self {
            calls: Mutex::default(),
            fails,
        }
    }

    fn answer<T>(&self, from: Cursor) -> Result<Update<T>, Failure> {
        let mut calls = self.calls.lock();
        calls.push(from);
        if self.fails.contains(&calls.len()) {
            return Err(Failure::ResponseLost);
        }
        Ok(Update {
            revision: REVISION,
            last_change: 0,
            as_of: None,
            changes: Vec::new(),
        })
    }
}

#[derive(Debug)]
pub struct Fake {
    pub endpoints: FakeList,
    pub configuration: FakeList,
    /// The number of reads of the table so far.
    pub reads: AtomicUsize,
}

impl Fake {
    /// A fake whose lists fail the calls with these numbers.
    pub fn failing(fails: RangeInclusive<usize>) -> Arc<Self> {
        Arc::new(Self {
            endpoints: FakeList::new(fails.clone()),
            configuration: FakeList::new(fails),
            reads: AtomicUsize::new(0),
        })
    }

    pub fn adapters(self: &Arc<Self>) -> Adapters {
        Adapters {
            directory: Arc::clone(self) as Arc<dyn Directory>,
            dialect: Arc::clone(self) as Arc<dyn Dialect>,
            table: Arc::clone(self) as Arc<dyn Table>,
            duties: None,
        }
    }
}

impl Directory for Fake {
    fn endpoints(&self, from: Cursor) -> BoxFuture<'_, Result<Update<Change>, Failure>> {
        async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.endpoints.answer(from)
        }
        .boxed()
    }

    fn configuration(
        &self,
        from: Cursor,
    ) -> BoxFuture<'_, Result<Update<Arc<Configuration>>, Failure>> {
        async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.configuration.answer(from)
        }
        .boxed()
    }

    fn receiving_configuration_for(&self) -> Option<Duration> {
        None
    }
}

impl Table for Fake {
    fn read(&self, _: Read) -> BoxFuture<'_, Result<Vec<Row>, Error>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        async { Err(Error::NotApplied) }.boxed()
    }

    fn commit(&self, _: Transaction) -> BoxFuture<'_, Result<Outcome, Error>> {
        async { Err(Error::NotApplied) }.boxed()
    }
}

/// No request is forwarded in these tests.
impl Dialect for Fake {
    fn parse_request(&self, _: &request::Parts) -> Metadata {
        Metadata::default()
    }

    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }

    fn set_workspace(&self, _: Option<&Workspace>, _: &mut HeaderMap) {}

    fn apply_directive(&self, _: &Directive, _: &mut HeaderMap) {}

    fn parse_reply(&self, _: &str, _: &response::Parts) -> Reply {
        Reply {
            identity: Identity::Unnamed,
            not_run: false,
            signed: false,
            encoded: false,
            keep_alive: None,
        }
    }

    fn parse_handle(&self, _: SocketAddr, _: &[u8]) -> Option<KvHandle> {
        None
    }

    fn release_call(&self, _: &KvHandle) -> Call {
        call()
    }

    fn migration_call(&self, _: &Id, _: &str, _: SocketAddr) -> Call {
        call()
    }

    fn parse_migration(&self, _: SocketAddr, _: StatusCode, _: &[u8]) -> MigrationReply {
        MigrationReply::NotStopped
    }

    fn order_call(&self, _: &Order) -> Call {
        call()
    }

    fn parse_order_reply(&self, _: StatusCode) -> OrderOutcome {
        OrderOutcome::Unclear
    }

    fn report_call(&self) -> Call {
        call()
    }

    fn parse_report(&self, _: &[u8]) -> Option<Report> {
        None
    }

    fn kv_list_call(&self) -> Call {
        call()
    }

    fn parse_kv_list(&self, _: &[u8]) -> Option<Vec<policy::prompt::Part>> {
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

/// Gateways of tests share their thread with the callers, so their timers are late whenever the machine is busy.
const NO_LAG_LIMIT: Duration = Duration::from_secs(3_600);

pub fn settings() -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        gateway: Gateway {
            name: "g1".to_owned(),
            data_centre: "here".to_owned(),
            callers: any_port,
            ready: any_port,
            metrics: any_port,
            peers: any_port,
            seeds: Vec::new(),
            restarted: false,
        },
        store: Store {
            address: any_port,
            writes_per_second: 400.0,
            reads_per_second: 2000.0,
        },
        duties: None,
        bounds: Bounds::default(),
        resources: Resources::default(),
        overload: Overload {
            lag_ms: NO_LAG_LIMIT,
        },
    }
}

/// Longer than the tests take, in milliseconds, so that no peer becomes unreachable meanwhile.
const HEARTBEAT_MS: u32 = 60_000;

/// A digest of a peer in the gateway's data centre. With `reads`, the peer reads the lists and the store
/// answers it.
pub fn digest(address: SocketAddr, reads: bool) -> Vec<u8> {
    let digest = Digest {
        incarnation: 1,
        number: 1,
        name: address.to_string(),
        data_centre: "here".to_owned(),
        address: address.to_string(),
        beat_ms: HEARTBEAT_MS,
        store_answers: reads,
        reads,
        ..Digest::default()
    };
    digest.encode_to_vec()
}
