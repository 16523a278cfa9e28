use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{PlacementError, Pool, Requirements};
use crate::process::gates::Gates;

/// Returns the requirements of a small request of a group.
fn requirements(group: (usize, &str)) -> Requirements {
    let now = Instant::now();
    Requirements {
        group: (group.0, group.1.to_owned()),
        model: ("m".to_owned(), String::new(), "1".to_owned()),
        blocks: Vec::new(),
        prompt_tokens: 10,
        received_tokens: 0,
        max_output_tokens: 10,
        priority: 5,
        deadline: now + Duration::from_secs(10),
        start_by: now + Duration::from_secs(1),
        avoid: Vec::new(),
    }
}

/// A request may be admitted under a settings version that its pool has not applied yet, and its group
/// then has an index that the pool's queue lacks.
#[tokio::test]
async fn a_request_of_a_group_that_the_queue_lacks_is_refused() {
    let pool = Arc::new(Pool::new("engines", Gates::default(), "here", 8));
    let refused = pool.place(requirements((3, "field"))).await.err();
    assert!(
        matches!(refused, Some(PlacementError::NoEndpoint { .. })),
        "{refused:?}"
    );
}
