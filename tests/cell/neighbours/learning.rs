//! Which pairs are learned from run times, and which are not.

use bamboolock::cell::neighbours::{
    Neighbours,
    evidence,
    kinds, //
};
use rand::Rng;

use super::{
    super::make,
    replay::{
        self,
        Replay, //
    },
};

#[test]
fn a_pair_that_interferes_is_learned_within_twenty_of_its_runs() {
    for factor in [2.0, 3.0] {
        for seed in 0..10 {
            let mut replay = Replay::new(seed, 30, 2);
            replay.pairs = vec![(0, 1, factor)];
            replay.run(2_000, &[20, 3], true, |rng, _| rng.random_range(0..30));
            assert_eq!(replay.known(), [(0, 1)], "factor {factor}, seed {seed}");
            let slowed = replay.slowed;
            assert!(slowed <= 20, "{slowed} runs, factor {factor}, seed {seed}");
        }
    }
}

#[test]
fn a_small_slowdown_is_learned_from_more_runs() {
    for seed in 0..10 {
        let mut replay = Replay::new(seed, 30, 2);
        replay.pairs = vec![(0, 1, 1.5)];
        replay.run(4_000, &[20, 3], true, |rng, _| rng.random_range(0..30));
        assert_eq!(
            replay.known(),
            [(0, 1)],
            "seed {seed}, {} runs",
            replay.slowed
        );
    }
}

/// Guards against pairs that are learned by chance, which would cost placements.
#[test]
fn noise_alone_teaches_no_pair() {
    let noises = [replay::wild, replay::skewed, replay::calm];
    for (n, noise) in noises.into_iter().enumerate() {
        for seed in 0..4 {
            let mut replay = Replay::new(seed, 100, 6);
            replay.noise = noise;
            let counts = [60, 60, 30, 30, 10, 5];
            while replay.ended < 5_000 {
                let next = replay.ended + 20;
                replay.run(next, &counts, true, |rng, _| rng.random_range(0..100));
                assert_eq!(replay.known(), [], "noise {n}, seed {seed}");
            }
        }
    }
}

/// Guards against a worker that is slow, for a time or always, being taken for its tasks.
#[test]
fn slow_workers_are_not_taken_for_neighbours() {
    for seed in 0..6 {
        let mut replay = Replay::new(seed, 40, 3);
        for at in 0..6 {
            replay.slowness[at] = 3.0;
        }
        // Kind 1 runs on the slow workers and on two others only.
        let place = |rng: &mut rand::rngs::SmallRng, kind| match kind {
            1 => rng.random_range(0..8),
            _ => rng.random_range(0..40),
        };
        while replay.ended < 3_000 {
            let next = replay.ended + 100;
            replay.run(next, &[80, 8, 30], true, place);
            assert_eq!(replay.known(), [], "seed {seed}");
            // One more worker is slow for a while.
            let at = replay.rng.random_range(8..40);
            replay.slowness[8..].fill(1.0);
            replay.slowness[at] = 4.0;
        }
    }
}

/// Guards against blaming kinds that are often where the noisy one is, and against taking a worker with
/// a kind that slows down all others for a slow one.
#[test]
fn only_the_kind_that_slows_down_all_others_is_blamed() {
    for seed in 0..10 {
        let mut replay = Replay::new(seed, 40, 4);
        replay.pairs = vec![(0, 3, 2.0), (1, 3, 2.0), (2, 3, 2.0)];
        // Kinds 2 and 3 share a third of the workers.
        let place = |rng: &mut rand::rngs::SmallRng, kind| match kind {
            2 | 3 => rng.random_range(0..14),
            _ => rng.random_range(0..40),
        };
        let mut blamed = Vec::new();
        while replay.ended < 3_000 {
            let next = replay.ended + 50;
            replay.run(next, &[60, 40, 6, 6], false, place);
            blamed.extend(replay.known());
        }
        blamed.sort_unstable();
        blamed.dedup();
        assert_eq!(blamed, [(0, 3), (1, 3), (2, 3)], "seed {seed}");
    }
}

#[test]
fn a_pair_is_forgotten_after_a_minute_without_its_runs() {
    let mut replay = Replay::new(1, 30, 2);
    replay.pairs = vec![(0, 1, 2.0)];
    replay.run(2_000, &[60, 8], true, |rng, _| rng.random_range(0..30));
    let until = replay.now + 59_000;
    let apart = |rng: &mut rand::rngs::SmallRng, kind| match kind {
        0 => rng.random_range(0..20),
        _ => rng.random_range(20..30),
    };
    while replay.now < until {
        let next = replay.ended + 50;
        replay.run(next, &[30, 8], false, apart);
    }
    assert_eq!(
        replay.known(),
        [(0, 1)],
        "runs of less than a minute ago count"
    );
    while replay.now < until + 6_000 {
        let next = replay.ended + 50;
        replay.run(next, &[30, 8], false, apart);
    }
    assert_eq!(replay.known(), []);
}

#[test]
fn a_pair_that_no_longer_interferes_is_given_up() {
    let mut replay = Replay::new(2, 30, 2);
    replay.pairs = vec![(0, 1, 2.0)];
    replay.run(2_000, &[60, 8], true, |rng, _| rng.random_range(0..30));
    assert_eq!(replay.known(), [(0, 1)]);
    replay.pairs.clear();
    let until = replay.now + 50_000;
    while replay.now < until && !replay.known().is_empty() {
        let next = replay.ended + 20;
        replay.run(next, &[60, 8], false, |rng, _| rng.random_range(0..30));
    }
    assert_eq!(
        replay.known(),
        [],
        "newer runs refute it before its samples expire"
    );
}

#[test]
fn a_change_of_the_queue_forgets_its_pairs() {
    let mut replay = Replay::new(3, 30, 2);
    replay.pairs = vec![(0, 1, 2.0)];
    replay.run(2_000, &[60, 8], true, |rng, _| rng.random_range(0..30));
    assert_eq!(replay.known(), [(0, 1)]);
    replay.queues[1].attempts += 1;
    replay.start(1, 0);
    assert_eq!(replay.known(), []);
}

/// Guards against memory that grows with the number of queues that callers use.
#[test]
fn memory_is_bounded_with_any_number_of_kinds() {
    let mut replay = Replay::new(4, 20, 90);
    let counts = [3; 90];
    replay.run(6_000, &counts, false, |rng, _| rng.random_range(0..20));
    let [kinds, runs, pairs, samples] = replay.neighbours.sizes();
    assert_eq!((kinds, pairs), (kinds::MAX_KINDS, evidence::MAX_PAIRS));
    assert!(runs <= 270, "{runs} runs");
    let most = 64 * 128 + 512 * 48 + 20 * 16;
    assert!(samples <= most, "{samples} samples");
    // Kinds without runs give their places to others.
    for _ in 0..4_000 {
        replay.step();
    }
    replay.start(89, 0);
    let label = make::step(1, 1_000);
    let queue = replay.queues[89].name.clone();
    assert_eq!(replay.neighbours.sizes()[1], 1, "the run is tracked");
    assert!(replay.neighbours.view(&queue, &label, 0).is_none());
}

#[test]
fn nothing_is_recorded_unless_active() {
    let mut replay = Replay::new(5, 30, 2);
    replay.neighbours = Neighbours::default();
    replay.pairs = vec![(0, 1, 3.0)];
    replay.run(500, &[60, 8], true, |rng, _| rng.random_range(0..30));
    assert_eq!(replay.neighbours.sizes(), [0, 0, 0, 0]);
}

/// Guards against a change of load that affects all workers being taken for a kind that comes with it.
#[test]
fn a_kind_that_comes_with_a_change_of_load_is_not_blamed() {
    let mut wrong = Vec::new();
    for (others, slow) in [(0, 1.6), (0, 2.0), (20, 1.6), (20, 2.0)] {
        for (before, noisy) in [(0, 4), (0, 12), (0, 25), (2, 12), (2, 25)] {
            for seed in 0..3 {
                let mut replay = Replay::new(seed, 40, 3);
                let place = |rng: &mut rand::rngs::SmallRng, _| rng.random_range(0..40);
                replay.run(600, &[40, before, others], false, place);
                // All workers become slower as more tasks of kind 1 come.
                replay.slowness.fill(slow);
                let from = replay.now;
                while replay.now < from + 30_000 {
                    let next = replay.ended + 20;
                    replay.run(next, &[40, noisy, others], true, place);
                    if !replay.known().is_empty() {
                        let after = replay.now - from;
                        wrong.push((others, slow, before, noisy, seed, after, replay.known()));
                        break;
                    }
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{} {wrong:?}", wrong.len());
}
