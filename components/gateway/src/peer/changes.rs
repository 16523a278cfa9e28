//! Messages in which gateways pass endpoint changes to each other.

use std::sync::Arc;

use wire::{EndpointChange, EndpointChanges, EndpointStage};

use crate::{
    adapters::Change,
    endpoint::{Build, Id, Profile, Stage, State},
};

/// Endpoint changes that a peer has just read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// Revision before the first change: all changes after it are included.
    pub after_revision: u64,
    /// Revision of the last change: all changes up to it are included.
    pub to_revision: u64,
    /// Whether the reader's previous store calls had failed: the changes were read after an outage.
    pub after_outage: bool,
    /// The changes, in the order of the list.
    pub changes: Vec<Change>,
}

impl Advertisement {
    /// Encodes the changes as a message.
    pub fn encode(&self) -> EndpointChanges {
        EndpointChanges {
            after: self.after_revision,
            to: self.to_revision,
            after_outage: self.after_outage,
            changes: self.changes.iter().map(encode).collect(),
        }
    }

    /// Decodes a message. Returns `None` if any change in it is invalid, since the others would be
    /// taken for the complete set.
    pub fn decode(message: &EndpointChanges) -> Option<Self> {
        let changes: Option<Vec<Change>> = message.changes.iter().map(decode).collect();
        Some(Self {
            after_revision: message.after,
            to_revision: message.to,
            after_outage: message.after_outage,
            changes: changes?,
        })
    }
}

fn encode(change: &Change) -> EndpointChange {
    match change {
        Change::Gone(id) => EndpointChange {
            id: id.to_string(),
            gone: true,
            ..EndpointChange::default()
        },
        Change::Unusable(id) => EndpointChange {
            id: id.to_string(),
            unusable: true,
            ..EndpointChange::default()
        },
        Change::Present(profile) => EndpointChange {
            id: profile.id.to_string(),
            gone: false,
            unusable: false,
            started: profile.started,
            revocable: profile.revocable,
            service: profile.service.to_string(),
            build: Some(profile.build.to_string()),
            address: profile.address.to_string(),
            data_centre: profile.data_centre.to_string(),
            draining: profile.state == State::Draining,
            slots: profile.slots,
            stage: i32::from(match profile.stage {
                None => EndpointStage::Unspecified,
                Some(Stage::Prefill) => EndpointStage::Prefill,
                Some(Stage::Decode) => EndpointStage::Decode,
            }),
        },
    }
}

fn decode(change: &EndpointChange) -> Option<Change> {
    let id = Id(Arc::from(change.id.as_str()));
    if change.gone {
        return Some(Change::Gone(id));
    }
    if change.unusable {
        return Some(Change::Unusable(id));
    }
    let profile = Profile {
        id,
        service: Arc::from(change.service.as_str()),
        // a gateway that does not know of builds sends none; the list is then read from the store
        build: Build(Arc::from(change.build.as_deref()?)),
        address: change.address.parse().ok()?,
        data_centre: Arc::from(change.data_centre.as_str()),
        state: if change.draining {
            State::Draining
        } else {
            State::Ready
        },
        slots: change.slots,
        stage: match change.stage() {
            EndpointStage::Unspecified => None,
            EndpointStage::Prefill => Some(Stage::Prefill),
            EndpointStage::Decode => Some(Stage::Decode),
        },
        revocable: change.revocable,
        started: change.started,
    };
    Some(match profile.check() {
        Ok(()) => Change::Present(profile),
        Err(error) => {
            log::warn!(endpoint = &*profile.id.0, error:%; "an endpoint that a peer lists is invalid and not used");
            Change::Unusable(profile.id)
        }
    })
}
