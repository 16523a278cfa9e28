//! The cost of one decision: routing among 12 to 256 engines, admission among 1,000 to 45,000 groups.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use policy::{
    estimate::BatchLatency,
    fair::{Group, Queue, QueuedRequest},
    route::{Engine, Request, Role, Weights, choose},
};

fn engines(count: u64) -> Vec<Engine> {
    (0..count)
        .map(|index| Engine {
            role: Role::Mixed,
            prefill_tokens_ahead: index * 131 % 1_000,
            prefill_tokens: index * 137 % 2_000,
            decode_requests: index * 7 % 40,
            cached_tokens: index * 64 % 640,
            one_way_delay: 0,
            latency: BatchLatency::default(),
        })
        .collect()
}

fn routing(criterion: &mut Criterion) {
    let request = Request {
        prompt_tokens: 1_000,
        expected_output_tokens: 100,
        urgent: false,
        interactive: false,
    };
    let weights = Weights::default();
    for count in [12, 64, 256] {
        let engines = engines(count);
        criterion.bench_function(&format!("route, {count} engines"), |bencher| {
            bencher.iter(|| choose(black_box(&engines), &request, &weights, 7));
        });
    }
}

fn admission(criterion: &mut Criterion) {
    for count in [1_000, 10_000, 45_000_usize] {
        let groups: Vec<Group> = (0..count)
            .map(|index| Group {
                parent: (index >= 100).then_some(index % 100),
                share: 1,
            })
            .collect();
        let mut queue = Queue::new(&groups);
        // a queue as long as a daemon allows, with its requests spread over as many groups
        for id in 0..2_048_u64 {
            queue.push(
                100 + usize::try_from(id).expect("small") % (count - 100),
                queued_request(id),
            );
        }
        let mut id = 10_000;
        criterion.bench_function(&format!("admit and take, {count} groups"), |bencher| {
            bencher.iter(|| {
                id += 1;
                let group = 100 + usize::try_from(id * 31).expect("small") % (count - 100);
                queue.push(group, queued_request(id));
                let (next, _) = queue.peek(1)[0];
                black_box(queue.pop(next))
            });
        });
    }
}

fn queued_request(id: u64) -> QueuedRequest {
    QueuedRequest {
        id,
        priority: 4,
        work: 10_000 + id % 97,
        deadline: u64::MAX,
    }
}

criterion_group!(benches, routing, admission);
criterion_main!(benches);
