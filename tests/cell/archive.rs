//! Archive of finished jobs: stored records, retention and loading by a successor.

use std::collections::BTreeMap;

use bamboolock::cell::{
    engine::{
        Engine,
        Submitted, //
    },
    model::{
        Outcome,
        State, //
    }, //
};

use super::make::{
    self,
    START,
    TIMES, //
};

type Stored = BTreeMap<String, Vec<u8>>;

fn id(n: u32) -> String {
    format!("{n:016x}")
}

/// Stores the next batch as the store does, which keeps the newest record of each key.
fn store(engine: &mut Engine, stored: &mut Stored, now: u64) {
    for (key, value) in make::store(engine, now) {
        match value {
            Some(value) => drop(stored.insert(key, value)),
            None => drop(stored.remove(&key)),
        }
    }
}

fn successor(stored: &Stored, now: u64) -> Engine {
    let records = stored.iter();
    make::successor(records.map(|(k, v)| (k.as_str(), Some(v.as_slice()))), now)
}

/// Runs `count` jobs of one task to completion, one after the other.
fn run(engine: &mut Engine, stored: &mut Stored, count: u32) {
    let worker = engine.cluster.find_worker("w1").unwrap();
    for n in 0..count {
        let work = make::work(vec![make::step(1, 1_000)]);
        engine
            .submit(&id(n), make::queue("q", 0), work, START)
            .unwrap();
        store(engine, stored, START);
        let runs = make::starts(engine, START);
        make::accept(engine, &runs, START);
        let mut report = make::report(1, 900);
        let number = u64::from(n) + 1;
        report.ended = vec![make::end(
            number,
            make::task(&id(n), 0, 0),
            1,
            Outcome::Done,
        )];
        make::answer(engine, worker, report, START);
        store(engine, stored, START);
    }
}

#[test]
fn stored_records_do_not_grow_with_each_finished_job() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let mut stored = Stored::new();
    run(&mut engine, &mut stored, 250);
    assert_eq!(stored.len(), 3, "a record for each hundred jobs");
    let mut next = successor(&stored, START);
    for n in 0..250 {
        assert_eq!(next.visible_state(&id(n)), Some(State::Completed));
    }
    let work = make::work(vec![make::step(1, 1_000)]);
    let again = next.submit(&id(7), make::queue("q", 0), work, START);
    assert_eq!(again, Ok(Submitted::Known));
    assert_eq!(make::starts(&mut next, START), [], "it has run");
    assert!(next.cancel(&id(7), START).is_some());
    assert_eq!(next.visible_state(&id(7)), Some(State::Completed));
}

#[test]
fn batches_of_a_slow_owner_stay_small() {
    let size = |short: bool| {
        let mut engine = make::owner(&[("w1", 16_000)]);
        if short {
            engine.shorten_segments();
        }
        let mut stored = Stored::new();
        run(&mut engine, &mut stored, 100);
        let mut next = successor(&stored, START);
        assert!((0..100).all(|n| next.visible_state(&id(n)) == Some(State::Completed)));
        next.shorten_segments();
        stored.values().map(Vec::len).max().unwrap()
    };
    // Every batch with a finished job writes the largest record again.
    assert!(size(true) * 3 < size(false));
}

#[test]
fn each_term_writes_its_own_segments() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let mut stored = Stored::new();
    run(&mut engine, &mut stored, 3);
    let mut next = successor(&stored, START);
    let work = make::work(vec![make::step(1, 1_000)]);
    next.submit(&id(9), make::queue("q", 0), work, START)
        .unwrap();
    store(&mut next, &mut stored, START);
    next.cancel(&id(9), START).unwrap();
    store(&mut next, &mut stored, START);
    assert_eq!(stored.len(), 2);
    let last = successor(&stored, START);
    assert_eq!(last.visible_state(&id(0)), Some(State::Completed));
    assert_eq!(last.visible_state(&id(9)), Some(State::Cancelled));
}

#[test]
fn a_partly_stored_batch_still_restores_the_final_state() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let mut stored = Stored::new();
    let work = make::work(vec![make::step(1, 1_000)]);
    engine
        .submit(&id(1), make::queue("q", 0), work, START)
        .unwrap();
    store(&mut engine, &mut stored, START);
    engine.cancel(&id(1), START).unwrap();
    let (_, entries) = engine.take_batch().unwrap();
    let (key, value) = entries.first().unwrap();
    stored.insert(key.to_string(), value.clone().unwrap());
    assert_eq!(stored.len(), 2, "the job's own record is still there");
    let mut next = successor(&stored, START);
    assert_eq!(next.visible_state(&id(1)), Some(State::Cancelled));
    assert_eq!(make::starts(&mut next, START), []);
}

#[test]
fn final_states_are_deleted_after_their_retention_time() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let mut stored = Stored::new();
    run(&mut engine, &mut stored, 150);
    let within = START + TIMES.keep;
    engine.tick(within);
    store(&mut engine, &mut stored, within);
    assert_eq!(
        (stored.len(), engine.visible_state(&id(0))),
        (2, Some(State::Completed))
    );
    engine.tick(within + 1);
    store(&mut engine, &mut stored, within + 1);
    assert_eq!((stored.len(), engine.visible_state(&id(0))), (1, None));
    assert_eq!(
        engine.visible_state(&id(149)),
        Some(State::Completed),
        "its segment is being filled"
    );
}

#[test]
fn an_unreadable_segment_loses_only_its_own_jobs() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let mut stored = Stored::new();
    run(&mut engine, &mut stored, 2);
    stored.insert("f1-9".to_owned(), b"{\"what\":1}".to_vec());
    let next = successor(&stored, START);
    assert_eq!(next.visible_state(&id(1)), Some(State::Completed));
}
