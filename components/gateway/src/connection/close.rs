//! Why a caller's connection ended, logged if a request was under way on it.

use caller::Exchange;
use derive_more::Display;

use crate::process::Gateway;

/// Why a connection ended.
#[derive(Clone, Debug, Display)]
pub enum CloseReason {
    /// All that was asked for had been answered, or the caller had sent nothing.
    #[display("it was idle")]
    Idle,
    /// The caller closed it.
    #[display("the caller closed it")]
    Caller,
    /// Reading or writing failed.
    #[display("it failed: {_0}")]
    Failed(String),
    /// Its task panicked.
    #[display("its task panicked")]
    Panicked,
    /// The process ended.
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
    /// A word for it, as a label of a metric.
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

/// Logs a request that is under way when its connection ends. Dropped before the connection, as the request goes
/// with it.
pub struct CloseLogger<'a> {
    gateway: &'a Gateway,
    exchange: &'a Exchange,
    /// Why the connection ended: with the process, unless something else is known.
    pub reason: CloseReason,
}

impl<'a> CloseLogger<'a> {
    /// For a connection that has begun.
    pub fn new(gateway: &'a Gateway, exchange: &'a Exchange) -> Self {
        Self {
            gateway,
            exchange,
            reason: CloseReason::Process,
        }
    }
}

impl Drop for CloseLogger<'_> {
    fn drop(&mut self) {
        let Some(request) = self.exchange.under_way() else {
            return;
        };
        let reason = if std::thread::panicking() {
            &CloseReason::Panicked
        } else {
            &self.reason
        };
        let cuts = &self.gateway.metrics.cuts;
        cuts.with_label_values(&[reason.label()]).inc();
        log::info!(
            request = request.id, endpoint = request.endpoint.as_deref(), reason:%,
            took_us = policy::micros(request.arrived.elapsed());
            "a caller's connection ended with its request under way"
        );
    }
}
