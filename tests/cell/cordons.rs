//! Cordons: a worker that does not answer holds back only the tasks that may run on it.

use bamboolock::cell::{
    cluster,
    engine::{
        Action,
        Engine, //
    },
    job::RunKey,
    journal,
    model::Outcome, //
};

use super::make::{
    self,
    START,
    TIMES, //
};

const RUNNING: &str = "00000000000000e1";
const WAITING: &str = "00000000000000e2";

/// Time for which a silent worker is observed before its owner is lost, in milliseconds.
const SILENCE: u64 = 2_000;

/// Longest wait for runs that no cordon tells of, in milliseconds.
const WAIT: u64 = 6_000 + 6_000 + 500;

type Stored = Vec<(String, Option<Vec<u8>>)>;

/// Creates an owner of w1 and w2 with a job of one task on each, and a second job that no worker can
/// take.
fn owner(gang: bool) -> (Engine, Stored) {
    let mut engine = make::owner(&[]);
    let mut stored = Stored::new();
    for id in ["w1", "w2"] {
        engine.register(make::worker(id, 1, 1_000));
        let key = engine.cluster.find_worker(id).unwrap();
        make::answer(&mut engine, key, make::report(1, 500), START);
    }
    let mut step = make::step(2, 1_000);
    step.gang = gang;
    for id in [RUNNING, WAITING] {
        let work = make::work(vec![step.clone()]);
        engine.submit(id, make::queue("q", 0), work, START).unwrap();
    }
    stored.extend(make::store(&mut engine, START));
    let runs = make::starts(&mut engine, START);
    assert_eq!(runs.len(), 2);
    make::accept(&mut engine, &runs, START);
    (engine, stored)
}

/// Lets a worker fall silent, and returns the time at which its owner has noted that.
fn fall_silent(engine: &mut Engine, stored: &mut Stored, id: &str) -> u64 {
    let key = engine.cluster.find_worker(id).unwrap();
    engine.poll_command(key, START + 100).unwrap();
    engine.poll_failed(key, START + 1_600);
    let now = START + 1_600 + SILENCE;
    engine.tick(now);
    stored.extend(make::store(engine, now));
    now
}

fn load(term: u64, stored: &Stored, now: u64) -> Engine {
    let mut engine = Engine::new(term, TIMES);
    engine.set_wall_clock(now, now);
    engine.proven_at = now;
    let records = stored.iter();
    let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
    engine.load(records, now);
    engine.tick(now);
    engine
}

/// Lets a worker report that it runs task `index` of the first job, or nothing.
fn report(engine: &mut Engine, id: &str, index: Option<u32>, now: u64) {
    let key = engine.cluster.find_worker(id).unwrap();
    let mut report = make::report(1, now - START + 500);
    report.running = index
        .into_iter()
        .map(|index| make::live(RUNNING, 0, index, 1))
        .collect();
    engine.poll_failed(key, now);
    engine.cluster.workers[key].poll_after = 0;
    make::answer(engine, key, report, now);
    engine.tick(now);
}

/// Index of the task of the first job on a worker.
fn index_on(engine: &Engine, id: &str) -> u32 {
    let worker = engine.cluster.find_worker(id).unwrap();
    let run = engine.cluster.workers[worker].runs[0];
    engine.cluster.runs[run].name.index
}

fn names(engine: &Engine, runs: &[RunKey]) -> Vec<String> {
    let name = |run: &RunKey| engine.cluster.runs[*run].name.job.to_string();
    runs.iter().map(name).collect()
}

/// Places what it can, and returns the jobs of the tasks that start.
fn started(engine: &mut Engine, now: u64) -> Vec<String> {
    make::store(engine, now);
    let runs = make::starts(engine, now);
    names(engine, &runs)
}

/// Lets a third worker join.
fn spare(engine: &mut Engine, now: u64) {
    spare_as(engine, "w3", now);
}

/// Lets another worker join.
fn spare_as(engine: &mut Engine, id: &str, now: u64) {
    engine.register(make::worker(id, 1, 16_000));
    let key = engine.cluster.find_worker(id).unwrap();
    make::answer(engine, key, make::report(1, 500), now);
    make::store(engine, now);
    engine.tick(now);
}

/// A worker lost before its owner must not hold back the tasks that it never ran.
#[test]
fn a_silent_worker_holds_back_only_its_own_tasks_after_a_change_of_owner() {
    let (mut first, mut stored) = owner(false);
    let index = index_on(&first, "w2");
    let now = fall_silent(&mut first, &mut stored, "w1") + 500;
    let mut next = load(2, &stored, now);
    report(&mut next, "w2", Some(index), now + 50);
    spare(&mut next, now + 100);
    assert_eq!(started(&mut next, now + 100), [WAITING, WAITING]);
    assert!(!next.is_reconciled());
}

/// The lease of a run on a silent worker must have expired before its task starts elsewhere.
#[test]
fn a_task_of_a_silent_worker_waits_for_its_lease_and_a_later_proof() {
    let (mut first, mut stored) = owner(false);
    let index = index_on(&first, "w2");
    let silent = fall_silent(&mut first, &mut stored, "w1");
    let key = first.cluster.find_worker("w1").unwrap();
    let leases = first.cluster.workers[key].leases_end - silent;
    assert!(leases > 1_000);
    let now = silent + 500;
    let mut next = load(2, &stored, now);
    report(&mut next, "w2", Some(index), now + 50);
    spare(&mut next, now + 100);
    assert_eq!(started(&mut next, now + 100), [WAITING, WAITING]);
    next.proven_at = now + leases - 1;
    next.tick(now + leases);
    assert_eq!(started(&mut next, now + leases), Vec::<String>::new());
    let over = now + leases + 500;
    next.tick(over);
    assert_eq!(started(&mut next, over), Vec::<String>::new());
    assert!(next.needs_proof(over));
    next.confirm_ownership(over + 1);
    next.tick(over + 25);
    assert_eq!(started(&mut next, over + 25), [RUNNING]);
    assert!(next.is_reconciled());
    assert!(over < now + WAIT);
}

/// A worker that has not been silent for long may still have got any task.
#[test]
fn a_worker_lost_with_its_owner_holds_back_all_inherited_tasks() {
    let (mut first, mut stored) = owner(false);
    let index = index_on(&first, "w2");
    let now = START + 1_000;
    first.tick(now);
    stored.extend(make::store(&mut first, now));
    let mut next = load(2, &stored, now);
    report(&mut next, "w2", Some(index), now + 50);
    spare(&mut next, now + 100);
    assert_eq!(started(&mut next, now + 100), Vec::<String>::new());
    next.tick(now + WAIT);
    next.proven_at = now + WAIT;
    next.tick(now + WAIT);
    assert_eq!(started(&mut next, now + WAIT).len(), 3);
}

/// A run on a worker that answers its next owner must be kept, not started again.
#[test]
fn a_task_on_a_cordoned_worker_that_answers_is_adopted() {
    let (mut first, mut stored) = owner(false);
    let (one, two) = (index_on(&first, "w1"), index_on(&first, "w2"));
    let now = fall_silent(&mut first, &mut stored, "w1") + 500;
    let mut next = load(2, &stored, now);
    report(&mut next, "w2", Some(two), now + 50);
    report(&mut next, "w1", Some(one), now + 70);
    assert!(next.is_reconciled());
    spare(&mut next, now + 100);
    assert_eq!(started(&mut next, now + 100), [WAITING, WAITING]);
    next.tick(now + WAIT);
    assert_eq!(started(&mut next, now + WAIT), Vec::<String>::new());
}

/// A gang must not be placed anew while one of its members may run.
#[test]
fn a_gang_with_a_member_on_a_silent_worker_waits_as_a_whole() {
    let (mut first, mut stored) = owner(true);
    let now = fall_silent(&mut first, &mut stored, "w1") + 500;
    let mut next = load(2, &stored, now);
    report(&mut next, "w2", None, now + 50);
    spare(&mut next, now + 100);
    assert_eq!(started(&mut next, now + 100), [WAITING, WAITING]);
    next.proven_at = now + WAIT;
    next.tick(now + WAIT);
    assert_eq!(started(&mut next, now + WAIT), [RUNNING, RUNNING]);
}

/// The next owner relies on the cordon: no command may start or prolong a run until it is lifted in
/// the store.
#[test]
fn a_worker_that_answers_again_gets_no_task_and_no_lease_until_its_cordon_is_lifted() {
    let (mut engine, mut stored) = owner(false);
    let now = fall_silent(&mut engine, &mut stored, "w1");
    let key = engine.cluster.find_worker("w1").unwrap();
    let index = index_on(&engine, "w1");
    let mut back = make::report(1, now - START + 500);
    back.running = vec![make::live(RUNNING, 0, index, 1)];
    make::answer(&mut engine, key, back.clone(), now + 100);
    let durable = engine.durable_batch;
    assert!(!engine.cluster.workers[key].is_schedulable(durable, now + 100));
    let poll = engine.poll_command(key, now + 110).unwrap();
    assert_eq!(poll.lease_end, None);
    engine.apply_report(key, now + 110, 0, &back, now + 115);
    let records = make::store(&mut engine, now + 120);
    let (_, value) = records.iter().find(|(key, _)| key == "ww1").unwrap();
    let record: journal::Worker = serde_json::from_slice(value.as_ref().unwrap()).unwrap();
    assert_eq!(record.cordon, None);
    let poll = engine.poll_command(key, now + 130).unwrap();
    assert!(poll.lease_end.is_some());
}

/// A start that was decided before the cordon must not be sent after it.
#[test]
fn a_start_that_was_not_sent_before_the_cordon_is_taken_back() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, RUNNING, make::queue("q", 0), work, START);
    let run = make::starts(&mut engine, START)[0];
    let key = engine.cluster.find_worker("w1").unwrap();
    engine.poll_command(key, START + 10).unwrap();
    engine.poll_failed(key, START + 100);
    engine.tick(START + 700);
    make::store(&mut engine, START + 700);
    assert_eq!(engine.start_command(run, START + 710), None);
    assert!(engine.cluster.runs.is_empty());
}

/// Once the leases on a silent worker have expired, a later owner must not wait for them again.
#[test]
fn a_worker_whose_leases_have_expired_holds_back_no_task_of_a_later_owner() {
    let (mut first, mut stored) = owner(false);
    let index = index_on(&first, "w2");
    let mut now = fall_silent(&mut first, &mut stored, "w1");
    now += cluster::local_duration(TIMES.lease) + 500;
    first.tick(now);
    stored.extend(make::store(&mut first, now));
    let mut next = load(2, &stored, now);
    report(&mut next, "w2", Some(index), now + 50);
    spare(&mut next, now + 100);
    let once = now + 600;
    next.proven_at = once;
    next.tick(once);
    assert!(next.is_reconciled());
    let jobs = started(&mut next, once);
    assert_eq!(jobs.iter().filter(|job| *job == RUNNING).count(), 1);
}

/// Owners in a row that never hear from a worker must not each wait for it from the start.
#[test]
fn a_worker_that_no_owner_hears_is_outwaited_once() {
    let (mut first, mut stored) = owner(false);
    let index = index_on(&first, "w2");
    let mut now = START + 1_000;
    first.tick(now);
    stored.extend(make::store(&mut first, now));
    let mut second = load(2, &stored, now);
    // It has lost its owners, but not the store.
    second.register(make::worker("w1", 1, 1_000));
    report(&mut second, "w2", Some(index), now + 50);
    now += WAIT;
    let key = second.cluster.find_worker("w1").unwrap();
    second.poll_failed(key, now);
    second.proven_at = now;
    second.tick(now);
    assert!(second.is_reconciled());
    second.tick(now + 600);
    stored.extend(make::store(&mut second, now + 600));
    now += 700;
    let mut third = load(3, &stored, now);
    report(&mut third, "w2", Some(index), now + 50);
    spare(&mut third, now + 100);
    assert!(!started(&mut third, now + 100).is_empty());
}

/// A worker that no earlier owner could use must not hold back inherited tasks.
#[test]
fn a_worker_that_registers_and_never_answers_holds_back_nothing() {
    let (mut first, mut stored) = owner(false);
    let (one, two) = (index_on(&first, "w1"), index_on(&first, "w2"));
    let now = START + 1_000;
    first.tick(now);
    stored.extend(make::store(&mut first, now));
    let mut next = load(2, &stored, now);
    next.register(make::worker("w4", 1, 16_000));
    report(&mut next, "w1", Some(one), now + 40);
    report(&mut next, "w2", Some(two), now + 50);
    assert!(next.is_reconciled());
    spare(&mut next, now + 100);
    assert_eq!(started(&mut next, now + 100), [WAITING, WAITING]);
}

/// A worker without runs is not polled while its heartbeats arrive. Lost with its owner, it must not
/// hold back all inherited tasks.
#[test]
fn a_worker_without_runs_whose_heartbeats_end_is_polled_and_cordoned() {
    let (mut first, mut stored) = owner(false);
    let (one, two) = (index_on(&first, "w1"), index_on(&first, "w2"));
    spare(&mut first, START + 10);
    let idle = first.cluster.find_worker("w3").unwrap();
    let beat = |engine: &mut Engine, ids: &[&str], now: u64| {
        for id in ids {
            let capacity = if *id == "w3" { 16_000 } else { 1_000 };
            engine.register(make::worker(id, 1, capacity));
        }
        engine.registrations_read(now);
        engine.tick(now);
    };
    let polled = |engine: &mut Engine| {
        let actions = std::mem::take(&mut engine.actions);
        actions.contains(&Action::Poll(idle))
    };
    let mut now = START + 20;
    while now < START + 6_000 {
        beat(&mut first, &["w1", "w2", "w3"], now);
        assert!(!polled(&mut first), "at {now}");
        now += 400;
    }
    let lost = now;
    while !polled(&mut first) {
        assert!(now < lost + 3_500, "never polled");
        beat(&mut first, &["w1", "w2"], now);
        now += 400;
    }
    first.poll_command(idle, now).unwrap();
    first.poll_failed(idle, now + 300);
    first.tick(now + 325);
    assert_eq!(first.cordoned_workers(), 1);
    stored.extend(make::store(&mut first, now + 330));
    let began = now + 1_000;
    let mut next = load(2, &stored, began);
    report(&mut next, "w1", Some(one), began + 40);
    report(&mut next, "w2", Some(two), began + 50);
    spare_as(&mut next, "w4", began + 100);
    assert_eq!(started(&mut next, began + 100), [WAITING, WAITING]);
}

/// While the store is away, no heartbeat is seen, and all workers would be polled at once.
#[test]
fn workers_without_runs_are_not_polled_because_the_list_was_not_read() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    engine.registrations_read(START);
    for now in [START + 5_000, START + 5_400, START + 7_000] {
        engine.registrations_read(now);
        engine.tick(now);
        assert_eq!(engine.actions, []);
    }
}

/// A record that the store refuses would hold up all others.
#[test]
fn a_worker_with_very_many_runs_is_not_cordoned() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let mut step = make::step(1_001, 1);
    step.demand.memory = 1;
    make::submit(
        &mut engine,
        RUNNING,
        make::queue("q", 0),
        make::work(vec![step]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    assert_eq!(runs.len(), 1_001);
    make::accept(&mut engine, &runs, START);
    let mut stored = Stored::new();
    fall_silent(&mut engine, &mut stored, "w1");
    assert_eq!(engine.cordoned_workers(), 0);
}

/// An end that was read before the owner was lost must not be hidden by a cordon.
#[test]
fn a_failed_run_on_a_worker_that_then_falls_silent_is_not_withheld() {
    let (mut first, mut stored) = owner(false);
    let (one, two) = (index_on(&first, "w1"), index_on(&first, "w2"));
    let key = first.cluster.find_worker("w1").unwrap();
    let mut report_of_end = make::report(1, 900);
    let name = make::task(RUNNING, 0, one);
    report_of_end.ended = vec![make::end(1, name, 1, Outcome::Failed)];
    make::answer(&mut first, key, report_of_end, START + 50);
    stored.extend(make::store(&mut first, START + 60));
    let now = fall_silent(&mut first, &mut stored, "w1") + 500;
    let mut next = load(2, &stored, now);
    report(&mut next, "w2", Some(two), now + 50);
    spare(&mut next, now + 100);
    let mut jobs = started(&mut next, now + 100);
    jobs.sort();
    assert_eq!(jobs, [RUNNING, WAITING, WAITING]);
}
