//! Who calls: its group by its key, its deadline and priority within the group's bounds.

use std::time::{Duration, Instant};

use hyper::{HeaderMap, header};
use settings::tree::resolve;

use super::refusal::{Reason, Refusal};

/// Names a shorter or longer deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-wrenramp-deadline-ms";
/// Names a priority, 0 to 9.
const PRIORITY_HEADER: &str = "x-wrenramp-priority";

/// A caller whose key belongs to a group.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Index and name of its group.
    pub group: (usize, String),
    /// When its request must be done.
    pub deadline: Instant,
    /// When its turn must have come.
    pub start_by: Instant,
    /// 9 goes first.
    pub priority: u8,
}

impl Caller {
    /// Tells who calls by the key alone; no other header is believed.
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
