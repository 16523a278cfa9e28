//! What lives as long as one version of the settings.

use std::sync::{Arc, PoisonError, RwLock};

use settings::tree::{Tree, resolve};

/// One version, as operators wrote it and as the daemon uses it.
#[derive(Debug)]
pub struct Snapshot {
    /// The tree.
    pub tree: Tree,
    /// The typed form.
    pub resolved: resolve::ResolvedTree,
}

impl Snapshot {
    fn new(tree: Tree) -> Self {
        let resolved = resolve::ResolvedTree::new(&tree);
        Self { tree, resolved }
    }
}

/// The version in force. It only ever goes up.
#[derive(Debug)]
pub struct Current(RwLock<Option<Arc<Snapshot>>>);

impl Current {
    /// No version yet: the daemon isn't ready.
    pub fn new() -> Self {
        Self(RwLock::new(None))
    }

    /// The version in force, if there is one.
    pub fn get(&self) -> Option<Arc<Snapshot>> {
        self.0
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The number of the version in force, 0 before the first.
    pub fn number(&self) -> u64 {
        self.get().map_or(0, |snapshot| snapshot.tree.version)
    }

    /// Puts a version in force, unless the one in force is as new or newer.
    pub fn apply(&self, tree: Tree) -> Option<Arc<Snapshot>> {
        let next = Arc::new(Snapshot::new(tree));
        let mut current = self.0.write().unwrap_or_else(PoisonError::into_inner);
        match current.as_ref() {
            Some(old) if old.tree.version >= next.tree.version => None,
            _ => {
                *current = Some(Arc::clone(&next));
                Some(next)
            }
        }
    }
}
