//! Load patterns of the busiest minutes, replayed on the engine alone.

use bamboolock::cell::{
    engine::{
        Action,
        Engine,
        PolicyQuery, //
    },
    model, //
};

use super::make::{
    self,
    START, //
};

fn id(n: u32) -> String {
    format!("{n:016x}")
}

/// Ids of the jobs whose runs are to start, in order.
fn started(engine: &mut Engine, now: u64) -> Vec<String> {
    let runs = make::starts(engine, now);
    let name = |run| engine.cluster.runs[run].name.job.to_string();
    runs.into_iter().map(name).collect()
}

fn questions(engine: &mut Engine, now: u64) -> Vec<PolicyQuery> {
    engine.schedule(now);
    let actions = std::mem::take(&mut engine.actions).into_iter();
    let asks = actions.filter_map(|action| match action {
        Action::Query(question) => Some(question),
        _ => None,
    });
    asks.collect()
}

#[test]
fn jobs_on_time_are_placed_before_late_ones_in_a_burst() {
    let mut engine = make::owner(&[("w1", 1_000)]);
    // Objective: 2 x 1,000 + 1,000 ms. The first job's completion has no value any more, the second
    // job is late, the third is on time; arrival order would serve them in reverse.
    for (n, at) in [(1, START - 12_000), (2, START - 4_000), (3, START)] {
        engine.set_wall_clock(at, START);
        make::submit(
            &mut engine,
            &id(n),
            make::queue("q", 0),
            make::work(vec![make::step(1, 1_000)]),
            START,
        );
    }
    engine.set_wall_clock(START, START);
    assert_eq!(started(&mut engine, START), [id(3)]);
}

#[test]
fn queue_priority_orders_jobs_that_are_on_time() {
    let mut engine = make::owner(&[("w1", 1_000)]);
    for (n, priority) in [(1, 2), (2, 1), (3, 0)] {
        let work = make::work(vec![make::step(1, 1_000)]);
        make::submit(&mut engine, &id(n), make::queue("q", priority), work, START);
    }
    assert_eq!(started(&mut engine, START), [id(3)]);
}

#[test]
fn small_tasks_are_packed_so_that_whole_workers_stay_free_for_gangs() {
    let mut engine = make::owner(&[("w1", 16_000), ("w2", 16_000), ("w3", 16_000)]);
    for n in 0..8 {
        let work = make::work(vec![make::step(1, 2_000)]);
        make::submit(&mut engine, &id(n), make::queue("q", 0), work, START);
        assert_eq!(started(&mut engine, START).len(), 1);
    }
    let used = engine
        .cluster
        .workers
        .values()
        .filter(|w| w.used.millicores > 0);
    assert_eq!(used.count(), 1, "first fit by the least room left");
}

#[test]
fn capacity_is_reserved_for_a_gang_against_small_tasks_of_lower_priority() {
    let workers: Vec<String> = (0..10).map(|n| format!("w{n}")).collect();
    let workers: Vec<(&str, u32)> = workers.iter().map(|w| (w.as_str(), 4_000)).collect();
    let mut engine = make::owner(&workers);
    let mut gang = make::step(11, 4_000);
    gang.gang = true;
    gang.estimate = 3_000;
    make::submit(
        &mut engine,
        &id(1),
        make::queue("q", 1),
        make::work(vec![gang]),
        START,
    );
    for n in 2..30 {
        make::submit(
            &mut engine,
            &id(n),
            make::queue("q", 2),
            make::work(vec![make::step(1, 4_000)]),
            START,
        );
    }
    let placed = started(&mut engine, START);
    assert_eq!(
        placed.len(),
        8,
        "one worker in five is kept free, the others are used"
    );
}

#[test]
fn queries_for_a_gang_are_split_over_several_instances() {
    let workers: Vec<String> = (0..120).map(|n| format!("w{n:03}")).collect();
    let workers: Vec<(&str, u32)> = workers.iter().map(|w| (w.as_str(), 16_000)).collect();
    let mut engine = make::owner(&workers);
    for n in 0..10 {
        engine.proxies.record_heartbeat(&format!("i{n}"), START);
    }
    let mut gang = make::step(30, 9_000);
    gang.gang = true;
    make::submit(
        &mut engine,
        &id(1),
        make::advised(make::queue("q", 1)),
        make::work(vec![gang]),
        START,
    );
    let asked = questions(&mut engine, START);
    let named: usize = asked.iter().map(|q| q.workers.len()).sum();
    // Half of the workers are assumed to be allowed, and half as much capacity again is queried.
    assert_eq!(named, 90);
    assert_eq!(asked.len(), 4);
    let mut through: Vec<&str> = asked.iter().map(|q| q.proxy.as_str()).collect();
    through.sort_unstable();
    through.dedup();
    assert_eq!(through.len(), 4, "each part through an instance of its own");
    assert!(
        questions(&mut engine, START + 100).is_empty(),
        "nothing is asked twice"
    );
}

#[test]
fn queried_capacity_is_reserved_against_lower_ranked_steps() {
    let workers = ["w1", "w2", "w3", "w4"].map(|w| (w, 8_000));
    let mut engine = make::owner(&workers);
    engine.proxies.record_heartbeat("i1", START);
    let mut gang = make::step(2, 8_000);
    gang.gang = true;
    let queue = make::advised(make::queue("q", 1));
    make::submit(&mut engine, &id(1), queue, make::work(vec![gang]), START);
    let asked = questions(&mut engine, START);
    assert_eq!(asked.len(), 1);
    make::submit(
        &mut engine,
        &id(2),
        make::queue("p", 2),
        make::work(vec![make::step(4, 8_000)]),
        START,
    );
    assert_eq!(started(&mut engine, START + 10), Vec::<String>::new());
    let permit = |worker: &compact_str::CompactString| model::Permit {
        worker: worker.clone(),
        token: "t".into(),
    };
    let permits: Vec<model::Permit> = asked[0].workers.iter().map(permit).collect();
    engine.policy_answered(&asked[0], Some(&permits), START + 400);
    assert_eq!(started(&mut engine, START + 400)[..2], [id(1), id(1)]);
}

#[test]
fn a_new_owner_does_not_flood_the_policy() {
    let mut engine = make::owner(&[("w1", 16_000), ("w2", 16_000)]);
    for n in 0..3 {
        engine.proxies.record_heartbeat(&format!("i{n}"), START);
    }
    for n in 0..100 {
        let queue = make::advised(make::queue("q", 0));
        make::submit(
            &mut engine,
            &id(n),
            queue,
            make::work(vec![make::step(1, 10)]),
            START,
        );
    }
    let asked = questions(&mut engine, START);
    assert_eq!(
        asked.len(),
        2,
        "long questions keep to a part of the instances, one each"
    );
    engine.policy_answered(&asked[0], None, START + 500);
    assert_eq!(questions(&mut engine, START + 500).len(), 1);
}

#[test]
fn a_worker_that_fails_every_run_is_suspended() {
    let mut engine = make::owner(&[("w1", 16_000), ("w2", 100)]);
    let key = engine.cluster.find_worker("w1").unwrap();
    for n in 1..=3 {
        make::submit(
            &mut engine,
            &id(n),
            make::queue("q", 0),
            make::work(vec![make::step(1, 1_000)]),
            START,
        );
        let runs = make::starts(&mut engine, START);
        make::accept(&mut engine, &runs, START);
        engine.cancel(&id(n), START).unwrap();
    }
    make::store(&mut engine, START);
    let mut now = START + 100;
    for n in 4..=6_u32 {
        make::submit(
            &mut engine,
            &id(n),
            make::queue("q", 0),
            make::work(vec![make::step(1, 1_000)]),
            now,
        );
        let runs = make::starts(&mut engine, now);
        assert_eq!(runs.len(), 1);
        make::accept(&mut engine, &runs, now);
        let mut report = make::report(1, now - START + 500);
        report.ended = vec![make::end(
            u64::from(n),
            make::task(&id(n), 0, 0),
            1,
            model::Outcome::Failed,
        )];
        make::answer(&mut engine, key, report, now + 10);
        engine.cancel(&id(n), now + 10).unwrap();
        make::store(&mut engine, now + 10);
        now += 100;
    }
    make::submit(
        &mut engine,
        &id(7),
        make::queue("q", 0),
        make::work(vec![make::step(1, 1_000)]),
        now,
    );
    assert_eq!(make::starts(&mut engine, now), []);
    assert_eq!(
        make::starts(&mut engine, now + 4_000).len(),
        1,
        "it is tried again"
    );
}
