//! Stateful fuzzing: owners are killed, partitioned and replaced, workers restart and fall silent,
//! commands are lost or carried out late. The oracle checks the documented guarantees only.

use super::{
    faults::FaultRates,
    make::START,
    world::World, //
};

/// Time with faults, and the time without faults after it, in simulated milliseconds.
const TROUBLED: u64 = 40_000;
const CALM: u64 = 60_000;

/// Plays a seed until long after its last fault.
fn simulate(seed: u64, rates: FaultRates) -> World {
    if std::env::var_os("BAMBOOLOCK_TRACE").is_some() {
        bamboolock::program::log_to_stderr();
    }
    let mut world = World::new(seed, rates);
    world.run(START + TROUBLED, false);
    world.run(START + TROUBLED + CALM, true);
    world
}

fn play(seed: u64, rates: FaultRates) {
    let world = simulate(seed, rates);
    let broken = &world.judge.violations;
    assert!(broken.is_empty(), "seed {seed}: {broken:?}");
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?}");
    let misjudged = world.misjudged();
    assert!(misjudged.is_empty(), "seed {seed}: {misjudged:?}");
    assert!(
        world.judge.completions > 50,
        "seed {seed}: only {} tasks succeeded",
        world.judge.completions
    );
    assert!(world.judge.starts >= world.judge.completions);
}

/// Plays `count` seeds from `first` on and shows all that fail. `BAMBOOLOCK_FUZZ` sets another count,
/// `BAMBOOLOCK_SEED` another first seed.
fn play_all(first: u64, count: u64, rates: FaultRates) {
    let wanted = |name| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let count = wanted("BAMBOOLOCK_FUZZ").unwrap_or(count);
    let first = wanted("BAMBOOLOCK_SEED").unwrap_or(first);
    let failed: Vec<String> = (first..first + count)
        .filter_map(|seed| {
            let wrong = faulty(&simulate(seed, rates));
            (!wrong.is_empty()).then(|| format!("seed {seed}: {wrong:?}"))
        })
        .collect();
    let shown = failed.join("\n");
    assert!(failed.is_empty(), "{} of {count}:\n{shown}", failed.len());
}

/// What is wrong at the end of a simulation, broken guarantees first.
fn faulty(world: &World) -> Vec<String> {
    if !world.judge.violations.is_empty() {
        return world.judge.violations.clone();
    }
    let mut wrong = world.unfinished();
    wrong.extend(world.misjudged());
    let unused = world.unused();
    if !unused.is_empty() {
        wrong.push(format!("without tasks, but reachable: {unused:?}"));
    }
    if world.judge.completions <= 50 {
        wrong.push(format!("only {} tasks succeeded", world.judge.completions));
    }
    wrong
}

#[test]
fn guarantees_hold_without_faults() {
    let trouble = FaultRates {
        loss: 0,
        delayed: 0,
        faults: 0,
        ..FaultRates::NONE
    };
    (0..4).for_each(|seed| play(seed, trouble));
}

#[test]
fn guarantees_hold_with_lost_and_late_commands() {
    let trouble = FaultRates {
        loss: 60,
        delayed: 100,
        faults: 0,
        ..FaultRates::NONE
    };
    (0..12).for_each(|seed| play(seed, trouble));
}

#[test]
fn guarantees_hold_across_owner_changes_and_worker_restarts() {
    let trouble = FaultRates {
        loss: 0,
        delayed: 0,
        faults: 120,
        ..FaultRates::NONE
    };
    (0..12).for_each(|seed| play(seed, trouble));
}

#[test]
fn guarantees_hold_with_all_faults_combined() {
    let trouble = FaultRates {
        loss: 40,
        delayed: 100,
        faults: 120,
        ..FaultRates::NONE
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
        ..FaultRates::NONE
    };
    (1_000..1_000 + count.unwrap_or(20)).for_each(|seed| play(seed, trouble));
}

/// Workers and paths of which each lies still for seconds, and commands that are lost.
const CUTS: FaultRates = FaultRates {
    loss: 40,
    faults: 150,
    paths: 200,
    instances: true,
    ..FaultRates::NONE
};

#[test]
fn workers_that_are_reachable_again_get_tasks_again() {
    play_all(10_000, 8, CUTS);
}

#[test]
fn guarantees_hold_with_refusals_beside_commands_that_arrive_late() {
    let rates = FaultRates {
        loss: 40,
        late: 40,
        unwell: 500,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(11_000, 8, rates);
}

#[test]
fn guarantees_hold_with_paths_cut_one_by_one() {
    let rates = FaultRates {
        faults: 100,
        paths: 250,
        long: 150,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(12_000, 8, rates);
}

#[test]
fn guarantees_hold_with_paused_owners() {
    let rates = FaultRates {
        paths: 250,
        long: 150,
        pauses: 120,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(13_000, 8, rates);
}

#[test]
fn guarantees_hold_with_suspended_machines() {
    let rates = FaultRates {
        paths: 250,
        long: 150,
        pauses: 120,
        suspended: 1_000,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(14_000, 8, rates);
}

#[test]
fn guarantees_hold_with_late_store_answers_after_a_pause() {
    let rates = FaultRates {
        paths: 250,
        long: 150,
        pauses: 120,
        late_answers: 1_000,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(15_000, 8, rates);
}

#[test]
fn guarantees_hold_with_owner_changes_in_series() {
    let rates = FaultRates {
        paths: 250,
        long: 150,
        pauses: 80,
        late_answers: 500,
        series: 600,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(16_000, 8, rates);
}

#[test]
fn guarantees_hold_with_owners_replaced_while_they_work() {
    let rates = FaultRates {
        loss: 20,
        paths: 250,
        long: 150,
        handovers: 200,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(19_000, 8, rates);
}

#[test]
fn guarantees_hold_with_workers_that_drain_move_and_lose_their_registration() {
    let rates = FaultRates {
        loss: 20,
        faults: 100,
        long: 150,
        drains: 300,
        moves: 700,
        lags: 300,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(17_000, 8, rates);
}

#[test]
fn guarantees_hold_with_ended_runs_listed_page_by_page() {
    let rates = FaultRates {
        loss: 60,
        faults: 200,
        page: 2,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(18_000, 8, rates);
}

/// All faults that production has shown, but for full pages of ended runs.
const PRODUCTION: FaultRates = FaultRates {
    loss: 20,
    delayed: 60,
    faults: 60,
    late: 20,
    unwell: 200,
    paths: 150,
    long: 150,
    pauses: 80,
    suspended: 300,
    late_answers: 500,
    series: 400,
    handovers: 30,
    drains: 150,
    moves: 500,
    lags: 200,
    page: 0,
    instances: true,
    ..FaultRates::NONE
};

#[test]
fn guarantees_hold_with_all_faults_of_production_combined() {
    play_all(20_000, 16, PRODUCTION);
}

#[test]
fn guarantees_hold_with_all_faults_of_production_and_full_pages() {
    let rates = FaultRates {
        page: 4,
        ..PRODUCTION
    };
    play_all(21_000, 8, rates);
}

/// Owners change every few seconds, and each successor reaches other workers.
#[test]
fn guarantees_hold_where_no_owner_lasts() {
    let rates = FaultRates {
        loss: 20,
        late: 20,
        paths: 400,
        long: 250,
        pauses: 250,
        late_answers: 500,
        series: 700,
        handovers: 100,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(22_000, 8, rates);
}

/// Tasks that crash their workers, beside work that does not.
const DEADLY: FaultRates = FaultRates {
    deadly: 250,
    replaced: 700,
    workers: 24,
    instances: true,
    ..FaultRates::NONE
};

#[test]
fn tasks_that_crash_their_workers_are_given_up() {
    play_all(23_000, 8, DEADLY);
}

#[test]
fn tasks_that_crash_their_workers_are_given_up_across_owners() {
    let rates = FaultRates {
        kills: 50,
        handovers: 30,
        ..DEADLY
    };
    play_all(24_000, 8, rates);
}

#[test]
fn tasks_that_crash_their_workers_are_given_up_where_no_owner_lasts() {
    let rates = FaultRates {
        kills: 150,
        handovers: 100,
        ..DEADLY
    };
    play_all(29_000, 8, rates);
}

#[test]
fn tasks_that_crash_their_workers_are_given_up_with_lost_and_late_commands() {
    let rates = FaultRates {
        loss: 40,
        delayed: 60,
        late: 20,
        ..DEADLY
    };
    play_all(25_000, 8, rates);
}

#[test]
fn tasks_that_crash_their_workers_are_given_up_among_workers_that_crash_anyway() {
    let rates = FaultRates {
        crashes: 150,
        racks: 50,
        paths: 100,
        ..DEADLY
    };
    play_all(26_000, 8, rates);
}

/// Workers and racks that crash several times, and no task that crashes any.
#[test]
fn no_job_fails_where_workers_crash_without_cause() {
    let rates = FaultRates {
        crashes: 300,
        racks: 100,
        replaced: 700,
        long: 150,
        workers: 16,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(27_000, 12, rates);
}

#[test]
fn no_job_fails_where_workers_crash_and_owners_change() {
    let rates = FaultRates {
        loss: 20,
        crashes: 200,
        racks: 80,
        replaced: 500,
        kills: 150,
        handovers: 50,
        long: 150,
        workers: 16,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(28_000, 12, rates);
}

#[test]
fn guarantees_hold_where_capacity_shrinks_and_grows() {
    let rates = FaultRates {
        loss: 40,
        late: 40,
        long: 150,
        capacities: 700,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(23_000, 16, rates);
}

#[test]
fn guarantees_hold_where_workers_that_guard_their_capacity_shrink() {
    let rates = FaultRates {
        loss: 20,
        long: 150,
        capacities: 700,
        guarded: true,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(24_000, 8, rates);
}

#[test]
fn guarantees_hold_where_capacity_shrinks_while_owners_change() {
    let rates = FaultRates {
        loss: 20,
        late: 20,
        faults: 100,
        paths: 250,
        long: 250,
        pauses: 150,
        suspended: 300,
        late_answers: 500,
        series: 400,
        handovers: 100,
        capacities: 700,
        instances: true,
        ..FaultRates::NONE
    };
    play_all(40_150, 16, rates);
}

#[test]
fn guarantees_hold_with_all_faults_of_production_and_changing_capacity() {
    let rates = FaultRates {
        capacities: 500,
        ..PRODUCTION
    };
    play_all(40_140, 16, rates);
    play_all(50_176, 1, rates);
}

/// Workers that start again under their ids while commands to them are late.
const REBORN: FaultRates = FaultRates {
    loss: 40,
    delayed: 150,
    faults: 250,
    late: 60,
    long: 150,
    pauses: 40,
    instances: true,
    ..FaultRates::NONE
};

#[test]
fn guarantees_hold_where_late_polls_reach_the_next_incarnation() {
    let rates = FaultRates {
        astray: 1_000,
        ..REBORN
    };
    play_all(50_020, 16, rates);
}

#[test]
fn guarantees_hold_where_late_starts_reach_the_next_incarnation() {
    let rates = FaultRates {
        astray: 1_000,
        astray_starts: 1_000,
        ..REBORN
    };
    play_all(24_000, 16, rates);
}

/// Workers that start again under their ids within a second while commands to them are late, and that are
/// cut off from all owners soon after.
const RECUTS: FaultRates = FaultRates {
    long: 400,
    workers: 12,
    instances: true,
    astray: 1_000,
    astray_starts: 1_000,
    recuts: 150,
    applied_late: 300,
    ..FaultRates::NONE
};

/// Guards against two runs at once: late commands renew leases and start runs in the next incarnation, so
/// that a run there goes on behind a cut for longer than its owner knows.
#[test]
fn no_task_runs_twice_where_workers_are_reborn_and_cut_off() {
    play_all(70_000, 16, RECUTS);
}

/// Guards against starts that reach an incarnation which no owner has heard yet: workers start again behind
/// the cut, and what the incarnation before has acknowledged or refused says nothing about the last one.
#[test]
fn no_task_runs_twice_where_workers_are_reborn_cut_off_and_reborn_again() {
    let rates = FaultRates {
        recut_again: 1_000,
        ..RECUTS
    };
    play_all(73_000, 16, rates);
}

/// Guards against two runs at once where late polls alone renew the leases, and every run was started in
/// time.
#[test]
fn no_task_runs_twice_where_late_polls_reach_workers_that_are_reborn_and_cut_off() {
    let rates = FaultRates {
        astray_starts: 0,
        ..RECUTS
    };
    play_all(72_000, 16, rates);
}

/// Guards against two runs at once where a successor doesn't know the commands without an answer of its
/// predecessor.
#[test]
fn no_task_runs_twice_where_workers_are_reborn_and_cut_off_while_owners_change() {
    let rates = FaultRates {
        recut_again: 250,
        kills: 100,
        handovers: 100,
        ..RECUTS
    };
    play_all(71_000, 16, rates);
}
