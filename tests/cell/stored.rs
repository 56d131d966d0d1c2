//! Stored records that another writer or another version left: each affects itself alone.

use bamboolock::cell::{
    engine::Engine,
    journal::{
        self,
        Kind, //
    },
    model::State,
};
use serde_json::{
    Value,
    json, //
};

use super::make::{
    self,
    START,
    TIMES, //
};

const GOOD: &str = "00000000000000c0";
const BAD: &str = "00000000000000c1";

type Stored = Vec<(String, Option<Vec<u8>>)>;

/// Records of a stored job, and of a worker.
fn records() -> Stored {
    let mut engine = make::owner(&[]);
    let work = make::work(vec![make::step(2, 1_000)]);
    engine
        .submit(GOOD, make::queue("q", 0), work, START)
        .unwrap();
    engine.register(make::worker("w1", 1, 16_000));
    make::store(&mut engine, START)
}

/// Value of the record whose key begins with `first`, with the JSON text `value` at `pointer`.
fn with(records: &Stored, first: char, pointer: &str, value: &str) -> Vec<u8> {
    let record = records.iter().find(|(key, _)| key.starts_with(first));
    let text = record.unwrap().1.as_ref().unwrap();
    let mut body: Value = serde_json::from_slice(text).unwrap();
    *body.pointer_mut(pointer).unwrap() = json!("REPLACED");
    body.to_string().replace("\"REPLACED\"", value).into_bytes()
}

/// Begins a term with the records of [`records`] and one more.
fn load_beside(key: &str, value: &[u8], now: u64) -> Engine {
    let mut stored = records();
    stored.insert(0, (key.to_owned(), Some(value.to_vec())));
    let mut engine = Engine::new(2, TIMES);
    engine.set_wall_clock(now, now);
    engine.proven_at = u64::MAX / 2;
    let records = stored.iter();
    engine.load(
        records.map(|(key, value)| (key.as_str(), value.as_deref())),
        now,
    );
    engine
}

/// Begins a term as [`load_beside`] does, and starts the good job.
fn run_beside(key: &str, value: &[u8]) -> Engine {
    let now = START + 1_000;
    let mut engine = load_beside(key, value, now);
    make::join(&mut engine, "w1", now);
    // A worker that a malformed record names never answers.
    let later = now + 20_000;
    engine.tick(later);
    let runs = make::starts(&mut engine, later);
    let of_good = |run: &&_| engine.cluster.runs[**run].name.job == GOOD;
    assert_eq!(runs.iter().filter(of_good).count(), 2);
    assert_eq!(engine.visible_state(GOOD), Some(State::Pending));
    engine
}

#[test]
fn a_record_that_cannot_be_read_affects_itself_alone() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let values: [&[u8]; 6] = [
        b"",
        b"no JSON",
        b"\xff\xfe",
        b"7",
        b"{\"state\":",
        nested.as_bytes(),
    ];
    for kind in [Kind::Accepted, Kind::Progress, Kind::Segment, Kind::Worker] {
        for value in values {
            let engine = run_beside(&journal::key(kind, BAD), value);
            assert_eq!(engine.visible_state(BAD), None);
        }
    }
    let long = "a".repeat(255);
    for key in ["", "?", "\u{e9}", "a\n", "w", "f", "p", &long] {
        run_beside(key, b"7");
    }
}

#[test]
fn a_job_with_a_number_out_of_range_is_skipped() {
    let stored = records();
    let fields = [
        "/work/steps/0/count",
        "/work/steps/0/demand/millicores",
        "/queue/attempts",
        "/at",
        "/term",
    ];
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    for field in fields {
        for number in ["18446744073709551616", "1e400", "-1.5", nested.as_str()] {
            let value = with(&stored, 'a', field, number);
            let engine = run_beside(&journal::key(Kind::Accepted, BAD), &value);
            assert_eq!(engine.visible_state(BAD), None, "{field} {number:.40}");
        }
    }
}

#[test]
fn a_job_that_no_caller_could_have_submitted_is_skipped() {
    let stored = records();
    for (field, value) in [
        ("/work/steps/0/count", "4294967295"),
        ("/work/steps/0/count", "0"),
        ("/work/steps", "[]"),
        ("/work/steps/0", r#"{"count":1,"after":[0]}"#),
        ("/work/steps/0", r#"{"count":1,"after":[4294967295]}"#),
    ] {
        let value = with(&stored, 'a', field, value);
        let engine = run_beside(&journal::key(Kind::Accepted, BAD), &value);
        assert_eq!(engine.visible_state(BAD), None, "{field}");
    }
}

#[test]
fn a_job_with_the_largest_times_overflows_nothing() {
    let stored = records();
    let most = u64::MAX.to_string();
    let step = format!(r#"{{"count":1,"estimate":{most}}}"#);
    let chain = format!(r#"[{step},{{"count":1,"estimate":{most},"after":[0]}}]"#);
    for (field, value) in [
        (
            "/work",
            format!(r#"{{"steps":[{step}],"first":{most},"every":{most},"times":4294967295}}"#),
        ),
        ("/work/steps", chain),
        ("/at", most.clone()),
        ("/term", most.clone()),
        ("/queue/target", most.clone()),
        ("/queue/stretch", "1e300".to_owned()),
    ] {
        let value = with(&stored, 'a', field, &value);
        let engine = run_beside(&journal::key(Kind::Accepted, BAD), &value);
        assert_eq!(engine.visible_state(BAD), Some(State::Pending), "{field}");
    }
}

#[test]
fn a_worker_record_under_another_name_is_skipped() {
    let stored = records();
    let record = with(&stored, 'w', "/id", "\"w9\"");
    let engine = load_beside(&journal::key(Kind::Worker, "w8"), &record, START);
    assert_eq!(engine.cluster.workers.len(), 1);
}

#[test]
fn a_worker_record_that_no_owner_wrote_names_no_worker() {
    let stored = records();
    for (field, value) in [
        ("/address", "\"127.0.0.1:99999\""),
        ("/address", "\"somewhere\""),
        ("/capacity/millicores", "1e400"),
        ("/born", "-1"),
        ("/born", "18446744073709551615"),
        ("/standing", "\"asleep\""),
    ] {
        let mut value = with(&stored, 'w', field, value);
        let text = String::from_utf8(value).unwrap();
        value = text.replace("\"w1\"", "\"w9\"").into_bytes();
        let engine = load_beside(&journal::key(Kind::Worker, "w9"), &value, START);
        assert_eq!(engine.cluster.find_worker("w9"), None, "{field}");
    }
}

#[test]
fn progress_out_of_range_is_ignored() {
    for value in [
        r#"{"state":"running","begun":4294967295}"#,
        r#"{"state":"running","begun":1,"done":[[4294967295,0,[[0,1]]],[0,4294967295,[[0,1]]]]}"#,
        r#"{"state":"running","begun":1,"done":[[0,0,[[7,4294967295],[4294967295,0]]]]}"#,
        r#"{"state":"running","begun":1,"tasks":[{"at":[4294967295,0,0],"run":1},{"at":[0,0,4294967295],"run":1}]}"#,
    ] {
        let mut stored = records();
        stored.push((
            journal::key(Kind::Progress, GOOD).to_string(),
            Some(value.as_bytes().to_vec()),
        ));
        let now = START + 1_000;
        let mut engine = Engine::new(2, TIMES);
        engine.set_wall_clock(now, now);
        engine.proven_at = u64::MAX / 2;
        engine.load(
            stored
                .iter()
                .map(|(key, value)| (key.as_str(), value.as_deref())),
            now,
        );
        make::join(&mut engine, "w1", now);
        engine.tick(now);
        assert_eq!(make::starts(&mut engine, now).len(), 2, "{value}");
    }
}

#[test]
fn a_job_whose_steps_all_depend_on_one_another_is_ranked_at_once() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let steps = (0..200_u32).map(|n| {
        let mut step = make::step(1, 10);
        step.depends_on = (0..n).collect();
        step
    });
    make::submit(
        &mut engine,
        BAD,
        make::queue("q", 0),
        make::work(steps.collect()),
        START,
    );
    assert_eq!(make::starts(&mut engine, START).len(), 1);
    let job = engine.jobs.values().next().unwrap();
    assert_eq!(job.critical_path(), 200_000);
    assert_eq!(job.critical_path_from(199), 1_000);
    assert_eq!(job.critical_path_from(200), 0);
}

#[test]
fn a_record_of_a_later_owner_settles_nothing() {
    for (name, term) in [
        ("2", "2"),
        ("7", "7"),
        ("18446744073709551615", "18446744073709551615"),
        ("1", "7"),
        ("x", "1"),
    ] {
        let value = format!(r#"{{"term":{term},"instance":"i9","settled":true}}"#);
        let now = START + 1_000;
        let mut engine = load_beside(&journal::key(Kind::Owner, name), value.as_bytes(), now);
        engine.register(make::worker("w2", 1, 16_000));
        engine.tick(now + 100);
        engine.former_owner_gone("i9", now + 100);
        engine.tick(now + 7_000);
        assert!(!engine.is_reconciled(), "{name} {term}");
    }
}
