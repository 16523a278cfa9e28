//! Versions of the settings tree.

use std::sync::{Arc, PoisonError, RwLock};

use settings::tree::{Tree, resolve};

/// One version of the settings, as stored and as resolved for the daemon.
#[derive(Debug)]
pub struct Snapshot {
    /// Settings tree as operators set it.
    pub tree: Tree,
    /// Typed values, with defaults filled in.
    pub resolved: resolve::ResolvedTree,
}

impl Snapshot {
    fn new(tree: Tree) -> Self {
        let resolved = resolve::ResolvedTree::new(&tree);
        Self { tree, resolved }
    }
}

/// The current version of the settings; it only increases.
#[derive(Debug)]
pub struct Current(RwLock<Option<Arc<Snapshot>>>);

impl Current {
    /// Creates it without a version; the daemon isn't ready until the first is applied.
    pub fn new() -> Self {
        Self(RwLock::new(None))
    }

    /// Returns the current version, if there is one.
    pub fn get(&self) -> Option<Arc<Snapshot>> {
        self.0
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the number of the current version, 0 before the first.
    pub fn number(&self) -> u64 {
        self.get().map_or(0, |snapshot| snapshot.tree.version)
    }

    /// Applies a version, unless the current one is the same or newer. Returns whether it did.
    ///
    /// `prepare` runs before the version becomes visible, so that whatever a request looks up in it
    /// is in place by then. It must not read the current version.
    pub fn apply(&self, tree: Tree, prepare: impl FnOnce(&Snapshot)) -> bool {
        let next = Arc::new(Snapshot::new(tree));
        let mut current = self.0.write().unwrap_or_else(PoisonError::into_inner);
        match current.as_ref() {
            Some(old) if old.tree.version >= next.tree.version => false,
            _ => {
                prepare(&next);
                *current = Some(next);
                true
            }
        }
    }
}
