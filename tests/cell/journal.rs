//! Stored records restore the state that they were written from.

use bamboolock::cell::{
    engine::Engine,
    journal::{
        self,
        Kind, //
    },
    model::{
        Outcome,
        State, //
    }, //
};
use proptest::prelude::*;

use super::make::{
    self,
    START,
    TIMES, //
};

#[test]
fn keys_encode_kind_and_name() {
    for kind in [Kind::Accepted, Kind::Progress] {
        let key = journal::key(kind, "0123456789abcdef");
        assert_eq!(journal::parse_key(&key), Some((kind, "0123456789abcdef")));
    }
    for bad in ["", "x0123456789abcdef", "é"] {
        assert_eq!(journal::parse_key(bad), None);
    }
}

#[test]
fn unreadable_records_are_skipped_and_the_newest_of_a_key_wins() {
    let mut first = make::owner(&[]);
    first
        .submit(
            "a1",
            make::queue("q", 0),
            make::work(vec![make::step(1, 10)]),
            START,
        )
        .unwrap();
    first
        .submit(
            "b2",
            make::queue("q", 0),
            make::work(vec![make::step(1, 10)]),
            START,
        )
        .unwrap();
    let mut stored = make::store(&mut first, START);
    stored.push(("pa1".to_owned(), Some(br#"{"state":"running"}"#.to_vec())));
    stored.push(("pa1".to_owned(), Some(br#"{"state":"cancelled"}"#.to_vec())));
    stored.push(("ab2".to_owned(), None));
    stored.push(("pzz".to_owned(), Some(br#"{"state":"completed"}"#.to_vec())));
    stored.push(("ac3".to_owned(), Some(b"\xff\x00".to_vec())));
    stored.push(("?".to_owned(), Some(b"{}".to_vec())));
    let mut next = Engine::new(2, TIMES);
    next.load(
        stored.iter().map(|(k, v)| (k.as_str(), v.as_deref())),
        START,
    );
    assert_eq!(next.visible_state("a1"), Some(State::Cancelled));
    assert_eq!(next.visible_state("b2"), None);
    assert_eq!(next.jobs.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// After any mix of run outcomes, a successor has the same succeeded, failed and waiting tasks.
    #[test]
    fn a_successor_stands_where_its_predecessor_stood(ends in prop::collection::vec((0_u32..12, 0_u8..3), 0..20)) {
        let mut engine = make::owner(&[("w1", 100_000)]);
        let mut queue = make::queue("q", 0);
        queue.attempts = 30;
        engine.submit("a1", queue, make::work(vec![make::step(12, 100)]), START).unwrap();
        let mut stored = make::store(&mut engine, START);
        let key = engine.cluster.find_worker("w1").unwrap();
        let mut now = START;
        for (index, how) in ends {
            now += 100;
            let runs = make::starts(&mut engine, now);
            make::accept(&mut engine, &runs, now);
            let how = [Outcome::Done, Outcome::Failed, Outcome::Stopped][usize::from(how)];
            let worker = &engine.cluster.workers[key];
            let (number, mine) = (worker.last_outcome + 1, worker.runs.clone());
            let run = mine.iter().map(|r| engine.cluster.runs[*r].clone()).find(|r| r.name.index == index);
            let Some(run) = run else { continue };
            let mut report = make::report(1, now - START + 500);
            let others = mine.iter().map(|r| &engine.cluster.runs[*r]).filter(|r| r.name.index != index);
            report.running = others.map(|r| make::live("a1", 0, r.name.index, r.number)).collect();
            report.ended = vec![make::end(number, run.name.clone(), run.number, how)];
            make::answer(&mut engine, key, report, now);
            stored.extend(make::store(&mut engine, now));
        }
        let mut next = Engine::new(2, TIMES);
        next.load(stored.iter().map(|(k, v)| (k.as_str(), v.as_deref())), now);
        let task = |engine: &Engine| -> Vec<(bool, Vec<u32>)> {
            let job = engine.jobs.values().next().unwrap();
            let tasks = job.occurrences[0].steps[0].tasks.iter();
            let done = |phase| phase == bamboolock::cell::job::Phase::Done;
            tasks.map(|t| (done(t.phase), if done(t.phase) { Vec::new() } else { t.failed_runs.clone() })).collect()
        };
        // The start of a task is not stored: a successor learns it from the workers.
        let shown = |engine: &Engine| engine.visible_state("a1").unwrap();
        prop_assert_eq!(shown(&next).is_final(), shown(&engine).is_final());
        if shown(&engine).is_final() {
            prop_assert_eq!(shown(&next), shown(&engine));
        }
        if !engine.visible_state("a1").unwrap().is_final() {
            prop_assert_eq!(task(&next), task(&engine));
        }
    }
}
