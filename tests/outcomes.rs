//! The placement reports of the `outcomes` example: what delayed a prompt, and why shared prompt parts were prefilled.

#[path = "../examples/outcomes_parts/mod.rs"]
mod outcomes_parts;

use outcomes_parts::{
    parts::Parts,
    prefills::{Prefill, Prefills},
};

fn prefill(gateway: &str, placed_ms: u64, done_ms: Option<u64>, unread: u64) -> Prefill {
    Prefill {
        gateway: gateway.to_owned(),
        placed_ms,
        done_ms,
        uncached_tokens: unread,
        placed_late: false,
        expected_us: 20_000,
        known_work_ahead: 0,
    }
}

fn print_to_string(print: impl Fn(&mut Vec<u8>) -> std::io::Result<()>) -> String {
    let mut text = Vec::new();
    print(&mut text).expect("written to memory");
    String::from_utf8(text).expect("UTF-8")
}

#[test]
fn slow_prefills_are_attributed_to_placements_of_all_gateways() {
    let mut lines = Prefills::default();
    // a deferred prompt whose end was not logged, then one behind it
    let deferred = Prefill {
        placed_late: true,
        ..prefill("g1", 0, None, 9_000)
    };
    lines.record_placement("r1", "e1", deferred);
    lines.record_placement("r2", "e1", prefill("g2", 1_000, None, 1_000));
    lines.record_prefill_end("r2", 1_400);
    // placements by two gateways on one engine, 10 ms apart; the first is prefilled in the expected time
    lines.record_placement("r3", "e2", prefill("g1", 0, None, 1_000));
    lines.record_prefill_end("r3", 20);
    lines.record_placement("r4", "e2", prefill("g2", 10, None, 1_000));
    lines.record_prefill_end("r4", 110);
    // two placements by one gateway; the first is still in flight, and the gateway does not count it
    let slow = Prefill {
        expected_us: 250_000,
        ..prefill("g1", 0, None, 5_000)
    };
    lines.record_placement("r5", "e3", slow);
    lines.record_prefill_end("r5", 300);
    lines.record_placement("r6", "e3", prefill("g1", 200, None, 1_000));
    lines.record_prefill_end("r6", 320);
    let printed = print_to_string(|text| lines.print(text));
    let rows: Vec<Vec<&str>> = printed
        .lines()
        .skip(1)
        .map(|row| {
            row.split("  ")
                .filter(|cell| !cell.is_empty())
                .map(str::trim)
                .collect()
        })
        .collect();
    let expected = [
        ["nothing", "1", "0.00"],
        ["a prompt that gives way", "1", "1.00"],
        ["placed by others in the last 30 ms", "1", "1.00"],
        ["more than was believed", "1", "1.00"],
        ["placed after it", "1", "0.00"],
    ];
    assert_eq!(rows, expected);
}

#[test]
fn prefilled_shared_parts_are_counted_by_cause() {
    let mut parts = Parts::default();
    parts.record_placement("g1", 1_000, "a:2000 x:10", 0);
    // being prefilled, then cached, then unknown to a gateway that has restarted since
    parts.record_placement("g1", 1_100, "a:2000 y:10", 0);
    parts.record_placement("g1", 2_000, "a:2000 z:10", 2_000);
    parts.record_start("g2", 3_000);
    parts.record_placement("g2", 4_000, "a:2000 w:10", 0);
    parts.record_placement("g1", 5_000, "a:2000 v:10", 0);
    let printed = print_to_string(|text| parts.print(text));
    let tokens: Vec<&str> = printed
        .lines()
        .skip(1)
        .filter_map(|row| row.split_whitespace().last())
        .collect();
    // cached; prefilled for the first time, after a restart, while being prefilled elsewhere, and for an unknown reason
    assert_eq!(tokens, ["2000"; 5]);
}
