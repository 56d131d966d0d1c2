//! Stateful fuzzing: owners that are killed, cut off and replaced, workers that restart and fall
//! silent, orders that are lost or carried out late. The judge knows the promises alone.

use super::{
    make::START,
    world::{
        Trouble,
        World, //
    }, //
};

/// Time with trouble, and the calm time after it, in simulated milliseconds.
const TROUBLED: u64 = 40_000;
const CALM: u64 = 60_000;

fn play(seed: u64, trouble: Trouble) {
    if std::env::var_os("BAMBOOLOCK_TRACE").is_some() {
        bamboolock::program::log_to_stderr();
    }
    let mut world = World::new(seed, trouble);
    world.run(START + TROUBLED, false);
    world.run(START + TROUBLED + CALM, true);
    let broken = &world.judge.broken;
    assert!(broken.is_empty(), "seed {seed}: {broken:?}");
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
    assert!(
        world.judge.dones > 50,
        "seed {seed}: only {} tasks succeeded",
        world.judge.dones
    );
    assert!(world.judge.starts >= world.judge.dones);
}

#[test]
fn a_calm_cell_keeps_its_promises() {
    let trouble = Trouble {
        loss: 0,
        late: 0,
        faults: 0,
    };
    (0..4).for_each(|seed| play(seed, trouble));
}

#[test]
fn lost_and_late_orders_break_nothing() {
    let trouble = Trouble {
        loss: 60,
        late: 100,
        faults: 0,
    };
    (0..12).for_each(|seed| play(seed, trouble));
}

#[test]
fn changes_of_owner_and_of_workers_break_nothing() {
    let trouble = Trouble {
        loss: 0,
        late: 0,
        faults: 120,
    };
    (0..12).for_each(|seed| play(seed, trouble));
}

#[test]
fn all_at_once_breaks_nothing() {
    let trouble = Trouble {
        loss: 40,
        late: 100,
        faults: 120,
    };
    (0..24).for_each(|seed| play(seed, trouble));
}

/// More seeds by hand: `BAMBOOLOCK_FUZZ=500 cargo test --test cell more_seeds`.
#[test]
fn more_seeds_break_nothing() {
    let count = std::env::var("BAMBOOLOCK_FUZZ")
        .ok()
        .and_then(|n| n.parse().ok());
    let trouble = Trouble {
        loss: 40,
        late: 100,
        faults: 150,
    };
    (1_000..1_000 + count.unwrap_or(20)).for_each(|seed| play(seed, trouble));
}
