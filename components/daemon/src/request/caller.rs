//! Identifies a caller: the group of its key, and its deadline and priority within the group's
//! limits.

use std::time::{Duration, Instant};

use hyper::{HeaderMap, header};
use settings::tree::resolve;

use super::refusal::{Reason, Refusal};

/// Request header that sets the deadline, in milliseconds from now, instead of the group's default.
const DEADLINE_HEADER: &str = "x-wrenramp-deadline-ms";
/// Request header that sets the priority, 0 to 9.
const PRIORITY_HEADER: &str = "x-wrenramp-priority";

/// A caller that was authenticated by its key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Index and name of its group.
    pub group: (usize, String),
    /// When its answer must be complete.
    pub deadline: Instant,
    /// When its request must have left the queue.
    pub start_by: Instant,
    /// Priority; 9 is the highest.
    pub priority: u8,
}

impl Caller {
    /// Identifies the caller by the key alone; no other header is trusted for this.
    pub fn identify(version: &resolve::ResolvedTree, headers: &HeaderMap) -> Result<Self, Refusal> {
        let key = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or(Reason::WrongKey)?;
        let index = version.group_for_key(key.trim()).ok_or(Reason::WrongKey)?;
        let group = &version.groups[index];
        let requested: Option<u64> = parse_header(headers, DEADLINE_HEADER)?;
        let timeout = requested.map_or(group.deadline.0, Duration::from_millis);
        let requested: Option<u8> = parse_header(headers, PRIORITY_HEADER)?;
        let now = Instant::now();
        let timeout = timeout.min(group.deadline.1);
        Ok(Self {
            group: (index, group.name.clone()),
            deadline: now + timeout,
            start_by: now + timeout.min(group.max_queue_time),
            priority: requested.unwrap_or(group.priority.0).min(group.priority.1),
        })
    }
}

fn parse_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, Refusal> {
    headers
        .get(name)
        .map(|value| {
            let text = value.to_str().ok();
            text.and_then(|text| text.parse().ok())
                .ok_or_else(|| Reason::BadHeader(name).into())
        })
        .transpose()
}
