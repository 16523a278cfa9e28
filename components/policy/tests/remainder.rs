//! What remains of an answer of which its caller has received a part.

use policy::{prompt::Prompt, remainder::Remainder};
use proptest::prelude::*;

fn prompt(max_output_tokens: u64, output_tokens_hint: Option<u64>) -> Prompt {
    Prompt {
        tokens: 220,
        max_output_tokens,
        output_tokens_hint,
        parts: Vec::new(),
    }
}

fn rest(prompt: &Prompt, received: u64) -> u64 {
    Remainder::new(prompt, received).expected_output_tokens
}

#[test]
fn half_of_an_answer_in_half_of_its_time_needs_the_pace_of_the_whole() {
    let prompt = prompt(10_000, None);
    let whole = Remainder::new(&prompt, 0).max_inter_token_latency_us(15_000_000);
    let half = Remainder::new(&prompt, 5_000).max_inter_token_latency_us(7_500_000);
    assert!((whole - half).abs() < f64::EPSILON);
}

#[test]
fn an_answer_longer_than_expected_is_expected_to_go_on_for_a_while() {
    let prompt = prompt(10_000, Some(1_000));
    assert_eq!(rest(&prompt, 400), 600);
    assert_eq!(rest(&prompt, 2_000), 500);
    assert_eq!(rest(&prompt, 9_900), 100);
    assert_eq!(rest(&prompt, 10_000), 1);
}

proptest! {
    #[test]
    fn the_rest_is_never_nothing_and_never_more_than_the_maximum_leaves(
        max in 1_u64..50_000,
        hint in proptest::option::of(0_u64..50_000),
        received in 0_u64..u64::MAX,
    ) {
        let rest = rest(&prompt(max, hint), received);
        prop_assert!(rest >= 1);
        prop_assert!(rest <= max.saturating_sub(received).max(1));
    }
}
