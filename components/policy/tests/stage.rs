//! When the plan changes the stage of an engine, and when it leaves the fleet as it is.

use policy::{
    stage::{
        Change, Demand, Fleet, Sample, Weights, choose_change, max_concurrent_changes,
        plan_prefill_engines,
    },
    to_u64,
};

/// Twelve engines of 48 answers each, so many of which read.
fn small(reading: u64) -> Fleet {
    Fleet {
        engines: 12,
        prefill_engines: reading,
        slots_per_engine: 48,
    }
}

/// Three hundred engines of 16 answers each, so many of which read.
fn large(reading: u64) -> Fleet {
    Fleet {
        engines: 300,
        prefill_engines: reading,
        slots_per_engine: 16,
    }
}

/// Longer than the averages remember, in microseconds.
const LONG: f64 = 60_000_000.0;

/// What is seen of a fleet whose readers are all busy.
fn full(reading: f64, writing: f64) -> Sample {
    Sample {
        prefill_us: reading,
        decode_slot_us: writing,
        ..Sample::default()
    }
}

/// A steady demand: engines that reading keeps busy, and slots that writing takes.
fn demand(reading: f64, writing: f64) -> Demand {
    let mut demand = Demand::default();
    demand.observe(0, &Sample::default());
    demand.observe(to_u64(LONG), &full(reading * LONG, writing * LONG));
    demand
}

fn plan(demand: &Demand, fleet: &Fleet) -> Option<Change> {
    let weights = Weights::default();
    choose_change(
        demand,
        plan_prefill_engines(demand, fleet, &weights),
        fleet,
        &weights,
    )
}

#[test]
fn an_idle_fleet_stays_as_it_is() {
    assert_eq!(plan(&demand(0.1, 0.1), &small(1)), None);
    assert_eq!(plan(&demand(0.1, 0.1), &small(11)), None);
}

#[test]
fn a_stage_that_lacks_engines_gets_one() {
    assert_eq!(
        plan(&demand(5.0, 60.0), &small(4)),
        Some(Change::MorePrefill)
    );
    assert_eq!(
        plan(&demand(1.0, 200.0), &small(8)),
        Some(Change::MoreDecode)
    );
}

#[test]
fn an_engine_is_not_moved_between_stages_that_have_enough() {
    // two thirds of the work is reading, so two thirds of the engines could read
    let light = demand(4.0, 20.0);
    let weights = Weights::default();
    assert!(plan_prefill_engines(&light, &large(90), &weights) > 150.0);
    assert_eq!(plan(&light, &large(90)), None);
    // the other way round
    assert_eq!(plan(&demand(1.0, 60.0), &large(250)), None);
}

#[test]
fn a_large_fleet_is_not_changed_for_one_engine() {
    let heavy = demand(100.0, 1_000.0);
    let weights = Weights::default();
    let wanted = plan_prefill_engines(&heavy, &large(90), &weights);
    let short_of = |lack: u64| large(to_u64(wanted) - lack);
    assert_eq!(plan(&heavy, &short_of(5)), None);
    assert_eq!(plan(&heavy, &short_of(20)), Some(Change::MorePrefill));
}

#[test]
fn writers_for_a_failure_are_there_also_when_little_is_written() {
    assert_eq!(
        plan(&demand(6.0, 1.0), &small(12)),
        Some(Change::MoreDecode)
    );
}

#[test]
fn a_leap_in_reading_counts_before_the_longer_average_shows_it() {
    let mut leap = demand(1.0, 40.0);
    let second = 1_000_000.0;
    leap.observe(to_u64(LONG + second), &full(8.0 * second, 40.0 * second));
    assert!(leap.prefill_engines < 3.0);
    assert_eq!(plan(&leap, &small(3)), Some(Change::MorePrefill));
}

#[test]
fn an_eighth_of_a_fleet_may_change_at_once() {
    assert_eq!([1, 3, 12, 300].map(max_concurrent_changes), [1, 1, 1, 36]);
}

#[test]
fn readers_of_which_some_are_idle_show_what_is_needed() {
    let mut demand = Demand::default();
    demand.observe(0, &Sample::default());
    // prompts that took three times as long as they should have, behind a change of stages
    let sample = Sample {
        prefill_us: 12.0 * LONG,
        decode_slot_us: 40.0 * LONG,
        busy_prefill_engines: 4.0,
        prefill_engines: 9.0,
        ..Sample::default()
    };
    demand.observe(to_u64(LONG), &sample);
    assert_eq!(plan(&demand, &small(9)), None);
}
