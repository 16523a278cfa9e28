//! The fair queue: shares, order, and lending of unused shares.

use policy::fair::{Group, Queue, QueuedRequest};
use proptest::prelude::*;

fn queued(id: u64, priority: u8, work: u64) -> QueuedRequest {
    QueuedRequest {
        id,
        priority,
        work,
        deadline: u64::MAX,
    }
}

fn group(parent: Option<usize>, share: u32) -> Group {
    Group { parent, share }
}

#[test]
fn busy_groups_get_their_shares_at_each_level() {
    // Two groups at the top with shares 3 and 1; below the first, two with equal shares.
    let groups = [
        group(None, 3),
        group(Some(0), 1),
        group(Some(0), 1),
        group(None, 1),
    ];
    let mut queue = Queue::new(&groups);
    for id in 0..900 {
        for at in [1, 2, 3] {
            queue.push(at, queued(id * 4 + at as u64, 4, 10));
        }
    }
    let mut taken = [0; 4];
    for _ in 0..800 {
        let (next, _) = queue.peek(1)[0];
        queue.pop(next).expect("there is one");
        taken[next] += 1;
    }
    assert_eq!(taken, [0, 300, 300, 200]);
}

#[test]
fn an_unused_share_is_lent_and_not_saved_up() {
    let mut queue = Queue::new(&[group(None, 1), group(None, 1)]);
    for id in 0..100 {
        queue.push(0, queued(id, 4, 10));
    }
    for _ in 0..50 {
        let (next, _) = queue.peek(1)[0];
        assert_eq!(next, 0);
        queue.pop(next);
    }
    for id in 100..200 {
        queue.push(1, queued(id, 4, 10));
    }
    let mut second = 0;
    for _ in 0..40 {
        let (next, _) = queue.peek(1)[0];
        queue.pop(next);
        second += next;
    }
    assert!((19..=21).contains(&second), "{second} of 40");
}

#[test]
fn within_a_group_requests_go_by_priority_and_then_by_age() {
    let mut queue = Queue::new(&[group(None, 1)]);
    for (id, priority) in [(1, 4), (2, 9), (3, 4), (4, 9)] {
        queue.push(0, queued(id, priority, 1));
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(0)).map(|r| r.id).collect();
    assert_eq!(order, [2, 4, 1, 3]);
}

proptest! {
    #[test]
    fn no_request_is_lost_and_queued_work_returns_to_zero(pushes in prop::collection::vec((0_usize..5, 0_u8..10, 1_u64..1_000), 1..60)) {
        let groups = [group(None, 1), group(Some(0), 2), group(Some(1), 3), group(None, 4), group(Some(3), 1)];
        let mut queue = Queue::new(&groups);
        for (id, (at, priority, work)) in pushes.iter().enumerate() {
            queue.push(*at, queued(id as u64, *priority, *work));
        }
        let removed = queue.remove(pushes[0].0, 0);
        prop_assert!(removed);
        let mut taken = 1;
        while let Some((next, _)) = queue.peek(3).first().copied() {
            queue.pop(next);
            taken += 1;
        }
        prop_assert_eq!(taken, pushes.len());
        prop_assert!(queue.is_empty());
        prop_assert_eq!(queue.queued_work(), 0);
    }
}
