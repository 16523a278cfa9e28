//! All endpoints, by service, as the last update of the directory left them.

use std::sync::Arc;

use parking_lot::{Mutex, RwLock};

use super::{Id, Profile, Target, subset};
use crate::{edge::Change, version::Configuration};

/// The endpoints of one service, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: Arc<Vec<Arc<Target>>>,
    used: Arc<Vec<Arc<Target>>>,
}

impl Fleet {
    /// Its endpoints.
    #[must_use]
    pub fn targets(&self) -> &[Arc<Target>] {
        &self.targets
    }

    /// Those of them that this process sends requests to.
    #[must_use]
    pub fn used(&self) -> &[Arc<Target>] {
        &self.used
    }
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct Registry {
    /// All listed endpoints, sorted by name.
    targets: RwLock<Arc<Vec<Arc<Target>>>>,
    /// The same by service, sorted by its name. Services are few, endpoints many.
    fleets: RwLock<Vec<(Arc<str>, Fleet)>>,
    /// The same by their short numbers, sorted by these.
    numbered: RwLock<Vec<(u32, Arc<Target>)>>,
    /// Which endpoints of large fleets this process uses.
    choice: subset::Choice,
    /// Only one update at a time.
    updating: Mutex<()>,
}

impl Registry {
    /// No endpoints yet, for a process in a data centre.
    #[must_use]
    pub fn new(process: &str, data_centre: &str) -> Self {
        Self {
            choice: subset::Choice::new(process, data_centre),
            ..Self::default()
        }
    }

    /// An endpoint by its short number.
    #[must_use]
    pub fn find(&self, short: u32) -> Option<Arc<Target>> {
        let numbered = self.numbered.read();
        let at = numbered.binary_search_by_key(&short, |(short, _)| *short);
        at.ok().map(|at| Arc::clone(&numbered[at].1))
    }

    /// The endpoints of a service.
    #[must_use]
    pub fn fleet(&self, service: &str) -> Fleet {
        let fleets = self.fleets.read();
        let at = fleets.binary_search_by(|(name, _)| (**name).cmp(service));
        at.map(|at| fleets[at].1.clone()).unwrap_or_default()
    }

    /// All endpoints.
    #[must_use]
    pub fn all(&self) -> Arc<Vec<Arc<Target>>> {
        Arc::clone(&self.targets.read())
    }

    /// Takes an update. With `whole` the changes are all that there is, and what isn't among them is
    /// gone.
    pub fn apply(&self, changes: &[Change], whole: bool, version: Option<&Configuration>) {
        let _updating = self.updating.lock();
        let mut targets: Vec<Arc<Target>> = self.targets.read().as_ref().clone();
        if whole {
            let mut present: Vec<&Id> = changes.iter().filter_map(Change::present).collect();
            present.sort_unstable();
            targets.retain(|target| {
                let listed = present.binary_search(&&target.id).is_ok();
                if !listed {
                    leave(target);
                }
                listed
            });
        }
        for change in changes {
            match change {
                Change::Present(profile) => present(&mut targets, profile, version),
                Change::Gone(id) => gone(&mut targets, id),
            }
        }
        self.publish(targets);
    }

    fn publish(&self, targets: Vec<Arc<Target>>) {
        let mut fleets: Vec<(Arc<str>, Vec<Arc<Target>>)> = Vec::new();
        for target in &targets {
            let service = target.with(|state| Arc::clone(&state.profile.service));
            match fleets.binary_search_by(|(name, _)| name.cmp(&service)) {
                Ok(at) => fleets[at].1.push(Arc::clone(target)),
                Err(at) => fleets.insert(at, (service, vec![Arc::clone(target)])),
            }
        }
        *self.fleets.write() = fleets
            .into_iter()
            .map(|(name, targets)| (name, self.fleet_of(targets)))
            .collect();
        let mut numbered: Vec<(u32, Arc<Target>)> = targets
            .iter()
            .map(|target| (target.short, Arc::clone(target)))
            .collect();
        numbered.sort_unstable_by_key(|(short, _)| *short);
        *self.numbered.write() = numbered;
        *self.targets.write() = Arc::new(targets);
    }

    fn fleet_of(&self, targets: Vec<Arc<Target>>) -> Fleet {
        let targets = Arc::new(targets);
        let used = match self.choice.of(&targets) {
            Some(used) => Arc::new(used),
            None => Arc::clone(&targets),
        };
        Fleet { targets, used }
    }
}

fn present(targets: &mut Vec<Arc<Target>>, profile: &Profile, version: Option<&Configuration>) {
    match targets.binary_search_by(|target| target.id.cmp(&profile.id)) {
        Ok(at) => update(&targets[at], profile),
        Err(at) => {
            log::info!(
                endpoint = &*profile.id.0, service = &*profile.service, state:% = profile.state,
                address:% = profile.address, data_centre = &*profile.data_centre;
                "an endpoint is listed"
            );
            let memory = version
                .and_then(|version| version.service(&profile.service))
                .and_then(|service| service.engines.as_ref())
                .map_or(0, |engines| engines.memory_tokens);
            let target = Target::new(profile.clone(), memory);
            targets.insert(at, Arc::new(target));
        }
    }
}

fn update(target: &Target, profile: &Profile) {
    let before = target.update(profile);
    if before.state != profile.state {
        log::info!(
            endpoint = &*profile.id.0, before:% = before.state, now:% = profile.state;
            "an endpoint changed its state"
        );
    }
    if let (Some(before), Some(now)) = (before.stage, profile.stage)
        && before != now
    {
        log::info!(endpoint = &*profile.id.0, before:%, now:%; "an engine changed its stage");
    }
}

fn gone(targets: &mut Vec<Arc<Target>>, id: &Id) {
    if let Ok(at) = targets.binary_search_by(|target| target.id.cmp(id)) {
        leave(&targets.remove(at));
    }
}

fn leave(target: &Target) {
    target.with(|state| state.listed = false);
    target.forget_links();
    log::info!(endpoint = &*target.id.0; "an endpoint is no longer listed");
}
