//! Logs, metrics and the time line of events.

pub mod logs;
pub mod metrics;
pub mod timeline;
