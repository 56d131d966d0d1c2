//! Stateful fuzzing: owners are killed, partitioned and replaced, workers restart and fall silent,
//! commands are lost or carried out late. The oracle checks the documented guarantees only.

use super::{
    make::START,
    world::{
        FaultRates,
        World, //
    }, //
};

/// Time with faults, and the time without faults after it, in simulated milliseconds.
const TROUBLED: u64 = 40_000;
const CALM: u64 = 60_000;

fn play(seed: u64, trouble: FaultRates) {
    if std::env::var_os("BAMBOOLOCK_TRACE").is_some() {
        bamboolock::program::logs();
    }
    let mut world = World::new(seed, trouble);
    world.run(START + TROUBLED, false);
    world.run(START + TROUBLED + CALM, true);
    let broken = &world.judge.violations;
    assert!(broken.is_empty(), "seed {seed}: {broken:?}");
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
    assert!(
        world.judge.completions > 50,
        "seed {seed}: only {} tasks succeeded",
        world.judge.completions
    );
    assert!(world.judge.starts >= world.judge.completions);
}

#[test]
fn guarantees_hold_without_faults() {
    let trouble = FaultRates {
        loss: 0,
        delayed: 0,
        faults: 0,
    };
    (0..4).for_each(|seed| play(seed, trouble));
}

#[test]
fn guarantees_hold_with_lost_and_late_commands() {
    let trouble = FaultRates {
        loss: 60,
        delayed: 100,
        faults: 0,
    };
    (0..12).for_each(|seed| play(seed, trouble));
}

#[test]
fn guarantees_hold_across_owner_changes_and_worker_restarts() {
    let trouble = FaultRates {
        loss: 0,
        delayed: 0,
        faults: 120,
    };
    (0..12).for_each(|seed| play(seed, trouble));
}

#[test]
fn guarantees_hold_with_all_faults_combined() {
    let trouble = FaultRates {
        loss: 40,
        delayed: 100,
        faults: 120,
    };
    (0..24).for_each(|seed| play(seed, trouble));
}

/// Runs further seeds on demand: `BAMBOOLOCK_FUZZ=500 cargo test --test cell more_seeds`.
#[test]
fn more_seeds_break_nothing() {
    let count = std::env::var("BAMBOOLOCK_FUZZ")
        .ok()
        .and_then(|n| n.parse().ok());
    let trouble = FaultRates {
        loss: 40,
        delayed: 100,
        faults: 150,
    };
    (1_000..1_000 + count.unwrap_or(20)).for_each(|seed| play(seed, trouble));
}
