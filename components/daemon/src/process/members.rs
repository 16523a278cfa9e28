//! The other daemons that this one knows, with what they last reported. This is soft state: losing it only
//! makes decisions less accurate.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cloud::vms::Vm;
use protocol::Incarnation;
use tonic::transport::{Channel, Endpoint};
use wire::{Heartbeat, Load, Usage, peer_client::PeerClient};

/// A known daemon.
#[derive(Clone, Debug)]
pub struct Member {
    pub incarnation: Incarnation,
    /// The address for peers and operators.
    pub address: SocketAddr,
    pub data_centre: String,
    /// When the last heartbeat was received; `None` if the daemon is only known from others.
    pub last_heartbeat: Option<Instant>,
    /// When the last heartbeat was received or, if there was none, when this daemon learnt of the member.
    pub known_since: Instant,
    /// The settings version that it reported as in force.
    pub settings_version: u64,
    /// Whether it reported that it is shutting down.
    pub leaving: bool,
    /// Its dispatches, by endpoint.
    pub loads: Vec<Load>,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by incarnation.
    members: Vec<Member>,
    /// Entry VMs in the last VM list.
    vms: Vec<Vm>,
    /// All addresses that have ever been in the VM list, sorted.
    ever_listed: Vec<SocketAddr>,
    /// The highest usage counters received, sorted by member and group.
    usages: Vec<((Incarnation, String), u64)>,
    channels: Vec<(SocketAddr, Channel)>,
}

#[derive(Debug)]
pub struct Members {
    incarnation: Incarnation,
    seeds: Vec<SocketAddr>,
    unreachable_after: Duration,
    state: Mutex<State>,
}

/// Maximum number of peers that get a heartbeat per round; with more members the rounds rotate.
pub const MAX_HEARTBEATS_PER_ROUND: usize = 8;
/// How long a member is kept that sends no heartbeats and is not in the VM list.
const MEMBER_RETENTION: Duration = Duration::from_secs(600);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval and timeout of keep-alive probes while a call to a peer is pending. A call fails when its peer
/// stops responding rather than after a fixed time, because the duration of a call depends on the size of
/// the response and on the link.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

impl Members {
    /// Members of which only the seeds' addresses are known.
    pub fn new(
        incarnation: Incarnation,
        seeds: Vec<SocketAddr>,
        unreachable_after: Duration,
    ) -> Self {
        Self {
            incarnation,
            seeds,
            unreachable_after,
            state: Mutex::default(),
        }
    }

    /// Records a heartbeat or the reply to one. Returns the usage that is new in it.
    pub fn receive_heartbeat(&self, heartbeat: &Heartbeat) -> Vec<Usage> {
        let Some((incarnation, address, data_centre)) = parse_member(heartbeat.member.as_ref())
        else {
            return Vec::new();
        };
        if incarnation == self.incarnation {
            return Vec::new();
        }
        let mut state = self.lock();
        // an address that answers as another incarnation shows that the old process is gone
        state
            .members
            .retain(|other| other.address != address || other.incarnation == incarnation);
        let now = Instant::now();
        let member = Member {
            incarnation,
            address,
            data_centre,
            last_heartbeat: Some(now),
            known_since: now,
            settings_version: heartbeat.settings_version,
            leaving: heartbeat.leaving,
            loads: heartbeat.loads.clone(),
        };
        match find(&state.members, incarnation) {
            Ok(at) => state.members[at] = member,
            Err(at) => state.members.insert(at, member),
        }
        for known in &heartbeat.known {
            self.add_member(&mut state, known);
        }
        update_usage(&mut state, incarnation, &heartbeat.usages)
    }

    /// Adds a member that another daemon has advertised.
    pub fn add_advertised(&self, member: &wire::Member) {
        self.add_member(&mut self.lock(), member);
    }

    fn add_member(&self, state: &mut State, member: &wire::Member) {
        let Some((incarnation, address, data_centre)) = parse_member(Some(member)) else {
            return;
        };
        let address_known = state.members.iter().any(|other| other.address == address);
        if incarnation == self.incarnation || address_known {
            return;
        }
        if let Err(at) = find(&state.members, incarnation) {
            let member = Member {
                incarnation,
                address,
                data_centre,
                last_heartbeat: None,
                known_since: Instant::now(),
                settings_version: 0,
                leaving: false,
                loads: Vec::new(),
            };
            state.members.insert(at, member);
        }
    }

    /// Records a VM list. Removes members that are not in it and have not sent a heartbeat for a while.
    pub fn update_vms(&self, vms: Vec<Vm>) {
        let mut state = self.lock();
        let listed = |address| vms.iter().any(|vm| vm.address == address);
        state.members.retain(|member| {
            let last_seen = member.last_heartbeat.unwrap_or(member.known_since);
            listed(member.address) || last_seen.elapsed() < MEMBER_RETENTION
        });
        let State {
            members, usages, ..
        } = &mut *state;
        usages.retain(|((incarnation, _), _)| find(members, *incarnation).is_ok());
        for vm in &vms {
            if let Err(at) = state.ever_listed.binary_search(&vm.address) {
                state.ever_listed.insert(at, vm.address);
            }
        }
        state.vms = vms;
    }

    /// Returns all members, reachable or not.
    pub fn all(&self) -> Vec<Member> {
        self.lock().members.clone()
    }

    /// Returns the members with a recent heartbeat.
    pub fn reachable(&self) -> Vec<Member> {
        let mut members = self.all();
        members.retain(|member| self.is_reachable(member));
        members
    }

    /// Whether a member has sent a recent heartbeat.
    pub fn is_reachable(&self, member: &Member) -> bool {
        member
            .last_heartbeat
            .is_some_and(|last_heartbeat| last_heartbeat.elapsed() < self.unreachable_after)
    }

    /// Whether an incarnation is this daemon or has sent a recent heartbeat.
    pub fn is_incarnation_reachable(&self, incarnation: Incarnation) -> bool {
        incarnation == self.incarnation
            || self
                .reachable()
                .iter()
                .any(|member| member.incarnation == incarnation)
    }

    /// Whether a daemon's VM is known to be gone: it is not in the VM list, and one of these holds:
    ///
    /// - it was in the list before;
    /// - the daemon's last heartbeat or, if there was none, its first mention by another daemon is longer ago
    ///   than `lag`, by which the list may be behind.
    pub fn is_gone(&self, address: SocketAddr, lag: Duration) -> bool {
        let state = self.lock();
        let known = state.members.iter().find(|m| m.address == address);
        // an empty list means that none has been read yet
        !state.vms.is_empty()
            && state.vms.iter().all(|vm| vm.address != address)
            && (state.ever_listed.binary_search(&address).is_ok()
                || known.is_some_and(|member| member.known_since.elapsed() > lag))
    }

    /// Returns the addresses for a round of heartbeats: all, or [`MAX_HEARTBEATS_PER_ROUND`] of them in
    /// rotation.
    pub fn heartbeat_targets(&self, own: SocketAddr, round: usize) -> Vec<SocketAddr> {
        let mut targets = self.addresses(own);
        if targets.len() > MAX_HEARTBEATS_PER_ROUND {
            let start = (round * MAX_HEARTBEATS_PER_ROUND) % targets.len();
            targets.rotate_left(start);
            targets.truncate(MAX_HEARTBEATS_PER_ROUND);
        }
        targets
    }

    /// Returns all addresses at which a daemon may be: those of members, seeds and entry VMs, without `own`.
    pub fn addresses(&self, own: SocketAddr) -> Vec<SocketAddr> {
        let state = self.lock();
        let mut addresses: Vec<SocketAddr> = state
            .members
            .iter()
            .map(|member| member.address)
            .chain(self.seeds.iter().copied())
            .chain(state.vms.iter().map(|vm| vm.address))
            .filter(|address| *address != own)
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns a client for a daemon, over a connection that is kept open.
    pub fn client(&self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let mut state = self.lock();
        let at = match state
            .channels
            .binary_search_by_key(&address, |(other, _)| *other)
        {
            Ok(at) => at,
            Err(at) => {
                let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
                let channel = endpoint
                    .connect_timeout(CONNECT_TIMEOUT)
                    .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
                    .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
                    .connect_lazy();
                state.channels.insert(at, (address, channel));
                at
            }
        };
        let client = PeerClient::new(state.channels[at].1.clone());
        Some(client.max_decoding_message_size(wire::MAX_MESSAGE_BYTES))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(members: &[Member], incarnation: Incarnation) -> Result<usize, usize> {
    members.binary_search_by_key(&incarnation, |member| member.incarnation)
}

fn parse_member(member: Option<&wire::Member>) -> Option<(Incarnation, SocketAddr, String)> {
    let member = member?;
    Some((
        Incarnation(member.incarnation),
        member.address.parse().ok()?,
        member.data_centre.clone(),
    ))
}

/// Updates the usage counters of a member and returns the increases. Counters never decrease, so the
/// highest one received is right in whatever order messages arrive.
fn update_usage(state: &mut State, incarnation: Incarnation, usages: &[Usage]) -> Vec<Usage> {
    let mut new = Vec::new();
    for usage in usages {
        let key = (incarnation, usage.group.clone());
        match state.usages.binary_search_by(|(other, _)| other.cmp(&key)) {
            Ok(at) if usage.work > state.usages[at].1 => {
                new.push(Usage {
                    group: usage.group.clone(),
                    work: usage.work - state.usages[at].1,
                });
                state.usages[at].1 = usage.work;
            }
            Ok(_) => {}
            // usage from before this daemon knew the peer is not charged
            Err(at) => state.usages.insert(at, (key, usage.work)),
        }
    }
    new
}
