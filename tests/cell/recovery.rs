//! Recovery: how long a new owner waits before it starts tasks that an earlier owner may have
//! started.

use bamboolock::cell::{
    cluster,
    engine::Engine,
    model::{
        Availability, //
        Outcome,
    }, //
};

use super::make::{
    self,
    START,
    TIMES, //
};

const JOB: &str = "00000000000000d1";

/// Keys and values in the order in which they were stored; `None` deletes a key.
type Stored = Vec<(String, Option<Vec<u8>>)>;

/// Creates an owner with a running task on the only worker, and returns what it has stored.
fn running() -> (Engine, Stored) {
    let mut engine = make::owner(&[]);
    engine.register(make::worker("w1", 1, 16_000));
    let key = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, key, make::report(1, 500), START);
    let work = make::work(vec![make::step(1, 1_000)]);
    engine
        .submit(JOB, make::queue("q", 0), work, START)
        .unwrap();
    let stored = make::store(&mut engine, START);
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    (engine, stored)
}

/// Creates a second owner that has loaded the stored records and knows another worker that has
/// reported.
fn successor(stored: &[(String, Option<Vec<u8>>)], workers: &[&str], now: u64) -> Engine {
    let records = stored.iter();
    let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
    let mut engine = make::successor(records, now);
    for id in workers {
        engine.register(make::worker(id, 1, 16_000));
    }
    make::join(&mut engine, "w2", now);
    engine.tick(now);
    engine
}

#[test]
fn a_successor_polls_a_worker_that_lost_its_registration() {
    let (_, stored) = running();
    let now = START + 1_000;
    let mut next = successor(&stored, &[], now);
    assert_eq!(
        make::starts(&mut next, now),
        [],
        "the task may run on w1, which is not registered"
    );
    let key = next.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 1_500);
    report.running = vec![make::live(JOB, 0, 0, 1)];
    make::answer(&mut next, key, report, now + 20);
    next.tick(now + 25);
    assert!(next.is_reconciled());
    assert_eq!(make::starts(&mut next, now + 30), [], "it does");
}

#[test]
fn a_worker_gets_tasks_only_once_its_registration_is_stored() {
    let mut engine = make::owner(&[]);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
    engine.register(make::worker("w1", 1, 16_000));
    let key = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, key, make::report(1, 500), START);
    assert_eq!(make::starts(&mut engine, START), []);
    make::store(&mut engine, START + 10);
    assert_eq!(make::starts(&mut engine, START + 10).len(), 1);
}

#[test]
fn a_worker_that_registers_again_within_a_batch_keeps_its_record() {
    let (mut engine, mut stored) = running();
    let key = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 900);
    report.ended = vec![make::end(1, make::task(JOB, 0, 0), 1, Outcome::Failed)];
    make::answer(&mut engine, key, report, START + 400);
    stored.extend(make::store(&mut engine, START + 410));
    // The registration lapses and is back before the next batch.
    engine.unregister("w1");
    assert_eq!(engine.cluster.find_worker("w1"), None);
    engine.register(make::worker("w1", 1, 16_000));
    let key = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, key, make::report(1, 1_000), START + 500);
    stored.extend(make::store(&mut engine, START + 510));
    let runs = make::starts(&mut engine, START + 520);
    assert_eq!(runs.len(), 1);
    make::accept(&mut engine, &runs, START + 520);
    let now = START + 1_000;
    let mut next = successor(&stored, &[], now);
    assert!(next.cluster.find_worker("w1").is_some());
    assert_eq!(make::starts(&mut next, now), [], "the task runs on w1");
}

#[test]
fn a_departed_workers_record_is_deleted_once_its_ended_runs_are_stored() {
    let (mut engine, _) = running();
    let gone = |stored: &[(String, Option<Vec<u8>>)]| {
        stored
            .iter()
            .any(|(key, value)| key == "ww1" && value.is_none())
    };
    engine.unregister("w1");
    assert!(
        !gone(&make::store(&mut engine, START + 10)),
        "it may run on"
    );
    let key = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 900);
    report.ended = vec![make::end(1, make::task(JOB, 0, 0), 1, Outcome::Done)];
    make::answer(&mut engine, key, report, START + 400);
    assert!(
        engine.cluster.find_worker("w1").is_some(),
        "the end is not stored"
    );
    assert!(!gone(&make::store(&mut engine, START + 410)));
    assert!(gone(&make::store(&mut engine, START + 420)));
    assert_eq!(engine.cluster.find_worker("w1"), None);
}

#[test]
fn a_removed_registration_does_not_end_runs() {
    let (_, stored) = running();
    let now = START + 1_000;
    let mut next = successor(&stored, &["w1"], now);
    next.unregister("w1");
    next.tick(now + 100);
    assert!(!next.is_reconciled());
    assert_eq!(make::starts(&mut next, now + 100), []);
}

#[test]
fn a_drained_worker_that_has_reported_is_not_waited_for() {
    let (_, stored) = running();
    let now = START + 1_000;
    let mut next = successor(&stored, &["w1"], now);
    let mut leaving = make::worker("w1", 1, 16_000);
    leaving.availability = Availability::Draining;
    next.register(leaving);
    let key = next.cluster.find_worker("w1").unwrap();
    make::answer(&mut next, key, make::report(1, 1_500), now + 50);
    next.unregister("w1");
    assert_eq!(next.cluster.find_worker("w1"), None);
    next.tick(now + 100);
    assert!(next.is_reconciled());
    assert_eq!(make::starts(&mut next, now + 100).len(), 1);
}

#[test]
fn reconciliation_takes_one_lease_once_the_former_owner_is_gone() {
    let (_, stored) = running();
    let now = START + 1_000;
    let mut next = successor(&stored, &["w1"], now);
    next.succeed("i2", Some((1, "i1")), now);
    let heard = now + 200;
    next.former_owner_gone("i1", heard);
    let over = heard + cluster::local_duration(TIMES.lease);
    next.tick(over);
    assert_eq!(
        make::starts(&mut next, over),
        [],
        "a lease may have been prolonged until then"
    );
    next.tick(over + 500);
    assert_eq!(make::starts(&mut next, over + 500).len(), 1);
}

#[test]
fn reconciliation_takes_longer_while_the_former_owner_may_be_alive() {
    let (_, stored) = running();
    let now = START + 1_000;
    let mut next = successor(&stored, &["w1"], now);
    let once = now + cluster::local_duration(TIMES.lease) + 500;
    next.tick(once);
    assert_eq!(make::starts(&mut next, once), []);
    let twice = now + 2 * TIMES.lease + 500;
    next.tick(twice);
    assert_eq!(make::starts(&mut next, twice).len(), 1);
}
