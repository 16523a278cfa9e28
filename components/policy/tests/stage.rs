//! When the plan changes the stage of an engine, and when it leaves the fleet unchanged.

use policy::{
    stage::{
        Change, Demand, Fleet, Sample, Weights, choose_change, max_concurrent_changes,
        plan_prefill_engines,
    },
    to_u64,
};

/// Twelve engines of 48 slots each, of which `prefill_engines` prefill.
fn small_fleet(prefill_engines: u64) -> Fleet {
    Fleet {
        engines: 12,
        prefill_engines,
        slots_per_engine: 48,
    }
}

/// Three hundred engines of 16 slots each, of which `prefill_engines` prefill.
fn large_fleet(prefill_engines: u64) -> Fleet {
    Fleet {
        engines: 300,
        prefill_engines,
        slots_per_engine: 16,
    }
}

/// Well above the time constants of the averages, in microseconds.
const LONG_US: f64 = 60_000_000.0;

/// A sample of a fleet whose prefill engines are all busy.
fn saturated(prefill_us: f64, decode_slot_us: f64) -> Sample {
    Sample {
        prefill_us,
        decode_slot_us,
        ..Sample::default()
    }
}

/// A steady demand, in busy prefill engines and occupied slots.
fn demand(prefill_engines: f64, decode_slots: f64) -> Demand {
    let mut demand = Demand::default();
    demand.observe(0, &Sample::default());
    demand.observe(
        to_u64(LONG_US),
        &saturated(prefill_engines * LONG_US, decode_slots * LONG_US),
    );
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
fn an_idle_fleet_is_not_changed() {
    assert_eq!(plan(&demand(0.1, 0.1), &small_fleet(1)), None);
    assert_eq!(plan(&demand(0.1, 0.1), &small_fleet(11)), None);
}

#[test]
fn a_stage_that_lacks_engines_gets_one() {
    assert_eq!(
        plan(&demand(5.0, 60.0), &small_fleet(4)),
        Some(Change::MorePrefill)
    );
    assert_eq!(
        plan(&demand(1.0, 200.0), &small_fleet(8)),
        Some(Change::MoreDecode)
    );
}

#[test]
fn no_stage_changes_while_both_suffice() {
    // Two thirds of the work is prefill, so two thirds of the engines could prefill.
    let light = demand(4.0, 20.0);
    let weights = Weights::default();
    assert!(plan_prefill_engines(&light, &large_fleet(90), &weights) > 150.0);
    assert_eq!(plan(&light, &large_fleet(90)), None);
    // The same with too many prefill engines.
    assert_eq!(plan(&demand(1.0, 60.0), &large_fleet(250)), None);
}

#[test]
fn a_large_fleet_is_not_changed_for_one_engine() {
    let heavy = demand(100.0, 1_000.0);
    let weights = Weights::default();
    let wanted = plan_prefill_engines(&heavy, &large_fleet(90), &weights);
    let fleet_lacking = |lack: u64| large_fleet(to_u64(wanted) - lack);
    assert_eq!(plan(&heavy, &fleet_lacking(5)), None);
    assert_eq!(plan(&heavy, &fleet_lacking(20)), Some(Change::MorePrefill));
}

#[test]
fn the_spare_decode_engine_is_kept_under_little_decode_load() {
    assert_eq!(
        plan(&demand(6.0, 1.0), &small_fleet(12)),
        Some(Change::MoreDecode)
    );
}

#[test]
fn a_surge_in_prefill_counts_before_the_longer_average_shows_it() {
    let mut surge = demand(1.0, 40.0);
    let second = 1_000_000.0;
    surge.observe(
        to_u64(LONG_US + second),
        &saturated(8.0 * second, 40.0 * second),
    );
    assert!(surge.prefill_engines < 3.0);
    assert_eq!(plan(&surge, &small_fleet(3)), Some(Change::MorePrefill));
}

#[test]
fn about_an_eighth_of_a_fleet_may_change_at_once() {
    assert_eq!([1, 3, 12, 300].map(max_concurrent_changes), [1, 1, 1, 36]);
}

/// A change of stages delays prompts, whose expected prefill time then grows. It must not ask for further
/// prefill engines while some of them are idle.
#[test]
fn idle_prefill_engines_limit_the_estimated_demand() {
    let mut demand = Demand::default();
    demand.observe(0, &Sample::default());
    // Delayed behind a change of stages, prefill took three times as long as it should have.
    let sample = Sample {
        prefill_us: 12.0 * LONG_US,
        decode_slot_us: 40.0 * LONG_US,
        busy_prefill_engines: 4.0,
        prefill_engines: 9.0,
        ..Sample::default()
    };
    demand.observe(to_u64(LONG_US), &sample);
    assert_eq!(plan(&demand, &small_fleet(9)), None);
}
