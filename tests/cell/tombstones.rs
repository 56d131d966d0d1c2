//! Tombstones: a job that was cancelled before any owner knew it is not accepted any more.

use bamboolock::cell::{
    engine::{
        Engine,
        Submitted, //
    },
    model::State, //
};

use super::make::{
    self,
    START,
    TIMES, //
};

const JOB: &str = "00000000000000c1";

/// Number of tombstones that an owner remembers.
const MOST: u64 = 10_000;

type Stored = Vec<(String, Option<Vec<u8>>)>;

fn load(term: u64, stored: &Stored, now: u64) -> Engine {
    let mut engine = Engine::new(term, TIMES);
    engine.set_wall_clock(now, now);
    engine.proven_at = u64::MAX / 2;
    let records = stored.iter();
    let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
    engine.load(records, now);
    engine
}

fn submit(engine: &mut Engine, id: &str, now: u64) -> Submitted {
    let work = make::work(vec![make::step(1, 1_000)]);
    engine.submit(id, make::queue("q", 0), work, now).unwrap()
}

/// A request can arrive after the answer to the cancellation, at this owner or a later one.
#[test]
fn a_job_cancelled_before_its_submission_is_refused_by_all_owners() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    assert_eq!(engine.cancel(JOB, START), None);
    let batch = engine.bury(JOB, START).unwrap();
    assert!(batch > engine.durable_batch, "it is not stored yet");
    assert_eq!(submit(&mut engine, JOB, START + 5), Submitted::Cancelled);
    let mut stored = make::store(&mut engine, START + 10);
    assert_eq!(engine.durable_batch, batch);
    assert_eq!(engine.bury(JOB, START + 20), Some(batch));
    assert_eq!(engine.visible_state(JOB), None, "nobody has submitted it");
    for term in 2..5 {
        let now = START + term * 1_000;
        let mut next = load(term, &stored, now);
        assert_eq!(submit(&mut next, JOB, now), Submitted::Cancelled);
        assert_eq!(next.visible_state(JOB), None);
        assert_eq!(next.tombstones(), if term > 2 { 2 } else { 1 });
        next.bury("00000000000000c2", now);
        stored.extend(make::store(&mut next, now + 10));
    }
}

/// Tombstones must not cost the states of finished jobs.
#[test]
fn tombstones_and_finished_jobs_share_segments() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
    engine.bury("00000000000000c2", START);
    engine.cancel(JOB, START).unwrap();
    let stored = make::store(&mut engine, START + 10);
    let mut next = load(2, &stored, START + 100);
    assert_eq!(next.visible_state(JOB), Some(State::Cancelled));
    assert_eq!(submit(&mut next, JOB, START + 100), Submitted::Known);
    assert_eq!(next.tombstones(), 1);
}

/// Anyone can cancel jobs that do not exist: what is remembered is bounded, and not at the cost of
/// an earlier promise.
#[test]
fn tombstones_are_bounded_in_number_and_time() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let id = |n: u64| format!("{n:016x}");
    for n in 0..MOST {
        assert!(engine.bury(&id(n), START).is_some());
    }
    assert_eq!(engine.bury(&id(MOST), START), None);
    assert_eq!(submit(&mut engine, &id(0), START), Submitted::Cancelled);
    make::store(&mut engine, START + 10);
    let later = START + TIMES.keep + 10;
    engine.tick(later);
    make::store(&mut engine, later);
    assert!(engine.tombstones() <= 100, "{}", engine.tombstones());
    assert!(engine.bury(&id(MOST), later).is_some());
}

/// A cancellation that is to be stored must not be lost with a submission that is withdrawn.
#[test]
fn a_cancelled_job_is_not_withdrawn_while_the_store_is_away() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let Submitted::InBatch(_) = submit(&mut engine, JOB, START) else {
        panic!("the job is new");
    };
    let batch = engine.cancel(JOB, START + 10).unwrap();
    assert!(!engine.withdraw(JOB));
    let stored = make::store(&mut engine, START + 2_000);
    assert_eq!(engine.durable_batch, batch);
    let mut next = load(2, &stored, START + 3_000);
    assert_eq!(submit(&mut next, JOB, START + 3_000), Submitted::Known);
    assert_eq!(next.visible_state(JOB), Some(State::Cancelled));
}
