//! Changes of the endpoints as gateways tell them to each other.

use std::sync::Arc;

use wire::{EndpointChange, EndpointChanges, EndpointStage};

use crate::{
    edge::Change,
    endpoint::{Id, Profile, Stage, State},
};

/// Changes of the endpoints that a reader of the list has just read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// They are all that changed after this revision.
    pub after_revision: u64,
    /// They are all that changed up to this one.
    pub to_revision: u64,
    /// Whether the store was away before they were read.
    pub after_outage: bool,
    /// The changes, in their order.
    pub changes: Vec<Change>,
}

impl Advertisement {
    /// The message.
    pub fn encode(&self) -> EndpointChanges {
        EndpointChanges {
            after: self.after_revision,
            to: self.to_revision,
            after_outage: self.after_outage,
            changes: self.changes.iter().map(encode).collect(),
        }
    }

    /// Reads a message; none if any of it makes no sense, as a part would look whole.
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
            service: profile.service.to_string(),
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
    Some(Change::Present(Profile {
        id,
        service: Arc::from(change.service.as_str()),
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
        started: change.started,
    }))
}
