//! Caps, weights and rates of organisations, in single placement passes.

use bamboolock::{
    cell::{
        engine::{
            Action,
            Engine,
            commands::SendError, //
        },
        job::RunKey,
        model,
        shares::rate::Bucket, //
    },
    resources::Resources, //
};

use super::make::{
    self,
    START, //
};

pub(super) fn id(n: u32) -> String {
    format!("{n:016x}")
}

pub(super) fn organisation(name: &str, weight: f64, millicores: u32) -> model::Organisation {
    model::Organisation {
        name: name.into(),
        weight,
        cap: Resources {
            millicores,
            ..Resources::default()
        },
    }
}

/// Organisations `a`, with a cap of 4 cores, and `b`, without one.
pub(super) fn capped() -> [model::Organisation; 2] {
    [organisation("a", 100.0, 4_000), organisation("b", 100.0, 0)]
}

pub(super) fn cell(workers: &[(&str, u32)], organisations: &[model::Organisation]) -> Engine {
    let mut engine = make::owner(workers);
    engine.set_organisations(organisations);
    engine.set_catalog_proven_at(START);
    engine
}

/// Submits a job of an organisation and stores it.
pub(super) fn submit(engine: &mut Engine, n: u32, organisation: &str, steps: Vec<model::Step>) {
    let queue = make::queue("q", 0);
    let work = make::work(steps);
    engine.submit(&id(n), queue, work, START).unwrap();
    engine.set_organisation(&id(n), organisation);
    make::store(engine, START);
}

/// Ids of the jobs whose runs are to start, in order.
pub(super) fn started(engine: &mut Engine, now: u64) -> Vec<String> {
    let runs = make::starts(engine, now);
    names(engine, &runs)
}

fn names(engine: &Engine, runs: &[RunKey]) -> Vec<String> {
    let name = |run: &RunKey| engine.cluster.runs[*run].name.job.to_string();
    runs.iter().map(name).collect()
}

fn gang(count: u32, millicores: u32) -> model::Step {
    model::Step {
        gang: true,
        ..make::step(count, millicores)
    }
}

/// Tasks that are placed in one pass must count for the later ones of the same pass.
#[test]
fn a_cap_holds_within_one_pass_and_lets_start_what_fits() {
    let mut engine = cell(&[("w1", 16_000)], &capped());
    for n in 0..3 {
        submit(&mut engine, n, "a", vec![make::step(3, 1_000)]);
    }
    let runs = started(&mut engine, START);
    assert_eq!(runs, [id(0), id(0), id(0), id(1)]);
    assert_eq!(
        engine.backlog(),
        2,
        "a step that started in part still waits"
    );
    assert_eq!(started(&mut engine, START + 100), Vec::<String>::new());
}

/// An opportunistic task takes no CPU on its worker, and must count with its declared CPU.
#[test]
fn a_cap_counts_the_declared_cpu_of_opportunistic_tasks() {
    let mut engine = cell(&[("w1", 16_000)], &capped());
    let step = model::Step {
        opportunistic: true,
        ..make::step(3, 1_000)
    };
    submit(&mut engine, 1, "a", vec![step.clone()]);
    submit(&mut engine, 2, "a", vec![step]);
    assert_eq!(started(&mut engine, START).len(), 4);
}

/// A start without an answer and a run that is being stopped may go on, and must count until their end
/// is known.
#[test]
fn a_cap_counts_unanswered_starts_and_runs_that_are_being_stopped() {
    let mut engine = cell(&[("w1", 16_000)], &capped());
    submit(&mut engine, 1, "a", vec![make::step(4, 1_000)]);
    let runs = make::starts(&mut engine, START);
    assert_eq!(runs.len(), 4);
    for run in &runs {
        engine.start_command(*run, START).unwrap();
    }
    engine.start_answered(runs[0], Err(SendError::Unknown), START);
    submit(&mut engine, 2, "a", vec![make::step(4, 1_000)]);
    // A lost answer counts as a silence, so the other worker must be free to take tasks.
    make::join(&mut engine, "w2", START);
    assert_eq!(started(&mut engine, START + 10), Vec::<String>::new());
    engine.cancel(&id(1), START + 10).unwrap();
    make::store(&mut engine, START + 10);
    assert_eq!(started(&mut engine, START + 20), Vec::<String>::new());
    // The report that was requested after the stop shows two of them ended.
    for run in &runs[1..3] {
        let reply = model::Reply {
            verdict: model::Verdict::Accepted,
            clock: Some(530),
        };
        engine.start_answered(*run, Ok(reply), START + 30);
    }
    let key = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 540);
    for index in 1..3 {
        let name = make::task(&id(1), 0, index);
        let end = make::end(u64::from(index), name, 1, model::Outcome::Stopped);
        report.ended.push(end);
    }
    let left = [0, 3].map(|index| make::live(&id(1), 0, index, 1));
    report.running.extend(left);
    make::answer(&mut engine, key, report, START + 40);
    let next = started(&mut engine, START + 50);
    assert_eq!(next, [id(2), id(2)], "two have ended, two may go on");
}

/// A gang that does not fit into its cap must neither start in part nor keep others from the workers.
#[test]
fn a_gang_wider_than_what_is_left_of_the_cap_starts_nothing_and_reserves_nothing() {
    let mut engine = cell(&[("w1", 4_000), ("w2", 4_000)], &capped());
    submit(&mut engine, 1, "a", vec![make::step(1, 1_000)]);
    assert_eq!(started(&mut engine, START).len(), 1);
    submit(&mut engine, 2, "a", vec![gang(4, 1_000)]);
    submit(&mut engine, 3, "b", vec![make::step(8, 1_000)]);
    let runs = started(&mut engine, START);
    assert_eq!(runs, vec![id(3); 7]);
    submit(&mut engine, 4, "a", vec![gang(3, 1_000)]);
    engine.cancel(&id(3), START).unwrap();
    make::store(&mut engine, START);
    assert_eq!(started(&mut engine, START), Vec::<String>::new());
}

/// The policy must not be asked about a step that its cap keeps from starting.
#[test]
fn the_policy_is_not_asked_about_a_step_that_its_cap_withholds() {
    let mut engine = cell(&[("w1", 16_000)], &capped());
    engine.proxies.record_heartbeat("i1", START);
    submit(&mut engine, 1, "a", vec![make::step(4, 1_000)]);
    assert_eq!(started(&mut engine, START).len(), 4);
    let queue = make::advised(make::queue("p", 0));
    let work = make::work(vec![make::step(1, 1_000)]);
    for (n, name) in [(2, "a"), (3, "b")] {
        engine
            .submit(&id(n), queue.clone(), work.clone(), START)
            .unwrap();
        engine.set_organisation(&id(n), name);
    }
    make::store(&mut engine, START);
    engine.schedule(START);
    let actions = std::mem::take(&mut engine.actions).into_iter();
    let asked = actions.filter_map(|action| match action {
        Action::Query(query) => Some(query.name.to_string()),
        _ => None,
    });
    let asked: Vec<String> = asked.collect();
    assert_eq!(asked, [format!("{}.0.0", id(3))]);
}

/// A lower cap must hold for what was placed and not sent, and must not stop what runs.
#[test]
fn a_cap_that_is_lowered_stops_nothing_and_a_raised_one_applies_at_once() {
    let mut engine = cell(&[("w1", 16_000)], &capped());
    submit(&mut engine, 1, "a", vec![make::step(4, 1_000)]);
    submit(&mut engine, 2, "a", vec![make::step(9, 1_000)]);
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs[..1], START);
    engine.set_organisations(&[organisation("a", 1.0, 2_000)]);
    let sent = runs[1..].iter();
    let sent = sent.filter(|run| engine.start_command(**run, START).is_some());
    assert_eq!(sent.count(), 1, "two of four are within the new cap");
    let actions = std::mem::take(&mut engine.actions);
    assert!(!actions.iter().any(|a| matches!(a, Action::Stop(_))));
    assert_eq!(started(&mut engine, START + 10), Vec::<String>::new());
    engine.set_organisations(&[organisation("a", 1.0, 6_000)]);
    assert_eq!(started(&mut engine, START + 20).len(), 4);
    engine.set_organisations(&[organisation("b", 1.0, 0)]);
    assert_eq!(
        started(&mut engine, START + 30),
        Vec::<String>::new(),
        "one that is not in the configuration any more keeps its cap"
    );
}

/// An owner that is cut off from the store must not go on with a cap that may have been lowered.
#[test]
fn nothing_starts_under_a_cap_while_the_configuration_is_too_old() {
    let mut engine = cell(&[("w1", 16_000)], &capped());
    submit(&mut engine, 1, "a", vec![make::step(1, 1_000)]);
    submit(&mut engine, 2, "a", vec![make::step(1, 1_000)]);
    submit(&mut engine, 3, "b", vec![make::step(1, 1_000)]);
    engine.start_budget = 1;
    let runs = make::starts(&mut engine, START + 3_999);
    assert_eq!(names(&engine, &runs), [id(1)]);
    engine.start_budget = usize::MAX;
    let runs = make::starts(&mut engine, START + 4_000);
    assert_eq!(names(&engine, &runs), [id(3)]);
    engine.set_catalog_proven_at(START + 3_000);
    let runs = make::starts(&mut engine, START + 4_100);
    assert_eq!(names(&engine, &runs), [id(2)]);
    assert_eq!(engine.start_command(runs[0], START + 7_000), None);
}

/// A repeated start command may be the one that begins the run.
#[test]
fn an_unanswered_start_is_not_repeated_while_the_configuration_is_too_old() {
    let mut engine = cell(&[("w1", 16_000)], &capped());
    submit(&mut engine, 1, "a", vec![make::step(1, 1_000)]);
    let run = make::starts(&mut engine, START)[0];
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START);
    let mut repeats = |proven_at: u64, now: u64| {
        engine.set_catalog_proven_at(proven_at);
        engine.tick(now);
        let actions = std::mem::take(&mut engine.actions);
        actions.contains(&Action::Start(run))
    };
    assert!(!repeats(START - 4_000, START + 100));
    assert!(repeats(START, START + 200));
}

/// Before a configuration is known, any organisation may have a cap.
#[test]
fn nothing_of_an_organisation_starts_before_a_configuration_is_known() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    engine.set_catalog_proven_at(START);
    submit(&mut engine, 1, "a", vec![make::step(1, 1_000)]);
    submit(&mut engine, 2, "", vec![make::step(1, 1_000)]);
    assert_eq!(started(&mut engine, START), [id(2)]);
    engine.set_organisations(&capped());
    assert_eq!(started(&mut engine, START), [id(1)]);
}

/// An organisation with many older jobs must not take the whole cell.
#[test]
fn organisations_below_their_entitlement_go_first() {
    let list = [organisation("a", 100.0, 0), organisation("b", 100.0, 0)];
    let mut engine = cell(&[("w1", 4_000)], &list);
    for n in 0..8 {
        submit(&mut engine, n, "a", vec![make::step(1, 1_000)]);
    }
    submit(&mut engine, 8, "b", vec![make::step(8, 1_000)]);
    let runs = started(&mut engine, START);
    assert_eq!(runs, [id(0), id(1), id(8), id(8)]);
}

/// Capacity must not stay free because whoever could use it has its share.
#[test]
fn what_nobody_is_owed_goes_to_whoever_waits() {
    let list = [organisation("a", 1.0, 0), organisation("b", 100.0, 0)];
    let mut engine = cell(&[("w1", 8_000)], &list);
    submit(&mut engine, 1, "b", vec![make::step(1, 1_000)]);
    assert_eq!(started(&mut engine, START).len(), 1);
    for n in 2..12 {
        submit(&mut engine, n, "a", vec![make::step(1, 1_000)]);
    }
    let runs = started(&mut engine, START);
    let all: Vec<String> = (2..9).map(id).collect();
    assert_eq!(runs, all, "in their order, up to the capacity");
}

/// Jobs beyond the rate must not take what others are owed, also if their organisation has little.
#[test]
fn jobs_beyond_the_rate_come_after_those_that_are_owed_service() {
    let list = [organisation("a", 1.0, 0), organisation("b", 1.0, 0)];
    let mut engine = cell(&[("w1", 6_000)], &list);
    submit(&mut engine, 0, "", vec![make::step(4, 1_000)]);
    assert_eq!(started(&mut engine, START).len(), 4);
    // Each is entitled to a third, two tasks.
    submit(&mut engine, 1, "a", vec![make::step(1, 1_000)]);
    submit(&mut engine, 2, "a", vec![make::step(1, 1_000)]);
    submit(&mut engine, 3, "b", vec![make::step(1, 1_000)]);
    assert_eq!(started(&mut engine, START), [id(1), id(3)]);
    let mut engine = cell(&[("w1", 6_000)], &list);
    submit(&mut engine, 1, "a", vec![make::step(1, 1_000)]);
    submit(&mut engine, 2, "a", vec![make::step(1, 1_000)]);
    assert_eq!(
        started(&mut engine, START).len(),
        2,
        "where there is capacity"
    );
}

/// A bucket must not give more than its rate, nor stop when the clock is set back.
#[test]
fn a_bucket_holds_the_jobs_of_one_second() {
    let mut bucket = Bucket::default();
    let mut taken = |now: u64, jobs: u32| {
        let taken = (0..jobs).filter(|_| bucket.take(4.0, now));
        taken.count()
    };
    assert_eq!(taken(START, 9), 4);
    assert_eq!(taken(START + 500, 9), 2);
    assert_eq!(taken(START - 60_000, 9), 0);
    assert_eq!(taken(START - 59_000, 9), 4);
    assert_eq!(taken(START + 59_000, 99), 4);
    let mut slow = Bucket::default();
    assert!(slow.take(0.5, START));
    assert!(!slow.take(0.5, START + 1_900));
    assert!(slow.take(0.5, START + 2_000));
}

/// Without organisations in the configuration, names of organisations must change nothing.
#[test]
fn without_organisations_nothing_changes() {
    let mut plain = make::owner(&[("w1", 4_000)]);
    let mut named = cell(&[("w1", 4_000)], &[]);
    for n in 0..12 {
        let name = ["a", "b", ""][n as usize / 4];
        let step = make::step(1 + n % 2, 1_000);
        submit(&mut plain, n, "", vec![step.clone()]);
        submit(&mut named, n, name, vec![step]);
        let work = make::work(vec![make::step(1, 1_000)]);
        let queue = make::queue("q", 0);
        assert_eq!(named.admit(&id(99), name, &queue, &work, START), Ok(()));
    }
    // Also when the configuration is old.
    named.set_catalog_proven_at(START - 60_000);
    let expected = started(&mut plain, START);
    assert_eq!(expected.len(), 4);
    assert_eq!(started(&mut named, START), expected);
}

/// A tolerated overage must not be used up by the owner: runs that it cannot see need a part of it.
#[test]
fn most_of_a_tolerated_overage_is_used() {
    let mut engine = make::owner(&[("w1", 64_000)]);
    engine.tolerate_overage(0.5);
    engine.set_organisations(&capped());
    engine.set_catalog_proven_at(START);
    submit(&mut engine, 1, "a", vec![make::step(10, 1_000)]);
    assert_eq!(make::starts(&mut engine, START).len(), 5);
}

/// A step that may have no more tasks on any worker does not wait for capacity. What is reserved for it
/// would stay unused.
#[test]
fn nothing_is_reserved_where_a_step_has_its_most_tasks() {
    let list = ["a", "b"].map(|name| organisation(name, 100.0, 0));
    let mut engine = cell(&[("w1", 4_000)], &list);
    let step = model::Step {
        max_per_worker: 1,
        ..make::step(2, 1_000)
    };
    submit(&mut engine, 1, "a", vec![step]);
    assert_eq!(started(&mut engine, START), [id(1)]);
    submit(&mut engine, 2, "b", vec![make::step(3, 1_000)]);
    assert_eq!(started(&mut engine, START + 400).len(), 3);
}
