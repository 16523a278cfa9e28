//! What the gateway needs of the world around it: traits at the edges of the process.
//!
//! An adapter implements them by translation only; every decision stays on this side. See
//! `docs/PLATFORM.md`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::future::BoxFuture;
use hyper::{HeaderMap, Method, StatusCode, http::request, http::response};
use policy::prompt;

use crate::{
    endpoint::{Id, Profile, Stage},
    version::Configuration,
};

/// Why the platform's store gave no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made: the call had no effect.
    #[display("the store was not reached")]
    Unreachable,
    /// The store said that it did nothing.
    #[display("the store refused the call")]
    Refused,
    /// No answer came: the call may have had an effect, or may have one later.
    #[display("the store's answer was lost")]
    ResponseLost,
    /// An answer began and did not come whole: the call had its effect.
    #[display("of the store's answer only {bytes} bytes came")]
    Truncated {
        /// What came of its body, in bytes.
        bytes: usize,
    },
    /// The changes since the revision asked for are no longer kept; read everything again.
    #[display("the store no longer has the history asked for")]
    HistoryGone,
    /// The answer is larger than is taken.
    #[display("the store's answer is larger than {most} bytes")]
    TooLarge {
        /// The most that is taken, in bytes.
        most: usize,
    },
    /// The answer could not be read.
    #[display("the store's answer could not be read")]
    Malformed,
}

/// From where a table is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cursor {
    /// All that there is now.
    Start,
    /// What changed after a revision; the store waits this long for a change.
    After {
        /// The revision of the last update.
        revision: u64,
        /// How long the store may wait before it answers that nothing changed.
        wait: Duration,
    },
}

impl Cursor {
    /// The same without a wait at the store.
    #[must_use]
    pub fn without_wait(self) -> Self {
        match self {
            Self::Start => Self::Start,
            Self::After { revision, .. } => Self::After {
                revision,
                wait: Duration::ZERO,
            },
        }
    }
}

/// What a read of a table gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update<T> {
    /// The revision up to which this tells everything; never goes back.
    pub revision: u64,
    /// The revision of the newest of the changes; zero if there are none.
    pub last_change: u64,
    /// What is there, or what changed, in the order of the changes.
    pub changes: Vec<T>,
}

/// A change of the endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This is what is known of an endpoint now.
    Present(Profile),
    /// The endpoint is no longer listed.
    Gone(Id),
    /// An entry that names no endpoint to use stands in its place.
    Unusable(Id),
}

/// The operators' lists: endpoints and the configuration.
pub trait Directory: Send + Sync {
    /// Reads the endpoints.
    fn endpoints(&self, from: Cursor) -> BoxFuture<'_, Result<Update<Change>, Failure>>;

    /// Reads the configuration; the last of the changes is the one that counts.
    fn configuration(
        &self,
        from: Cursor,
    ) -> BoxFuture<'_, Result<Update<Arc<Configuration>>, Failure>>;
}

/// What a caller's head says beyond HTTP.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// The caller's name for this request; empty if there is none.
    pub id: String,
    /// How long the caller will wait, counted from when it sent the request.
    pub timeout: Option<Duration>,
    /// The prompt and its parts; none for requests to plain services.
    pub prompt: Option<prompt::Prompt>,
    /// The event after which a broken stream is to go on.
    pub resume_after: Option<u64>,
}

/// A prompt's KV cache that an engine keeps for another engine to fetch, once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvHandle {
    /// The engine that keeps it.
    pub address: SocketAddr,
    /// Its name there.
    pub name: String,
    /// The prompt tokens that it holds.
    pub tokens: u64,
}

/// An answer that was stopped to go on elsewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Migration {
    /// Its memory.
    pub handle: KvHandle,
    /// Whether the other engine has the copy; otherwise it can only go on where it stopped.
    pub copied: bool,
}

/// What one attempt tells its endpoint beyond the caller's own head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directive {
    /// How long the endpoint may work on it.
    pub timeout: Duration,
    /// The endpoint that is meant; any other one refuses.
    pub expected_endpoint: Option<Id>,
    /// Only read the prompt and keep its KV cache.
    pub prefill_only: bool,
    /// Where the KV cache of the prompt is to be fetched.
    pub handle: Option<KvHandle>,
    /// Another engine that holds parts of the prompt which this one may lack.
    pub fetch_from: Option<SocketAddr>,
    /// The urgency on the endpoint; none leaves it to the endpoint.
    pub priority: Option<Priority>,
    /// Go on after this event.
    pub resume_after: Option<u64>,
}

/// How urgent an attempt is to an engine, which admits the more urgent ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Before all others.
    High,
    /// As most.
    Normal,
    /// After all others.
    Low,
}

/// What the head of an endpoint's answer tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Whether the answer belongs to the request that was sent.
    pub matches_request: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether the endpoint signed it as its own.
    pub signed: bool,
    /// How long the endpoint keeps an idle connection, if it says so.
    pub keep_alive: Option<Duration>,
}

/// How callers and endpoints put into HTTP what HTTP has no words for.
pub trait Dialect: Send + Sync {
    /// Reads a caller's head.
    fn parse_request(&self, head: &request::Parts) -> Metadata;

    /// The headers of a caller that go on to an endpoint: those of the message, without what only
    /// the system may set.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Adds what an attempt tells its endpoint.
    fn apply_directive(&self, directive: &Directive, headers: &mut HeaderMap);

    /// Reads the head of an endpoint's answer to the request with this id.
    fn parse_reply(&self, id: &str, head: &response::Parts) -> Reply;

    /// Reads the answer to an attempt that only reads the prompt.
    fn parse_handle(&self, engine: SocketAddr, body: &[u8]) -> Option<KvHandle>;

    /// The call that gives a handle back which nobody will fetch.
    fn release_call(&self, handle: &KvHandle) -> Call;

    /// The call, to the engine that writes an answer, which stops it there and copies its memory to
    /// another engine.
    fn migration_call(&self, id: &str, to: SocketAddr) -> Call;

    /// Reads the answer to a relocation: the handle under which the answer goes on, where it stopped
    /// or at the other engine; none if it has not stopped.
    fn parse_migration(
        &self,
        from: SocketAddr,
        status: StatusCode,
        body: &[u8],
    ) -> Option<Migration>;

    /// The call that orders a stage.
    fn order_call(&self, order: &Order) -> Call;

    /// Reads the answer to an order.
    fn parse_order_reply(&self, status: StatusCode) -> OrderOutcome;

    /// The call that asks an engine how it is.
    fn report_call(&self) -> Call;

    /// Reads an engine's answer to an inquiry.
    fn parse_report(&self, body: &[u8]) -> Option<Report>;

    /// The call that asks an engine which parts of prompts it holds.
    fn kv_list_call(&self) -> Call;

    /// Reads an engine's answer to a listing: the parts in no order, under the keys that callers' prompts have.
    fn parse_kv_list(&self, body: &[u8]) -> Option<Vec<prompt::Part>>;
}

/// What an engine says of itself, some hundred milliseconds late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Its stage.
    pub stage: Stage,
    /// Whether an order is in progress.
    pub order_in_progress: bool,
    /// How many orders it has accepted since it started.
    pub accepted_orders: u64,
    /// When it was started, see [`Profile::started`].
    pub started: Option<u64>,
}

/// A call of the gateway's own to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine that is meant.
    pub engine: Id,
    /// The stage that it is to take.
    pub stage: Stage,
    /// Who gives the order.
    pub holder: String,
    /// The holder's fencing token.
    pub fencing_token: u64,
    /// How many orders the engine has accepted so far; with another count it refuses.
    pub accepted_orders: u64,
}

/// What an engine said to an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is in progress, or others were accepted meanwhile.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
    /// Another endpoint, or an order that it does not know.
    Refused,
    /// The answer makes no sense: the order may have been accepted.
    Unclear,
}

impl Change {
    /// The endpoint that changed.
    #[must_use]
    pub fn id(&self) -> &Id {
        match self {
            Self::Present(profile) => &profile.id,
            Self::Gone(id) | Self::Unusable(id) => id,
        }
    }

    /// The endpoint, if it is there.
    #[must_use]
    pub fn present(&self) -> Option<&Id> {
        match self {
            Self::Present(profile) => Some(&profile.id),
            Self::Gone(_) | Self::Unusable(_) => None,
        }
    }
}
