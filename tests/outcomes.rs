//! The account of placements: what stood before a prompt, and why shared parts were read.

#[path = "../examples/outcomes_parts/mod.rs"]
mod outcomes_parts;

use outcomes_parts::{
    parts::Parts,
    prefills::{Prefill, Prefills},
};

fn read(gateway: &str, placed_ms: u64, done_ms: Option<u64>, unread: u64) -> Prefill {
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

fn printed(print: impl Fn(&mut Vec<u8>) -> std::io::Result<()>) -> String {
    let mut text = Vec::new();
    print(&mut text).expect("written");
    String::from_utf8(text).expect("text")
}

#[test]
fn what_stood_before_a_prompt_is_found_in_all_gateways_lines() {
    let mut lines = Prefills::default();
    // one that gives way and whose end nobody saw, then one behind it
    let late = Prefill {
        placed_late: true,
        ..read("g1", 0, None, 9_000)
    };
    lines.record_placement("r1", "e1", late);
    lines.record_placement("r2", "e1", read("g2", 1_000, None, 1_000));
    lines.record_prefill_end("r2", 1_400);
    // two gateways at the same engine ten milliseconds apart, of which the first is read as expected
    lines.record_placement("r3", "e2", read("g1", 0, None, 1_000));
    lines.record_prefill_end("r3", 20);
    lines.record_placement("r4", "e2", read("g2", 10, None, 1_000));
    lines.record_prefill_end("r4", 110);
    // two of one gateway, the first long under way and not believed to be
    let slow = Prefill {
        expected_us: 250_000,
        ..read("g1", 0, None, 5_000)
    };
    lines.record_placement("r5", "e3", slow);
    lines.record_prefill_end("r5", 300);
    lines.record_placement("r6", "e3", read("g1", 200, None, 1_000));
    lines.record_prefill_end("r6", 320);
    let printed = printed(|text| lines.print(text));
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
fn shared_parts_are_read_for_the_first_time_or_again() {
    let mut parts = Parts::default();
    parts.record_placement("g1", 1_000, "a:2000 x:10", 0);
    // read at this moment, then known, then unknown to a gateway that has started since
    parts.record_placement("g1", 1_100, "a:2000 y:10", 0);
    parts.record_placement("g1", 2_000, "a:2000 z:10", 2_000);
    parts.record_start("g2", 3_000);
    parts.record_placement("g2", 4_000, "a:2000 w:10", 0);
    parts.record_placement("g1", 5_000, "a:2000 v:10", 0);
    let printed = printed(|text| parts.print(text));
    let tokens: Vec<&str> = printed
        .lines()
        .skip(1)
        .filter_map(|row| row.split_whitespace().last())
        .collect();
    // held; for the first time, after a start, while it was being read, and for no reason seen here
    assert_eq!(tokens, ["2000"; 5]);
}
