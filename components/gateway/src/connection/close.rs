//! Why a caller's connection ended. It is logged if a request was in flight on it.

use caller::Exchange;
use clock::Instant;
use derive_more::Display;

use crate::{process::Gateway, request::Origin};

/// Why a connection ended.
#[derive(Clone, Debug, Display)]
pub enum CloseReason {
    /// All requests had been answered, or the caller had sent none.
    #[display("it was idle")]
    Idle,
    /// The caller closed it.
    #[display("the caller closed it")]
    Caller,
    /// Reading or writing failed.
    #[display("it failed: {_0}")]
    Failed(String),
    /// The task that served it panicked.
    #[display("its task panicked")]
    Panicked,
    /// The process exited.
    #[display("the process ended")]
    Process,
}

impl From<hyper::Result<()>> for CloseReason {
    fn from(result: hyper::Result<()>) -> Self {
        match result {
            Ok(()) => Self::Idle,
            Err(error) if error.is_incomplete_message() => Self::Caller,
            Err(error) => Self::Failed(error.to_string()),
        }
    }
}

impl CloseReason {
    /// Returns the value of the metric label.
    fn label(&self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Caller => "caller",
            Self::Failed(_) => "failed",
            Self::Panicked => "panicked",
            Self::Process => "process",
        }
    }
}

/// Logs the request that is in flight when its connection ends. It must be dropped before the
/// connection, because the connection owns the request.
pub struct CloseLogger<'a> {
    gateway: &'a Gateway,
    exchange: &'a Exchange,
    origin: Origin,
    /// Why the connection ended: [`CloseReason::Process`] until another reason is known.
    pub reason: CloseReason,
}

impl<'a> CloseLogger<'a> {
    /// Creates the logger of an open connection.
    pub fn new(gateway: &'a Gateway, exchange: &'a Exchange, origin: Origin) -> Self {
        Self {
            gateway,
            exchange,
            origin,
            reason: CloseReason::Process,
        }
    }
}

impl Drop for CloseLogger<'_> {
    fn drop(&mut self) {
        let Some(request) = self.exchange.request() else {
            return;
        };
        let reason = if std::thread::panicking() {
            &CloseReason::Panicked
        } else {
            &self.reason
        };
        let interrupted = &self.gateway.metrics.interrupted_connections;
        interrupted.with_label_values(&[reason.label()]).inc();
        let since_end = self.exchange.ended_at().map(Instant::elapsed);
        if let Some(since_end) = since_end {
            let work_after_end = &self.gateway.metrics.disconnects.work_after_end;
            work_after_end.observe(since_end.as_secs_f64());
        }
        log::info!(
            request = request.id, endpoint = request.endpoint.as_deref(), origin:% = self.origin, reason:%,
            stage:% = request.stage, since_end_us = since_end.map(policy::micros),
            took_us = policy::micros(request.arrived.elapsed());
            "a caller's connection ended with its request under way"
        );
    }
}
