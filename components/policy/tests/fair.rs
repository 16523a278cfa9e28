//! The fair queue: shares, order, and what is lent.

use policy::fair::{Group, Queue, QueuedRequest};
use proptest::prelude::*;

fn waiting(id: u64, priority: u8, work: u64) -> QueuedRequest {
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
fn groups_that_all_wait_get_their_shares_level_by_level() {
    // two at the top, 3 to 1; below the first, 1 to 1
    let groups = [
        group(None, 3),
        group(Some(0), 1),
        group(Some(0), 1),
        group(None, 1),
    ];
    let mut queue = Queue::new(&groups);
    for id in 0..900 {
        for at in [1, 2, 3] {
            queue.push(at, waiting(id * 4 + at as u64, 4, 10));
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
fn a_share_that_is_not_used_is_lent_and_not_saved_up() {
    let mut queue = Queue::new(&[group(None, 1), group(None, 1)]);
    for id in 0..100 {
        queue.push(0, waiting(id, 4, 10));
    }
    for _ in 0..50 {
        let (next, _) = queue.peek(1)[0];
        assert_eq!(next, 0);
        queue.pop(next);
    }
    for id in 100..200 {
        queue.push(1, waiting(id, 4, 10));
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
fn within_a_group_the_higher_priority_goes_first_and_then_the_older() {
    let mut queue = Queue::new(&[group(None, 1)]);
    for (id, priority) in [(1, 4), (2, 9), (3, 4), (4, 9)] {
        queue.push(0, waiting(id, priority, 1));
    }
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(0)).map(|r| r.id).collect();
    assert_eq!(order, [2, 4, 1, 3]);
}

proptest! {
    #[test]
    fn nothing_is_lost_and_sums_return_to_nothing(pushes in prop::collection::vec((0_usize..5, 0_u8..10, 1_u64..1_000), 1..60)) {
        let groups = [group(None, 1), group(Some(0), 2), group(Some(1), 3), group(None, 4), group(Some(3), 1)];
        let mut queue = Queue::new(&groups);
        for (id, (at, priority, work)) in pushes.iter().enumerate() {
            queue.push(*at, waiting(id as u64, *priority, *work));
        }
        let removed = queue.remove(pushes[0].0, 0);
        prop_assert!(removed);
        let mut seen = 1;
        while let Some((next, _)) = queue.peek(3).first().copied() {
            queue.pop(next);
            seen += 1;
        }
        prop_assert_eq!(seen, pushes.len());
        prop_assert!(queue.is_empty());
        prop_assert_eq!(queue.queued_work(), 0);
    }
}
