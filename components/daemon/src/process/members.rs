//! The daemons that this one knows, with what they last said. Soft state: only the quality of
//! choices suffers when it is lost.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cloud::vms::Vm;
use protocol::Incarnation;
use tonic::transport::{Channel, Endpoint};
use wire::{Heartbeat, Load, Usage, peer_client::PeerClient};

/// A daemon that this one has heard of.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Where peers and operators reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// When it was last heard; none when others only told of it.
    pub heard: Option<Instant>,
    /// When this daemon first knew it.
    pub known: Instant,
    /// The settings version it said is in force there.
    pub version: u64,
    /// Whether it said that it is stopping.
    pub leaving: bool,
    /// Its dispatches, by endpoint.
    pub loads: Vec<Load>,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by incarnation.
    members: Vec<Member>,
    /// Entry VMs of the last list that was read.
    vms: Vec<Vm>,
    /// Every address that was on the list at some time, sorted.
    listed: Vec<SocketAddr>,
    /// The highest usage counters heard, by member and group.
    usages: Vec<((Incarnation, String), u64)>,
    channels: Vec<(SocketAddr, Channel)>,
}

/// The members that a daemon knows.
#[derive(Debug)]
pub struct Members {
    me: Incarnation,
    seeds: Vec<SocketAddr>,
    silent_after: Duration,
    state: Mutex<State>,
}

/// How many peers get a heartbeat in one round; with more members the rounds rotate.
pub const FAN_OUT: usize = 8;
/// How long an unheard member that no list names is kept.
const FORGET: Duration = Duration::from_secs(600);
const CONNECT: Duration = Duration::from_millis(500);
/// A peer that owes an answer is asked for a sign of life so often, and given up when none comes for as long: silence
/// ends a call, as how long an answer takes is up to its size and the link.
const PROBE: Duration = Duration::from_secs(1);

impl Members {
    /// Knows only the seeds.
    pub fn new(me: Incarnation, seeds: Vec<SocketAddr>, silent_after: Duration) -> Self {
        Self {
            me,
            seeds,
            silent_after,
            state: Mutex::default(),
        }
    }

    /// Takes a heartbeat that came, or the answer to one, and gives the usage that is new in it.
    pub fn receive(&self, beat: &Heartbeat) -> Vec<Usage> {
        let Some((incarnation, address, data_centre)) = parts(beat.member.as_ref()) else {
            return Vec::new();
        };
        if incarnation == self.me {
            return Vec::new();
        }
        let mut state = self.lock();
        // an address that answers as another incarnation says that the old one is gone
        state
            .members
            .retain(|other| other.address != address || other.incarnation == incarnation);
        let now = Instant::now();
        let member = Member {
            incarnation,
            address,
            data_centre,
            heard: Some(now),
            known: now,
            version: beat.settings_version,
            leaving: beat.leaving,
            loads: beat.loads.clone(),
        };
        match find(&state.members, incarnation) {
            Ok(at) => state.members[at] = member,
            Err(at) => state.members.insert(at, member),
        }
        for known in &beat.known {
            self.learn_into(&mut state, known);
        }
        fresh_usage(&mut state, incarnation, &beat.usages)
    }

    /// Takes what another daemon said of a member.
    pub fn learn(&self, member: &wire::Member) {
        self.learn_into(&mut self.lock(), member);
    }

    fn learn_into(&self, state: &mut State, member: &wire::Member) {
        let Some((incarnation, address, data_centre)) = parts(Some(member)) else {
            return;
        };
        let taken = state.members.iter().any(|other| other.address == address);
        if incarnation == self.me || taken {
            return;
        }
        if let Err(at) = find(&state.members, incarnation) {
            let member = Member {
                incarnation,
                address,
                data_centre,
                heard: None,
                known: Instant::now(),
                version: 0,
                leaving: false,
                loads: Vec::new(),
            };
            state.members.insert(at, member);
        }
    }

    /// Takes a VM list and forgets members that nobody names any more.
    pub fn list(&self, vms: Vec<Vm>) {
        let mut state = self.lock();
        let listed = |address| vms.iter().any(|vm| vm.address == address);
        state.members.retain(|member| {
            let last = member.heard.unwrap_or(member.known);
            listed(member.address) || last.elapsed() < FORGET
        });
        let State {
            members, usages, ..
        } = &mut *state;
        usages.retain(|((incarnation, _), _)| find(members, *incarnation).is_ok());
        for vm in &vms {
            if let Err(at) = state.listed.binary_search(&vm.address) {
                state.listed.insert(at, vm.address);
            }
        }
        state.vms = vms;
    }

    /// All members, heard or not.
    pub fn all(&self) -> Vec<Member> {
        self.lock().members.clone()
    }

    /// The members heard lately.
    pub fn live(&self) -> Vec<Member> {
        let mut members = self.all();
        members.retain(|member| self.is_live(member));
        members
    }

    /// Whether a member was heard lately.
    pub fn is_live(&self, member: &Member) -> bool {
        member
            .heard
            .is_some_and(|heard| heard.elapsed() < self.silent_after)
    }

    /// Whether an incarnation was heard lately.
    pub fn lives(&self, incarnation: Incarnation) -> bool {
        incarnation == self.me
            || self
                .live()
                .iter()
                .any(|member| member.incarnation == incarnation)
    }

    /// Whether a daemon's VM is certainly gone: the list, which lags, doesn't name it, although it
    /// did, or although the list's whole lag has passed since this daemon knew of it.
    pub fn is_gone(&self, address: SocketAddr, lag: Duration) -> bool {
        let state = self.lock();
        let known = state.members.iter().find(|m| m.address == address);
        // a list that names nobody was never read
        !state.vms.is_empty()
            && state.vms.iter().all(|vm| vm.address != address)
            && (state.listed.binary_search(&address).is_ok()
                || known.is_some_and(|member| member.known.elapsed() > lag))
    }

    /// The addresses for a round of heartbeats: all when they are few, else a part that rotates.
    pub fn targets(&self, own: SocketAddr, round: usize) -> Vec<SocketAddr> {
        let mut targets = self.addresses(own);
        if targets.len() > FAN_OUT {
            let start = (round * FAN_OUT) % targets.len();
            targets.rotate_left(start);
            targets.truncate(FAN_OUT);
        }
        targets
    }

    /// Every address at which a daemon may be: members, seeds and entry VMs.
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

    /// A client to a daemon, over a connection that is kept.
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
                    .connect_timeout(CONNECT)
                    .http2_keep_alive_interval(PROBE)
                    .keep_alive_timeout(PROBE)
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

fn parts(member: Option<&wire::Member>) -> Option<(Incarnation, SocketAddr, String)> {
    let member = member?;
    Some((
        Incarnation(member.incarnation),
        member.address.parse().ok()?,
        member.data_centre.clone(),
    ))
}

/// Counters only go up, so the highest one heard holds, whatever the order of the messages.
fn fresh_usage(state: &mut State, incarnation: Incarnation, usages: &[Usage]) -> Vec<Usage> {
    let mut fresh = Vec::new();
    for usage in usages {
        let key = (incarnation, usage.group.clone());
        match state.usages.binary_search_by(|(other, _)| other.cmp(&key)) {
            Ok(at) if usage.work > state.usages[at].1 => {
                fresh.push(Usage {
                    group: usage.group.clone(),
                    work: usage.work - state.usages[at].1,
                });
                state.usages[at].1 = usage.work;
            }
            Ok(_) => {}
            // what a peer did before this daemon knew it is no debt of today
            Err(at) => state.usages.insert(at, (key, usage.work)),
        }
    }
    fresh
}
