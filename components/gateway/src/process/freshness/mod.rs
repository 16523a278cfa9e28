//! The maximum age of what is known of the operators' lists.
//!
//! Each response of the store contains the time of its clock, and gateways send each other the latest such time at
//! which no newer change existed. A message may be delayed for any time, so when it is received says nothing about
//! its age; a process converts the store's time with the bounds from its own calls. See `docs/DESIGN.md#api-keys`.

#[cfg(test)]
mod tests;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clock::Instant;
use parking_lot::Mutex;
use protocol::millis;

use super::{Gateway, List};
use crate::{adapters::StoreTime, peer::Reader, request::access::Freshness};

/// Fraction of the time that operators allow for the removal of a key after which keys no longer count without a new
/// confirmation. The rest is a margin for clocks that run at different speeds.
const MAX_AGE_RATIO: f64 = 0.8;

/// Resolution of the store's times. The bounds from two readings of one clock can lie this far apart.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);

/// What a process has observed of the store's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreClock(Option<Observation>);

/// The bounds within which the store's clock read `time`.
#[derive(Clone, Copy, Debug)]
struct Observation {
    time: StoreTime,
    earliest: Instant,
    latest: Instant,
}

impl Observation {
    /// Returns the bounds for a later time.
    fn at(self, time: StoreTime) -> Self {
        let later = Duration::from_millis(time.0.saturating_sub(self.time.0));
        Self {
            time,
            earliest: self.earliest + later,
            latest: self.latest + later,
        }
    }
}

impl StoreClock {
    /// Learns from a response with the store's time to a call that was sent and received at these times. Returns whether
    /// it fits what was known; if not, the clocks have drifted apart or the store's was set, and it is learnt anew.
    pub fn observe(&mut self, time: StoreTime, sent: Instant, received: Instant) -> bool {
        let new = Observation {
            time,
            earliest: sent,
            latest: received,
        };
        let Some(known) = self.0 else {
            self.0 = Some(new);
            return true;
        };
        let later = time.max(known.time);
        let (known, new) = (known.at(later), new.at(later));
        let both = Observation {
            time: later,
            earliest: known.earliest.max(new.earliest),
            latest: known.latest.min(new.latest),
        };
        let overlap = both.earliest <= both.latest;
        self.0 = Some(if overlap { both } else { new });
        both.earliest <= both.latest + CLOCK_RESOLUTION
    }

    /// Whether the store has sent its time.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.0.is_some()
    }

    /// Returns the earliest time at which the store's clock can have read `time`; `None` if that is unknown.
    #[must_use]
    pub fn earliest(&self, time: StoreTime) -> Option<Instant> {
        let known = self.0?;
        match known.time.0.checked_sub(time.0) {
            Some(before) => known.earliest.checked_sub(Duration::from_millis(before)),
            None => Some(known.at(time).earliest),
        }
    }

    /// Estimates what the store's clock reads at an instant, in milliseconds; `None` if that is unknown.
    #[must_use]
    pub fn estimate_ms(&self, at: Instant) -> Option<u64> {
        let known = self.0?;
        let middle = known.earliest + (known.latest - known.earliest) / 2;
        let (after, before) = (at.duration_since(middle), middle.duration_since(at));
        Some((known.time.0 + millis(after)).saturating_sub(millis(before)))
    }
}

/// How recent the configuration in force is known to be.
#[derive(Debug, Default)]
pub struct Confirmation(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    clock: StoreClock,
    /// For each list the latest time of the store's clock at which no newer change existed.
    confirmed: [Option<StoreTime>; List::COUNT],
}

impl Confirmation {
    /// Records a response of the store, according to which the known state of a list was the newest at `time`.
    fn record_response(&self, list: List, time: StoreTime, sent: Instant, received: Instant) {
        let mut state = self.0.lock();
        if !state.clock.observe(time, sent, received) {
            log::warn!(time:%, confirmed:? = state.confirmed; "the store's clock was set or has drifted; learning it anew");
            state.confirmed = Default::default();
        }
        let confirmed = &mut state.confirmed[list.index()];
        *confirmed = (*confirmed).max(Some(time));
    }

    /// Records a time at which the known state of a list was the newest according to a peer. Ignored if the store's clock
    /// cannot have read it yet.
    fn confirm(&self, list: List, time: StoreTime, now: Instant) {
        let mut state = self.0.lock();
        let is_past = state
            .clock
            .earliest(time)
            .is_some_and(|earliest| earliest <= now);
        if is_past {
            let confirmed = &mut state.confirmed[list.index()];
            *confirmed = (*confirmed).max(Some(time));
        }
    }

    /// Returns how old the known state of a list can be at most; `None` if that is unknown.
    fn age(&self, list: List, now: Instant) -> Option<Duration> {
        let state = self.0.lock();
        let earliest = state.clock.earliest(state.confirmed[list.index()]?)?;
        Some(now.duration_since(earliest))
    }
}

impl Gateway {
    /// Records a response of the store to a call sent at `sent`, according to which the known state of a list was the newest
    /// at `as_of`.
    pub fn confirm_list(&self, list: List, as_of: StoreTime, sent: Instant) {
        self.confirmation
            .record_response(list, as_of, sent, Instant::now());
    }

    /// Records that a peer confirms a version to have been the newest.
    pub fn confirm_version(&self, version: u64, time: StoreTime) {
        let known = self.configuration().map_or(0, |known| known.version);
        if version > 0 && known >= version {
            self.confirmation
                .confirm(List::Configuration, time, Instant::now());
        }
    }

    /// Records that the known endpoints were the newest ones according to readers. The caller ensures that these have seen
    /// every removal since this process last read the list.
    pub fn confirm_endpoints(&self, readers: &[Reader]) {
        let known = self.last_changes.revision(List::Endpoints);
        if let Some(time) = self.peers.endpoints_confirmed(readers, known) {
            self.confirmation
                .confirm(List::Endpoints, time, Instant::now());
        }
    }

    /// Returns the latest time at which the known state of a list was the newest; `None` if that is unknown.
    pub fn confirmed(&self, list: List) -> Option<StoreTime> {
        self.confirmation.0.lock().confirmed[list.index()]
    }

    /// Returns how old the known state of a list can be at most; `None` if that is unknown.
    pub fn list_age(&self, list: List, now: Instant) -> Option<Duration> {
        self.confirmation.age(list, now)
    }

    /// Whether the store sends its time, so that the age of a list is unknown only until the list is read again.
    pub fn is_store_clock_known(&self) -> bool {
        self.confirmation.0.lock().clock.is_known()
    }

    /// Returns how old the configuration in force can be at most; `None` if that is unknown.
    pub fn configuration_age(&self, now: Instant) -> Option<Duration> {
        self.list_age(List::Configuration, now)
    }

    /// Returns what is known about the age of the configuration for a request that arrived at `arrived`.
    pub fn freshness(&self, arrived: Instant) -> Freshness {
        let max_age = self
            .bounds
            .read()
            .revocation_ms
            .map(|bound| bound.mul_f64(MAX_AGE_RATIO));
        let age = self.configuration_age(arrived);
        match max_age {
            Some(max_age) if age.is_none_or(|age| age > max_age) => Freshness::Unconfirmed,
            _ if self.is_behind() => Freshness::Outdated,
            _ => Freshness::Confirmed,
        }
    }

    /// Whether requests with a key can be accepted, if the configuration has keys at all.
    pub fn accepts_keys(&self) -> bool {
        let has_keys = self
            .configuration()
            .is_some_and(|known| known.keyring().is_some());
        !has_keys || self.freshness(Instant::now()) != Freshness::Unconfirmed
    }

    /// Whether a peer knows of a newer configuration.
    pub fn is_behind(&self) -> bool {
        let known = self.last_changes.revision(List::Configuration);
        self.peers.latest_revision(List::Configuration) > known
    }

    /// Returns the difference of this process's wall clock to the store's clock, in milliseconds; `None` if one of them
    /// is unknown.
    pub fn wall_clock_offset_ms(&self) -> Option<i64> {
        let store_ms = self
            .confirmation
            .0
            .lock()
            .clock
            .estimate_ms(Instant::now())?;
        let unix_ms = millis(SystemTime::now().duration_since(UNIX_EPOCH).ok()?);
        i64::try_from(unix_ms).ok()?.checked_sub_unsigned(store_ms)
    }

    /// Returns the Unix time in milliseconds. It is the store's clock with the median of the differences that gateways
    /// observe, as single wall clocks may be wrong. `None` before the store's clock is known.
    pub fn unix_ms(&self, at: Instant) -> Option<u64> {
        let store_ms = self.confirmation.0.lock().clock.estimate_ms(at)?;
        let own = self.wall_clock_offset_ms();
        let offset = self.peers.median_wall_clock_offset_ms(own)?;
        store_ms.checked_add_signed(offset)
    }
}
