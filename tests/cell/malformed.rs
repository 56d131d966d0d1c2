//! Workers whose registration is malformed for a time, and the bounds on what is logged about
//! malformed entries.

use std::time::Duration;

use bamboolock::{
    cell::{
        engine::Engine,
        model::Outcome,
        shell::registry, //
    },
    malformed::{
        Entries,
        List, //
    },
    platform::store::Record,
};
use serde_json::json;
use tokio::time::Instant;

use super::make::{
    self,
    START, //
};

const JOB: &str = "00000000000000e1";

/// Registration of a worker of [`make::worker`] as the worker writes it.
fn entry(incarnation: u64) -> Vec<u8> {
    let entry = json!({
        "service": "service", "address": "127.0.0.1:1", "zone": "a", "state": "ready", "born": incarnation,
        "capacity": {"cpu": 16_000, "mem_mb": 100_000}, "labels": ["kind", "rack"],
    });
    entry.to_string().into_bytes()
}

fn apply(engine: &mut Engine, id: &str, value: impl Into<Vec<u8>>) {
    let value: Vec<u8> = value.into();
    let record = Record {
        key: id.into(),
        value: Some(value.into()),
    };
    registry::apply(engine, &record);
}

/// Values that another writer may leave in place of a registration.
fn malformed() -> Vec<Vec<u8>> {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let port = String::from_utf8(entry(1)).unwrap();
    vec![
        Vec::new(),
        b"no JSON".to_vec(),
        b"\xff\xfe".to_vec(),
        nested.into_bytes(),
        port.replace("127.0.0.1:1", "127.0.0.1:65536").into_bytes(),
        port.replace("16000", "1e400").into_bytes(),
        entry(u64::MAX),
    ]
}

#[test]
fn a_worker_gets_no_tasks_while_its_registration_is_malformed() {
    for value in malformed() {
        let mut engine = make::owner(&[("w1", 16_000)]);
        apply(&mut engine, "w1", value.clone());
        let work = make::work(vec![make::step(1, 1_000)]);
        make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
        let text = String::from_utf8_lossy(&value);
        assert_eq!(make::starts(&mut engine, START), [], "{text:.40}");
        apply(&mut engine, "w1", entry(1));
        make::store(&mut engine, START);
        let key = engine.cluster.find_worker("w1").unwrap();
        if !engine.cluster.workers[key].fenced {
            make::answer(&mut engine, key, make::report(1, 600), START);
        }
        make::store(&mut engine, START);
        assert_eq!(make::starts(&mut engine, START).len(), 1, "{text:.40}");
    }
}

#[test]
fn runs_on_a_worker_with_a_malformed_registration_are_not_forgotten() {
    for value in malformed() {
        let mut engine = make::owner(&[("w1", 16_000)]);
        let work = make::work(vec![make::step(2, 1_000)]);
        make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
        let runs = make::starts(&mut engine, START);
        make::accept(&mut engine, &runs, START);
        apply(&mut engine, "w1", value.clone());
        let key = engine.cluster.find_worker("w1").unwrap();
        assert_eq!(engine.cluster.workers[key].runs.len(), 2);
        let poll = engine.poll_command(key, START + 10).unwrap();
        assert!(poll.lease_end.is_some(), "the lease of its runs is renewed");
        let mut report = make::report(1, 600);
        report.running = vec![make::live(JOB, 0, 1, 1)];
        report.ended = vec![make::end(1, make::task(JOB, 0, 0), 1, Outcome::Done)];
        engine.apply_report(key, START + 10, 0, &report, START + 20);
        make::store(&mut engine, START + 30);
        assert_eq!(engine.cluster.workers[key].runs.len(), 1);
        let poll = engine.poll_command(key, START + 40).unwrap();
        assert_eq!(poll.acked, 1);
        report = make::report(1, 640);
        report.ended = vec![make::end(2, make::task(JOB, 0, 1), 1, Outcome::Done)];
        engine.apply_report(key, START + 40, 1, &report, START + 50);
        make::store(&mut engine, START + 60);
        let state = engine.visible_state(JOB).unwrap();
        assert!(state.is_final(), "{:.40}", String::from_utf8_lossy(&value));
    }
}

#[test]
fn an_entry_that_is_malformed_from_the_start_adds_no_worker() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    for value in malformed() {
        apply(&mut engine, "w2", value);
    }
    for key in ["", "w 3", "w\n4", &"w".repeat(255)] {
        apply(&mut engine, key, entry(1));
    }
    assert_eq!(engine.cluster.index.len(), 1);
    apply(&mut engine, "w2", entry(1));
    assert!(engine.cluster.find_worker("w2").is_some());
}

#[test]
fn thousands_of_malformed_entries_give_few_lines() {
    let mut entries = Entries::default();
    let start = Instant::now();
    let mut lines = 0;
    for n in 0..20_000_u32 {
        let at = start + Duration::from_millis(u64::from(n));
        let (logged, unlogged) = entries.note(List::Registrations, &format!("i-{n}"), at);
        lines += u32::from(logged) + u32::from(unlogged.is_some());
    }
    assert_eq!(
        lines,
        16 + 1 + 16,
        "two intervals, and one sum between them"
    );
}

#[test]
fn an_entry_is_logged_once_until_it_is_well_formed_again() {
    let mut entries = Entries::default();
    let now = Instant::now();
    let later = now + Duration::from_secs(60);
    assert_eq!(entries.note(List::Registrations, "w1", now), (true, None));
    assert_eq!(entries.note(List::Registrations, "w1", now), (false, None));
    assert_eq!(entries.note(List::Reports, "w1", now), (true, None));
    assert_eq!(
        entries.note(List::Registrations, "w1", later),
        (false, Some(1))
    );
    entries.forget(List::Registrations, "w1");
    assert_eq!(entries.note(List::Registrations, "w1", later), (true, None));
}
