//! Logs, metrics and the timeline of events.

pub mod logs;
pub mod metrics;
pub mod timeline;
