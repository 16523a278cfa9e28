//! Responses that end early although their bodies end in an orderly way. See
//! `docs/DESIGN.md#the-end-of-a-response`.

use derive_more::Display;

use super::Relay;
use crate::{
    process::Liveness,
    request::{events::EventBuffer, framing::Framing},
};

/// What shows that a response is incomplete at the end of its body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EarlyEnd {
    /// The last event lacks its blank line.
    #[display("within an event")]
    WithinEvent,
    /// An event exceeds the maximum size.
    #[display("an event without end")]
    OverlongEvent,
    /// The engine was asked to stop the answer, and its response ended with the connection.
    #[display("stopped to migrate")]
    Stopped,
    /// The endpoint refuses connections, and its response ended with the connection.
    #[display("the endpoint crashed")]
    Crashed,
}

/// Label of responses that are complete at the end of their bodies.
const COMPLETE: &str = "complete";

impl Relay {
    /// Returns what shows that the response is incomplete if its body ends here, whatever marks the
    /// end of the body.
    pub(super) fn early_end(&self) -> Option<EarlyEnd> {
        let event_buffer = self.event_buffer.as_ref();
        match self.framing {
            _ if event_buffer.is_some_and(EventBuffer::is_within_event) => {
                Some(EarlyEnd::WithinEvent)
            }
            Framing::Close if self.may_be_stopped => Some(EarlyEnd::Stopped),
            Framing::Length | Framing::Chunks | Framing::Close => None,
        }
    }

    /// Whether the response is complete now that its body has ended. A crash closes connections in
    /// an orderly way too.
    pub(super) async fn ends_complete(&mut self) -> bool {
        let (gateway, request) = (&self.job.gateway, &self.job.metadata.id);
        let early_end = match (self.early_end(), &self.upstream) {
            (None, Some(upstream)) if self.framing == Framing::Close => {
                self.liveness = gateway.liveness(&upstream.target, request).await;
                (self.liveness == Liveness::Crashed).then_some(EarlyEnd::Crashed)
            }
            (early_end, _) => early_end,
        };
        if early_end.is_some() {
            self.record_end(early_end);
        }
        early_end.is_none()
    }

    /// Counts the end of a body, and logs it if the response is incomplete.
    pub(super) fn record_end(&self, early_end: Option<EarlyEnd>) {
        let framing = self.framing.to_string();
        let end = early_end.map_or_else(|| COMPLETE.to_owned(), |early_end| early_end.to_string());
        let ends = &self.job.gateway.metrics.response_ends;
        ends.with_label_values(&[&*framing, &*end]).inc();
        let Some(end) = early_end else {
            return;
        };
        log::info!(
            request = self.job.metadata.id, endpoint = &*self.endpoint.0, framing, end:%,
            events = self.events,
            partial_bytes = self.event_buffer.as_ref().map_or(0, EventBuffer::partial_len);
            "an endpoint ended a response early"
        );
    }
}
