//! Keeps the settings up to date, by polling the head row in the table and by fetching from peers.
//!
//! A change is accepted once it is committed. A daemon never applies a lower version than the one in force.
//! See `docs/DESIGN.md#settings`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cloud::table::{Read, Row};
use serde::{Deserialize, Serialize};
use settings::tree::{Change, Node, Tree, resolve::ResolvedTree};
use telemetry::timeline::Kind;
use tokio::time::Instant;

use super::{
    Process,
    gates::Id,
    pool::Pool,
    registration,
    store::{self, by_keys},
};

/// Key of the row with the newest version.
pub const HEAD_KEY: &str = "settings/head";
/// Prefix of the row keys of nodes.
pub const NODE_PREFIX: &str = "settings/node/";
/// Prefix of the row keys of changes.
pub const LOG_PREFIX: &str = "settings/log/";
/// Maximum number of changes that are fetched one by one; beyond it the whole tree is read.
const MAX_FETCHED_CHANGES: u64 = 64;
/// Number of daemons per data centre that poll the head row at the full rate; the others learn of new
/// versions through heartbeats and poll less often.
const POLLERS_PER_DATA_CENTRE: usize = 2;
const NON_POLLER_INTERVAL_FACTOR: u32 = 5;
/// Timeout for fetching a whole tree from a peer. A tree of 5.6 MB with 45,000 groups takes about
/// this long at 2 Mbit/s. A call to a peer that stops responding fails sooner, see `super::members`.
const FETCH_TIMEOUT: Duration = Duration::from_secs(25);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub version: u64,
    /// The token of the change that created this version.
    pub token: u64,
}

/// Polls for new versions of the settings.
pub async fn run(process: Arc<Process>) {
    let interval: Duration = process.settings.control.settings_poll.into();
    let mut next_slow_poll = Instant::now();
    let mut registration = process.registration.subscribe();
    // a daemon dispatches only after it has registered or, if the table is unavailable, with the settings and
    // closed endpoints that its peers report
    let _ = registration
        .wait_for(|state| *state != registration::State::Registering)
        .await;
    loop {
        let has_no_settings = process.current.get().is_none();
        let registered = *process.registration.borrow() == registration::State::Registered;
        match () {
            () if has_no_settings && !registered => update_from_peers(&process).await,
            () if !has_no_settings && !is_poller(&process) && Instant::now() < next_slow_poll => {}
            () => {
                next_slow_poll = Instant::now() + interval * NON_POLLER_INTERVAL_FACTOR;
                update_from_table(&process).await;
            }
        }
        let jitter = rand::random_range(0.8..1.2);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

/// Whether this daemon is one of its data centre's pollers: those with the lowest incarnations. They also
/// remove expired claims.
pub fn is_poller(process: &Process) -> bool {
    let before = process
        .members
        .reachable()
        .iter()
        .filter(|member| member.data_centre == process.settings.daemon.data_centre)
        .filter(|member| member.incarnation < process.incarnation)
        .count();
    before < POLLERS_PER_DATA_CENTRE
}

/// Applies the newest version in the table. Returns whether the table answered.
pub async fn update_from_table(process: &Arc<Process>) -> bool {
    let Ok(head) = process.store.read(by_keys(&[HEAD_KEY])).await else {
        return false;
    };
    let head: Head = store::parse(store::find(&head, HEAD_KEY)).unwrap_or_default();
    match process.current.get() {
        Some(current) if head.version <= current.tree.version => true,
        Some(current) if head.version - current.tree.version <= MAX_FETCHED_CHANGES => {
            match apply_changes(process, &current.tree, head.version).await {
                Some(tree) => {
                    apply(process, tree);
                    true
                }
                None => read_whole_tree(process).await,
            }
        }
        _ => read_whole_tree(process).await,
    }
}

/// Applies the changes up to a version to `tree`; `None` if one of them cannot be read or applied.
async fn apply_changes(process: &Process, tree: &Tree, to: u64) -> Option<Tree> {
    let keys: Vec<String> = (tree.version + 1..=to).map(log_key).collect();
    let read = Read {
        keys: keys.clone(),
        prefixes: Vec::new(),
    };
    let rows = process.store.read(read).await.ok()?;
    let mut tree = tree.clone();
    for key in keys {
        let change: Change = store::parse(store::find(&rows, &key))?;
        tree = tree.apply(&change.edits).ok()?;
    }
    Some(tree)
}

async fn read_whole_tree(process: &Arc<Process>) -> bool {
    let read = Read {
        keys: vec![HEAD_KEY.to_owned()],
        prefixes: vec![NODE_PREFIX.to_owned()],
    };
    let Ok(rows) = process.store.read(read).await else {
        return false;
    };
    let head: Head = store::parse(store::find(&rows, HEAD_KEY)).unwrap_or_default();
    let nodes: Vec<Node> = rows.iter().filter_map(parse_node).collect();
    apply(process, Tree::new(head.version, nodes));
    true
}

fn parse_node(row: &Row) -> Option<Node> {
    row.key.strip_prefix(NODE_PREFIX)?;
    store::parse(Some(row))
}

/// Returns the row key of a change.
pub fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

/// Applies the highest version among the peers, and closes the endpoints that they report as closed. Used
/// by a new daemon while the table is unavailable.
async fn update_from_peers(process: &Arc<Process>) {
    let addresses = process.members.addresses(process.addresses.peers);
    let fetches = addresses
        .into_iter()
        .map(|address| fetch_from_peer(process, address));
    let trees = futures::future::join_all(fetches).await;
    let trees: Vec<wire::Tree> = trees.into_iter().flatten().collect();
    for closed in trees.iter().flat_map(|tree| &tree.closed) {
        let id = Id {
            data_centre: closed.data_centre.as_str().into(),
            number: closed.endpoint,
        };
        process.gates.close(&id, closed.number);
    }
    if let Some(tree) = trees.into_iter().max_by_key(|tree| tree.version) {
        apply(process, from_wire(tree));
    }
}

/// Fetches the settings of a peer; `None` if it has none or the call fails.
pub async fn fetch_from_peer(process: &Process, address: SocketAddr) -> Option<wire::Tree> {
    let mut client = process.members.client(address)?;
    let call = client.fetch(wire::FetchRequest {});
    let tree = match tokio::time::timeout(FETCH_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => {
            log::warn!(peer:% = address, status:%; "could not fetch the settings from a peer");
            return None;
        }
        Err(_) => {
            log::warn!(peer:% = address; "fetching the settings from a peer timed out");
            return None;
        }
    };
    // a daemon that is not ready replies with version 0 and no nodes
    (tree.version > 0 || !tree.nodes.is_empty()).then_some(tree)
}

/// Puts a version into force, unless the current one is at least as new.
pub fn apply(process: &Arc<Process>, tree: Tree) {
    let version = tree.version;
    let applied = process
        .current
        .apply(tree, |snapshot| update_pools(process, &snapshot.resolved));
    if !applied {
        return;
    }
    process
        .metrics
        .settings_version
        .set(i64::try_from(version).unwrap_or(i64::MAX));
    process
        .timeline
        .record(Kind::SettingsApplied, format!("settings/{version}"), "");
    log::info!("settings version {version} is in force");
}

/// Starts the pools of new services, drops those of removed ones, and applies the settings to all.
fn update_pools(process: &Process, resolved: &ResolvedTree) {
    let mut pools = process.pools();
    pools.retain(|pool| resolved.service(&pool.service).is_some());
    for service in &resolved.services {
        if let Err(at) = pools.binary_search_by(|pool| pool.service.as_str().cmp(&service.name)) {
            pools.insert(at, start_pool(process, &service.name));
        }
    }
    for pool in pools.iter() {
        pool.apply(resolved);
    }
}

fn start_pool(process: &Process, service: &str) -> Arc<Pool> {
    let pool = Arc::new(Pool::new(
        service,
        process.gates.clone(),
        &process.settings.daemon.data_centre,
        process.settings.limits.queue_requests,
    ));
    // returns once the pool has been dropped
    tokio::spawn(Pool::run_queue(Arc::downgrade(&pool)));
    pool
}

pub fn from_wire(tree: wire::Tree) -> Tree {
    let nodes = tree
        .nodes
        .into_iter()
        .map(|node| Node {
            path: node.path,
            values: node.values.into_iter().collect(),
        })
        .collect();
    Tree::new(tree.version, nodes)
}

pub fn to_wire(tree: &Tree) -> wire::Tree {
    wire::Tree {
        version: tree.version,
        closed: Vec::new(),
        nodes: tree
            .nodes
            .iter()
            .map(|node| wire::Node {
                path: node.path.clone(),
                values: node.values.iter().cloned().collect(),
            })
            .collect(),
    }
}
