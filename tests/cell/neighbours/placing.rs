//! Where tasks are placed that would slow each other down.

use bamboolock::{
    cell::{
        engine::{
            Action,
            Engine,
            commands::SendError, //
        },
        model::{
            self,
            Outcome, //
        },
        neighbours::kinds::Kinds, //
    },
    resources::Resources, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use super::super::make::{
    self,
    START, //
};

/// Time at which the tests begin once a pair is known, in milliseconds.
const NOW: u64 = START + 2_500;

fn id(n: usize) -> String {
    format!("{n:016x}")
}

/// Submits a job of one step and places what it can; returns the workers.
fn place(engine: &mut Engine, n: usize, queue: &str, step: model::Step) -> Vec<String> {
    let work = make::work(vec![step]);
    make::submit(engine, &id(n), make::queue(queue, 0), work, NOW);
    let runs = make::starts(engine, NOW);
    make::accept(engine, &runs, NOW);
    runs.iter().map(|run| make::place(engine, *run)).collect()
}

fn owner(workers: &[(&str, u32)]) -> Engine {
    let mut engine = make::owner(workers);
    make::teach(&mut engine, START);
    engine
}

#[test]
fn kinds_that_interfere_are_placed_on_different_workers() {
    for (first, second) in [("a", "b"), ("b", "a")] {
        let mut engine = owner(&[("w1", 8_000), ("w2", 16_000)]);
        let there = place(&mut engine, 1, first, make::step(1, 1_000));
        assert_eq!(there, ["w1"], "the least free worker");
        let other = place(&mut engine, 2, second, make::step(1, 1_000));
        assert_eq!(other, ["w2"], "{second} avoids {first}");
        assert_eq!(engine.neighbours.moves(), 1);
        let third = place(&mut engine, 3, "c", make::step(1, 1_000));
        assert_eq!(third, ["w1"], "other kinds are packed as before");
        assert_eq!(engine.neighbours.moves(), 1);
    }
}

/// Guards against tasks that wait, or are refused, for the sake of others.
#[test]
fn tasks_share_a_worker_when_no_other_has_capacity() {
    let mut engine = owner(&[("w1", 2_000), ("w2", 2_000)]);
    assert_eq!(place(&mut engine, 1, "b", make::step(1, 1_000)), ["w1"]);
    assert_eq!(place(&mut engine, 2, "c", make::step(1, 2_000)), ["w2"]);
    assert_eq!(place(&mut engine, 3, "a", make::step(1, 1_000)), ["w1"]);
}

/// Guards against the preference overriding the rack of the data, a limit or a failed worker.
#[test]
fn stronger_preferences_and_rules_come_first() {
    let mut engine = owner(&[("w1", 8_000), ("w2", 16_000)]);
    let mut far = make::worker("w2", 1, 16_000);
    far.labels = vec!["kind".into(), "far".into()];
    engine.register(far);
    make::store(&mut engine, NOW);
    assert_eq!(place(&mut engine, 1, "b", make::step(1, 1_000)), ["w1"]);
    let mut step = make::step(1, 1_000);
    step.data_rack = "rack".into();
    assert_eq!(place(&mut engine, 2, "a", step), ["w1"]);
    let mut step = make::step(2, 1_000);
    step.max_per_worker = 1;
    let mut there = place(&mut engine, 3, "a", step);
    there.sort_unstable();
    assert_eq!(there, ["w1", "w2"], "one on each, as the step demands");
}

#[test]
fn a_gang_avoids_a_kind_only_with_as_few_workers() {
    let mut engine = owner(&[("w1", 4_000), ("w2", 6_000), ("w3", 6_000)]);
    assert_eq!(place(&mut engine, 1, "b", make::step(1, 1_000)), ["w1"]);
    // Room for three members on w1 and for six on the others.
    let gang = |count| model::Step {
        gang: true,
        ..make::step(count, 1_000)
    };
    assert_eq!(place(&mut engine, 2, "a", gang(3)), ["w2"; 3]);
    assert_eq!(engine.neighbours.moves(), 3);
    let wide = place(&mut engine, 3, "a", gang(9));
    let mut used = wide.clone();
    used.sort_unstable();
    used.dedup();
    assert_eq!(wide.len(), 9);
    assert_eq!(used.len(), 2, "{wide:?}");
}

/// Guards against a count, and log lines, of gangs that the link has no room to start.
#[test]
fn a_gang_that_does_not_start_counts_as_not_moved() {
    let mut engine = owner(&[("w1", 4_000), ("w2", 6_000)]);
    assert_eq!(place(&mut engine, 1, "b", make::step(1, 1_000)), ["w1"]);
    engine.start_budget = 0;
    let gang = model::Step {
        gang: true,
        ..make::step(3, 1_000)
    };
    assert!(place(&mut engine, 2, "a", gang).is_empty());
    assert_eq!(engine.neighbours.moves(), 0);
    engine.start_budget = usize::MAX;
    let runs = make::starts(&mut engine, NOW);
    assert_eq!((runs.len(), engine.neighbours.moves()), (3, 3));
}

/// Guards against small tasks that are spread over the room that a large one waits for.
#[test]
fn a_large_task_that_waits_for_a_worker_is_not_delayed() {
    let mut engine = owner(&[("w1", 4_000), ("w2", 4_000)]);
    assert_eq!(place(&mut engine, 1, "b", make::step(1, 3_000)), ["w1"]);
    assert_eq!(place(&mut engine, 2, "c", make::step(1, 1_500)), ["w2"]);
    // It needs the whole of w2 once the task there has ended.
    let large = place(&mut engine, 3, "c", make::step(1, 4_000));
    assert!(large.is_empty(), "{large:?}");
    assert_eq!(place(&mut engine, 4, "a", make::step(1, 1_000)), ["w1"]);
    let worker = engine.cluster.find_worker("w2").unwrap();
    let mut report = make::report(1, 5_000);
    report.ended = vec![make::end(1, make::task(&id(2), 0, 0), 1, Outcome::Done)];
    make::answer(&mut engine, worker, report, NOW + 1_000);
    let runs = make::starts(&mut engine, NOW + 1_000);
    let names = runs
        .iter()
        .map(|run| engine.cluster.runs[*run].name.job.as_str());
    assert_eq!(names.collect::<Vec<_>>(), [id(3)]);
}

/// Guards against capacity that is reserved for a task of an organisation between the two rounds of a
/// pass, and that the preference has not counted.
#[test]
fn room_that_is_reserved_for_an_organisation_costs_no_other_task() {
    let mut engine = make::owner(&[("w1", 4_000), ("w2", 4_000)]);
    for name in ["w1", "w2"] {
        let mut entry = make::worker(name, 1, 4_000);
        entry.capacity.memory = 8_000;
        entry.labels.push(name.into());
        engine.register(entry);
    }
    make::store(&mut engine, START);
    make::teach(&mut engine, START);
    let organisation = |name: &str, weight| model::Organisation {
        name: name.into(),
        weight,
        cap: Resources::default(),
    };
    engine.set_organisations(&[organisation("small", 1.0), organisation("owed", 100.0)]);
    engine.set_catalog_proven_at(NOW);
    let submit = |engine: &mut Engine, n: usize, from: &str, queue: &str, step| {
        let (work, queue) = (make::work(vec![step]), make::queue(queue, 0));
        engine.submit(&id(n), queue, work, NOW).unwrap();
        engine.set_organisation(&id(n), from);
        make::store(engine, NOW);
    };
    let step = |count, millicores, memory, label: &str| {
        let mut step = make::step(count, millicores);
        step.demand.memory = memory;
        step.label = label.into();
        step
    };
    submit(&mut engine, 1, "small", "b", step(1, 2_000, 100, "w1"));
    submit(&mut engine, 2, "small", "c", step(1, 1_500, 7_000, "w2"));
    let runs = make::starts(&mut engine, NOW);
    assert_eq!(runs.len(), 2);
    make::accept(&mut engine, &runs, NOW);
    submit(&mut engine, 3, "owed", "c", step(1, 4_000, 8_000, ""));
    submit(&mut engine, 4, "owed", "a", step(1, 1_000, 500, ""));
    submit(&mut engine, 5, "small", "c", step(2, 1_000, 500, ""));
    // By now, capacity is reserved for the task that fits on no worker.
    engine.set_wall_clock(NOW + 400, NOW + 400);
    let runs = make::starts(&mut engine, NOW + 400);
    let names = runs
        .iter()
        .map(|run| engine.cluster.runs[*run].name.job.as_str());
    assert_eq!(names.collect::<Vec<_>>(), [id(4), id(5), id(5)]);
}

/// Guards against a placement policy that is asked later because the only worker to ask about was
/// filled.
#[test]
fn a_step_without_permits_finds_the_workers_to_ask_about() {
    let mut engine = owner(&[("w1", 5_000), ("w2", 4_000), ("w3", 200_000)]);
    let mut only = make::worker("w1", 1, 5_000);
    only.labels = vec!["kind".into(), "only".into()];
    engine.register(only);
    make::store(&mut engine, NOW);
    assert_eq!(place(&mut engine, 1, "b", make::step(1, 1_000)), ["w2"]);
    engine.proxies.record_heartbeat("i1", NOW);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, &id(2), make::queue("a", 0), work, NOW);
    let mut asks = make::step(1, 5_000);
    asks.label = "only".into();
    let queue = make::advised(make::queue("p", 1));
    make::submit(&mut engine, &id(3), queue, make::work(vec![asks]), NOW);
    engine.schedule(NOW);
    let actions = std::mem::take(&mut engine.actions).into_iter();
    let asked = actions.filter_map(|action| match action {
        Action::Query(query) => Some(query.workers),
        _ => None,
    });
    assert_eq!(asked.collect::<Vec<_>>(), [["w1"]]);
}

/// Steps of a random backlog.
fn backlog(rng: &mut SmallRng) -> Vec<(&'static str, model::Step)> {
    let count = rng.random_range(1..8);
    let step = |rng: &mut SmallRng| {
        let mut step = make::step(
            rng.random_range(1..4),
            *[500, 1_000, 2_000, 4_000, 7_000]
                .get(rng.random_range(0..5))
                .unwrap(),
        );
        step.gang = rng.random_bool(0.2);
        step.max_per_worker = u32::from(rng.random_bool(0.2));
        if rng.random_bool(0.2) {
            step.label = "r1".into();
        }
        (["a", "b", "c"][rng.random_range(0..3)], step)
    };
    (0..count).map(|_| step(rng)).collect()
}

/// Places a random backlog on workers that already run some tasks; returns how many tasks start in the
/// pass, and how many placements a pair changed.
fn fill(seed: u64, taught: bool) -> (usize, u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let names = ["w1", "w2", "w3", "w4", "w5"];
    let sizes = names.map(|name| (name, rng.random_range(2..10) * 1_000));
    let mut engine = make::owner(&sizes);
    for (n, (name, size)) in sizes.iter().enumerate() {
        let mut entry = make::worker(name, 1, *size);
        entry.labels = vec!["kind".into(), format!("r{}", n % 2).into()];
        engine.register(entry);
    }
    make::store(&mut engine, START);
    if taught {
        make::teach(&mut engine, START);
    }
    // The tasks that are there are the same in both cases.
    for n in 0..3 {
        let mut step = make::step(1, 1_000);
        step.label = format!("r{}", n % 2).into();
        let queue = ["b", "a", "b"][n];
        let work = make::work(vec![step]);
        make::submit(&mut engine, &id(n), make::queue(queue, 0), work, NOW);
    }
    let runs = make::starts(&mut engine, NOW);
    make::accept(&mut engine, &runs, NOW);
    let moved = engine.neighbours.moves();
    for (n, (queue, step)) in backlog(&mut rng).into_iter().enumerate() {
        let work = make::work(vec![step]);
        let queue = make::queue(queue, 0);
        make::submit(&mut engine, &id(n + 10), queue, work, NOW);
    }
    let started = make::starts(&mut engine, NOW).len();
    (started, engine.neighbours.moves() - moved)
}

/// Guards against tasks that find no worker because others were placed apart.
#[test]
fn no_pass_places_fewer_tasks_for_the_sake_of_separation() {
    let (mut moved, mut short) = (0, 0);
    for seed in 0..600 {
        let (with, moves) = fill(seed, true);
        let (without, _) = fill(seed, false);
        assert!(with >= without, "{with} of {without} tasks, seed {seed}");
        moved += u32::from(moves > 0);
        short += u32::from(moves == 0);
    }
    assert!(moved > 20, "the preference moved tasks in {moved} backlogs");
    assert!(short > 20, "it was given up in others: {short}");
}

#[test]
fn tasks_of_one_image_are_one_kind_whatever_their_step() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    engine.watch_neighbours();
    let image = |count| model::Step {
        image: "image".into(),
        ..make::step(count, 1_000)
    };
    let work = make::work(vec![image(1), image(1), make::step(1, 1_000)]);
    make::submit(&mut engine, &id(1), make::queue("q", 0), work, START);
    assert_eq!(make::starts(&mut engine, START).len(), 3);
    let [kinds, runs, ..] = engine.neighbours.sizes();
    assert_eq!((kinds, runs), (2, 3));
    let work = make::work(vec![model::Step {
        image: "i".repeat(65).into(),
        ..make::step(1, 1_000)
    }]);
    let refused = engine.submit(&id(2), make::queue("q", 0), work, START);
    assert!(refused.unwrap_err().starts_with("/steps/0: an image"));
}

/// Guards against an image that spoils all metrics: their encoder writes label values as they are.
#[test]
fn the_label_of_a_kind_needs_no_escapes() {
    let mut kinds = Kinds::default();
    let step = model::Step {
        image: "a\"} 1\n\\b".into(),
        ..make::step(1, 1_000)
    };
    let queue = make::queue("q", 0);
    let found = kinds.enter(&queue, (&step, 0), START, START).unwrap();
    assert_eq!(kinds.label(found.kind()), "q:a_} 1__b");
}

/// Guards against run times that say nothing about the neighbours.
#[test]
fn only_runs_of_known_length_give_samples() {
    let plain = make::step(1, 1_000);
    let rows: [(&str, model::Step, usize); 6] = [
        // One of the kind and one of the worker.
        ("plain", plain.clone(), 2),
        (
            "gang",
            model::Step {
                gang: true,
                ..plain.clone()
            },
            0,
        ),
        (
            "long-running",
            model::Step {
                long_running: true,
                ..plain.clone()
            },
            0,
        ),
        (
            "opportunistic",
            model::Step {
                opportunistic: true,
                ..plain.clone()
            },
            0,
        ),
        (
            "far from its data",
            model::Step {
                data_rack: "elsewhere".into(),
                ..plain.clone()
            },
            0,
        ),
        (
            "no estimate",
            model::Step {
                estimate: 0,
                ..plain.clone()
            },
            0,
        ),
    ];
    for (name, step, samples) in rows {
        let mut engine = make::owner(&[("w1", 16_000)]);
        engine.watch_neighbours();
        place(&mut engine, 1, "q", step);
        let worker = engine.cluster.find_worker("w1").unwrap();
        let mut report = make::report(1, 5_000);
        report.ended = vec![make::end(1, make::task(&id(1), 0, 0), 1, Outcome::Done)];
        make::answer(&mut engine, worker, report, NOW + 1_000);
        let [_, runs, _, found] = engine.neighbours.sizes();
        assert_eq!((runs, found), (0, samples), "{name}");
    }
}

/// Guards against durations that include the time until a late report, or miss a part of the run.
#[test]
fn runs_of_uncertain_length_give_no_samples() {
    let samples = |case: &str| {
        let mut engine = make::owner(&[("w1", 16_000)]);
        engine.watch_neighbours();
        let work = make::work(vec![make::step(1, 1_000)]);
        make::submit(&mut engine, &id(1), make::queue("q", 0), work, NOW);
        let worker = engine.cluster.find_worker("w1").unwrap();
        let runs = make::starts(&mut engine, NOW);
        let (mut number, task) = (1, make::task(&id(1), 0, 0));
        if case == "repeated" {
            engine.start_command(runs[0], NOW).unwrap();
            engine.start_answered(runs[0], Err(SendError::Relay), NOW + 50);
            let mut report = make::report(1, 4_000);
            report.running = vec![make::live(&id(1), 0, 0, 1)];
            make::answer(&mut engine, worker, report, NOW + 100);
        } else {
            make::accept(&mut engine, &runs, NOW);
        }
        if case == "silent" {
            engine.poll_command(worker, NOW + 100).unwrap();
            engine.poll_failed(worker, NOW + 200);
        }
        if case == "resumed" {
            let mut report = make::report(1, 4_000);
            report.ended = vec![make::end(1, task.clone(), 1, Outcome::Failed)];
            report.ended[0].checkpoint = "checkpoint".into();
            make::answer(&mut engine, worker, report, NOW + 100);
            make::store(&mut engine, NOW + 150);
            let runs = make::starts(&mut engine, NOW + 200);
            make::accept(&mut engine, &runs, NOW + 200);
            number = 2;
        }
        let mut report = make::report(1, 5_000);
        report.ended = vec![make::end(number, task, number as u32, Outcome::Done)];
        make::answer(&mut engine, worker, report, NOW + 1_000);
        let [_, runs, _, samples] = engine.neighbours.sizes();
        assert_eq!(runs, 0, "{case}");
        samples
    };
    let cases = ["certain", "repeated", "silent", "resumed"].map(samples);
    assert_eq!(cases, [2, 0, 0, 0]);
}
