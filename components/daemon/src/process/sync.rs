//! Keeps the settings in force: by polling the table's head and by asking peers.
//!
//! Accepted means committed. A daemon never applies a lower version than the one in force. See
//! `docs/DESIGN.md#settings`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cloud::table::{Read, Row};
use serde::{Deserialize, Serialize};
use settings::tree::{Change, Node, Tree};
use telemetry::timeline::Kind;
use tokio::time::Instant;

use super::{
    Process,
    gates::Id,
    pool::Pool,
    registration,
    store::{self, rows},
};

/// Key of the head row.
pub const HEAD: &str = "settings/head";
/// Prefix of the nodes' rows.
pub const NODES: &str = "settings/node/";
/// Prefix of the changes' rows.
pub const LOG: &str = "settings/log/";
/// Up to this many changes are fetched one by one; more are fetched as a whole tree.
const MOST_CHANGES: u64 = 64;
/// Of a data centre's daemons, this many poll the head at the full pace; the others hear of it from
/// them and poll slowly.
const POLLERS: usize = 2;
const SLOW_FACTOR: u32 = 5;
/// The longest time for a whole tree from a peer: the largest that was measured, 5.6 MB at 45,000 groups, comes in that
/// at 2 Mbit/s. A peer that falls silent is given up sooner, see `super::members`.
const FETCH: Duration = Duration::from_secs(25);

/// The head row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest version.
    pub version: u64,
    /// The token of the change that made it.
    pub token: u64,
}

/// Polls the head as long as the process lives.
pub async fn keep(process: Arc<Process>) {
    let pause: Duration = process.settings.control.settings_poll.into();
    let mut slow_until = Instant::now();
    let mut registration = process.registration.subscribe();
    // a daemon dispatches only after it has registered, or else on what its peers tell it
    let _ = registration
        .wait_for(|state| *state != registration::State::Trying)
        .await;
    loop {
        let first = process.current.get().is_none();
        let registered = *process.registration.borrow() == registration::State::Registered;
        match () {
            () if first && !registered => from_peers(&process).await,
            () if !first && !is_poller(&process) && Instant::now() < slow_until => {}
            () => {
                slow_until = Instant::now() + pause * SLOW_FACTOR;
                from_table(&process).await;
            }
        }
        let jitter = rand::random_range(0.8..1.2);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Whether this daemon is among the first of its data centre by incarnation.
pub fn is_poller(process: &Process) -> bool {
    let before = process
        .members
        .live()
        .iter()
        .filter(|member| member.data_centre == process.settings.daemon.data_centre)
        .filter(|member| member.incarnation < process.me)
        .count();
    before < POLLERS
}

/// Brings the newest version from the table; says whether the table answered.
pub async fn from_table(process: &Arc<Process>) -> bool {
    let Ok(head) = process.store.read(rows(&[HEAD])).await else {
        return false;
    };
    let head: Head = store::value(store::find(&head, HEAD)).unwrap_or_default();
    match process.current.get() {
        Some(current) if head.version <= current.tree.version => true,
        Some(current) if head.version - current.tree.version <= MOST_CHANGES => {
            match replay(process, &current.tree, head.version).await {
                Some(tree) => {
                    apply(process, tree);
                    true
                }
                None => whole(process).await,
            }
        }
        _ => whole(process).await,
    }
}

/// The tree after the changes up to a version; none when one of them can't be had.
async fn replay(process: &Process, tree: &Tree, to: u64) -> Option<Tree> {
    let keys: Vec<String> = (tree.version + 1..=to).map(log_key).collect();
    let read = Read {
        keys: keys.clone(),
        prefixes: Vec::new(),
    };
    let rows = process.store.read(read).await.ok()?;
    let mut tree = tree.clone();
    for key in keys {
        let change: Change = store::value(store::find(&rows, &key))?;
        tree = tree.apply(&change.edits).ok()?;
    }
    Some(tree)
}

async fn whole(process: &Arc<Process>) -> bool {
    let read = Read {
        keys: vec![HEAD.to_owned()],
        prefixes: vec![NODES.to_owned()],
    };
    let Ok(rows) = process.store.read(read).await else {
        return false;
    };
    let head: Head = store::value(store::find(&rows, HEAD)).unwrap_or_default();
    let nodes: Vec<Node> = rows.iter().filter_map(node).collect();
    apply(process, Tree::new(head.version, nodes));
    true
}

fn node(row: &Row) -> Option<Node> {
    row.key.strip_prefix(NODES)?;
    store::value(Some(row))
}

/// The key of a change's row.
pub fn log_key(version: u64) -> String {
    format!("{LOG}{version:012}")
}

/// While the table is down a new daemon takes the highest version of its peers.
async fn from_peers(process: &Arc<Process>) {
    let addresses = process.members.addresses(process.addresses.peers);
    let asked = addresses.into_iter().map(|address| fetch(process, address));
    let trees = futures::future::join_all(asked).await;
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

/// Fetches the settings of a peer; none when it has none or doesn't answer.
pub async fn fetch(process: &Process, address: SocketAddr) -> Option<wire::Tree> {
    let mut client = process.members.client(address)?;
    let call = client.fetch(wire::FetchRequest {});
    let tree = match tokio::time::timeout(FETCH, call).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => {
            log::warn!(peer:% = address, status:%; "a peer's settings were not read");
            return None;
        }
        Err(_) => {
            log::warn!(peer:% = address; "a peer's settings did not come in time");
            return None;
        }
    };
    // a daemon that isn't ready answers with no nodes and version 0
    (tree.version > 0 || !tree.nodes.is_empty()).then_some(tree)
}

/// Puts a version in force.
pub fn apply(process: &Arc<Process>, tree: Tree) {
    let version = tree.version;
    let Some(snapshot) = process.current.apply(tree) else {
        return;
    };
    {
        let mut pools = process.pools();
        pools.retain(|pool| snapshot.resolved.service(&pool.service).is_some());
        for service in &snapshot.resolved.services {
            if let Err(at) = pools.binary_search_by(|pool| pool.service.as_str().cmp(&service.name))
            {
                pools.insert(at, open_pool(process, &service.name));
            }
        }
    }
    for pool in process.all_pools() {
        pool.apply(&snapshot.resolved);
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

fn open_pool(process: &Process, service: &str) -> Arc<Pool> {
    let pool = Arc::new(Pool::new(
        service,
        process.gates.clone(),
        &process.settings.daemon.data_centre,
        process.settings.limits.queue_requests,
    ));
    // ends by itself when the pool is gone
    tokio::spawn(Pool::pump(Arc::downgrade(&pool)));
    pool
}

/// A tree as it came from a peer.
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

/// A tree as it is sent.
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
