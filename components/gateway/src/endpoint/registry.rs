//! Registry of all endpoints by service, as of the last update of the endpoint list.

use std::sync::Arc;

use parking_lot::{Mutex, RwLock};

use super::{
    Builds, BusySet, Id, IncarnationOrder, InterruptedSet, LostPaths, Profile, State, Target,
    subset,
};
use crate::adapters::Change;

/// Maximum number of changes in an update whose new endpoints are logged individually. Above the 60
/// endpoints on the lists of the first deployments; at each start the thousands of endpoints of a
/// large fleet would push all other lines out of the log.
const MAX_CHANGES_LOGGED_INDIVIDUALLY: usize = 100;

/// The endpoints of one service, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: Arc<Vec<Arc<Target>>>,
    subset: Arc<Vec<Arc<Target>>>,
}

impl Fleet {
    /// Returns all endpoints of the service.
    #[must_use]
    pub fn targets(&self) -> &[Arc<Target>] {
        &self.targets
    }

    /// Returns the endpoints that this process sends requests to.
    #[must_use]
    pub fn subset(&self) -> &[Arc<Target>] {
        &self.subset
    }

    /// Returns the number of endpoints of the subset to which this process can't open connections.
    #[must_use]
    pub fn count_unreachable(&self) -> usize {
        let is_unreachable =
            |target: &&Arc<Target>| target.with(|state| state.path.error().is_some());
        self.subset.iter().filter(is_unreachable).count()
    }
}

/// Registry of all endpoints.
#[derive(Debug, Default)]
pub struct Registry {
    /// All listed endpoints, sorted by name.
    targets: RwLock<Arc<Vec<Arc<Target>>>>,
    /// The same endpoints by service, sorted by the service's name. There are few services and many
    /// endpoints.
    fleets: RwLock<Vec<(Arc<str>, Fleet)>>,
    /// The same endpoints by short id, sorted by it.
    by_short_id: RwLock<Vec<(u32, Arc<Target>)>>,
    /// Selects the endpoints of large fleets that this process uses.
    selector: subset::Selector,
    /// Endpoints at which this process has requests in flight.
    busy: Arc<BusySet>,
    /// Endpoints that this process can't reach.
    lost_paths: Arc<LostPaths>,
    /// Endpoints that left requests of this process without an answer.
    interrupted: Arc<InterruptedSet>,
    /// Builds of the services, also of endpoints that are no longer listed.
    builds: Builds,
    /// Serializes updates.
    updating: Mutex<()>,
}

impl Registry {
    /// Creates an empty registry for a process in a data centre.
    #[must_use]
    pub fn new(process: &str, data_centre: &str) -> Self {
        Self {
            selector: subset::Selector::new(process, data_centre),
            ..Self::default()
        }
    }

    /// Returns the endpoint with a short id.
    #[must_use]
    pub fn find(&self, short_id: u32) -> Option<Arc<Target>> {
        let by_short_id = self.by_short_id.read();
        let index = by_short_id.binary_search_by_key(&short_id, |(short_id, _)| *short_id);
        index.ok().map(|index| Arc::clone(&by_short_id[index].1))
    }

    /// Whether another endpoint has been listed at the address of an endpoint since, so that this one has terminated.
    #[must_use]
    pub fn has_successor(&self, target: &Target) -> bool {
        target.is_terminated() || self.all().iter().any(|other| other.succeeds(target))
    }

    /// Returns the endpoints of a service.
    #[must_use]
    pub fn fleet(&self, service: &str) -> Fleet {
        let fleets = self.fleets.read();
        let index = fleets.binary_search_by(|(name, _)| (**name).cmp(service));
        index
            .map(|index| fleets[index].1.clone())
            .unwrap_or_default()
    }

    /// Returns the endpoints of each service, sorted by the service's name.
    #[must_use]
    pub fn fleets(&self) -> Vec<(Arc<str>, Fleet)> {
        self.fleets.read().clone()
    }

    /// Returns all endpoints, sorted by name.
    #[must_use]
    pub fn all(&self) -> Arc<Vec<Arc<Target>>> {
        Arc::clone(&self.targets.read())
    }

    /// Returns the endpoints at which this process has requests in flight, including those no
    /// longer listed.
    #[must_use]
    pub fn busy(&self) -> &BusySet {
        &self.busy
    }

    /// Returns the endpoints whose paths are lost.
    #[must_use]
    pub fn lost_paths(&self) -> Arc<LostPaths> {
        Arc::clone(&self.lost_paths)
    }

    /// Returns the endpoints that left requests of this process without an answer a short time ago.
    #[must_use]
    pub fn interrupted(&self) -> &InterruptedSet {
        &self.interrupted
    }

    /// Returns the builds that serve or have served lately.
    #[must_use]
    pub fn builds(&self) -> &Builds {
        &self.builds
    }

    /// Applies an update. With `full` the changes are the complete list, and endpoints that are
    /// not in it are removed. Returns the removed endpoints that had not announced that they were
    /// draining.
    pub fn apply(&self, changes: &[Change], full: bool) -> Vec<Arc<Target>> {
        let _updating = self.updating.lock();
        let mut targets: Vec<Arc<Target>> = self.targets.read().as_ref().clone();
        let mut gone = Vec::new();
        if full {
            let mut present: Vec<&Id> = changes.iter().filter_map(Change::present).collect();
            present.sort_unstable();
            let is_present = |target: &Arc<Target>| present.binary_search(&&target.id).is_ok();
            gone.extend(targets.extract_if(.., |target| !is_present(target)));
        }
        let log_each = changes.len() <= MAX_CHANGES_LOGGED_INDIVIDUALLY;
        if !log_each {
            log::info!(changes = changes.len(), whole = full, before = targets.len(); "many endpoints changed; new ones are not logged individually");
        }
        for change in changes {
            match change {
                Change::Present(profile) => gone.extend(self.put(&mut targets, profile, log_each)),
                Change::Gone(id) | Change::Unusable(id) => gone.extend(remove(&mut targets, id)),
            }
        }
        for target in &gone {
            unlist(target);
        }
        self.publish(targets);
        let was_ready =
            |target: &Arc<Target>| target.with(|state| state.profile.state == State::Ready);
        gone.retain(was_ready);
        gone
    }

    /// Adds or updates an endpoint from a list entry. Returns the previous incarnation if the entry
    /// replaces it.
    fn put(
        &self,
        targets: &mut Vec<Arc<Target>>,
        profile: &Profile,
        log_new: bool,
    ) -> Option<Arc<Target>> {
        match targets.binary_search_by(|target| target.id.cmp(&profile.id)) {
            Ok(index) => match targets[index]
                .with(|state| state.profile.compare_incarnation(profile))
            {
                IncarnationOrder::Same => update(&targets[index], profile),
                IncarnationOrder::Older => log::info!(
                    endpoint = &*profile.id.0, started = profile.started;
                    "ignoring a list entry of an earlier incarnation"
                ),
                IncarnationOrder::Newer => {
                    let previous = std::mem::replace(&mut targets[index], self.new_target(profile));
                    log::info!(
                        endpoint = &*profile.id.0, started = profile.started, address:% = profile.address;
                        "endpoint restarted"
                    );
                    previous.mark_terminated();
                    return Some(previous);
                }
            },
            Err(index) => {
                if log_new {
                    log::info!(
                        endpoint = &*profile.id.0, service = &*profile.service, build:% = profile.build, state:% = profile.state,
                        address:% = profile.address, data_centre = &*profile.data_centre,
                        stage:? = profile.stage, revocable = profile.revocable;
                        "endpoint listed"
                    );
                }
                targets.insert(index, self.new_target(profile));
            }
        }
        None
    }

    /// Creates a target without any history.
    fn new_target(&self, profile: &Profile) -> Arc<Target> {
        let (busy, lost_paths) = (Arc::clone(&self.busy), Arc::clone(&self.lost_paths));
        let interrupted = Arc::clone(&self.interrupted);
        Arc::new(Target::new(profile.clone(), busy, lost_paths, interrupted))
    }

    fn publish(&self, targets: Vec<Arc<Target>>) {
        self.builds.update(&targets);
        let mut fleets: Vec<(Arc<str>, Vec<Arc<Target>>)> = Vec::new();
        for target in &targets {
            let service = target.with(|state| Arc::clone(&state.profile.service));
            match fleets.binary_search_by(|(name, _)| name.cmp(&service)) {
                Ok(index) => fleets[index].1.push(Arc::clone(target)),
                Err(index) => fleets.insert(index, (service, vec![Arc::clone(target)])),
            }
        }
        *self.fleets.write() = fleets
            .into_iter()
            .map(|(name, targets)| (name, self.build_fleet(targets)))
            .collect();
        let mut by_short_id: Vec<(u32, Arc<Target>)> = targets
            .iter()
            .map(|target| (target.short_id, Arc::clone(target)))
            .collect();
        by_short_id.sort_unstable_by_key(|(short_id, _)| *short_id);
        *self.by_short_id.write() = by_short_id;
        *self.targets.write() = Arc::new(targets);
    }

    fn build_fleet(&self, targets: Vec<Arc<Target>>) -> Fleet {
        let targets = Arc::new(targets);
        let subset = match self.selector.select(&targets) {
            Some(subset) => Arc::new(subset),
            None => Arc::clone(&targets),
        };
        Fleet { targets, subset }
    }
}

fn update(target: &Target, profile: &Profile) {
    let before = target.update(profile);
    if before.state != profile.state {
        log::info!(
            endpoint = &*profile.id.0, before:% = before.state, now:% = profile.state;
            "endpoint state changed"
        );
    }
    if before.build != profile.build {
        log::warn!(
            endpoint = &*profile.id.0, before:% = before.build, now:% = profile.build;
            "the build of an endpoint changed without a restart"
        );
    }
    if let (Some(before), Some(now)) = (before.stage, profile.stage)
        && before != now
    {
        log::info!(endpoint = &*profile.id.0, before:%, now:%; "engine stage changed");
    }
}

fn remove(targets: &mut Vec<Arc<Target>>, id: &Id) -> Option<Arc<Target>> {
    let index = targets.binary_search_by(|target| target.id.cmp(id)).ok()?;
    Some(targets.remove(index))
}

fn unlist(target: &Target) {
    target.with(|state| state.listed = false);
    target.drop_idle_connections();
    log::info!(endpoint = &*target.id.0; "endpoint is no longer listed");
}
