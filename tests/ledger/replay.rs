//! Tests of the effects of each kind of record, and of invalid entries and records.

use assert_matches::assert_matches;
use bamboolock::{
    ledger::{
        effect::Effect,
        keys,
        profiles,
        record,
        state::State, //
    },
    wire::caller::{
        self,
        Ran, //
    }, //
};
use serde_json::{
    Value,
    json, //
};

use crate::common::{
    answer,
    apply,
    batch,
    body,
    change,
    entry,
    id,
    in_force,
    key,
    part,
    snapshot,
    verdict, //
};

/// A state in which profile `checks` is at version 1.
fn published() -> State {
    let mut state = State::new();
    apply(&mut state, vec![change("c1", "checks", 0, body(1))]);
    state
}

#[test]
fn invalid_entries_are_skipped_with_a_finding() {
    let newer = json!({"format": record::FORMAT + 1, "id": "b", "by": {"instance": "i", "incarnation": 1},
        "records": [change("c2", "checks", 1, body(9))]});
    let stray = json!({"format": 1, "id": "b", "by": {"instance": "i", "incarnation": 1},
        "records": [], "colour": 1});
    let mut extra = change("c2", "checks", 1, body(9));
    extra["colour"] = json!("red");
    let one = |record: Value| batch("b", vec![record]);
    let cases = [
        ("not JSON", "\u{1}{garbage".to_owned(), "/"),
        ("empty", String::new(), "/"),
        ("not a batch", "[1, 2]".to_owned(), "/"),
        ("newer format", newer.to_string(), "/format"),
        ("unknown batch field", stray.to_string(), "/"),
        (
            "unknown record type",
            one(json!({"type": "holiday"})),
            "/records/0",
        ),
        ("unknown record field", one(extra), "/records/0"),
        (
            "missing field",
            one(json!({"type": "key", "key": "k"})),
            "/records/0",
        ),
        ("bad id", one(key("k k", "r1")), "/records/0"),
        (
            "snapshot of later entries",
            one(part(9, 0, 1, "{}")),
            "/records",
        ),
    ];
    for (name, payload, place) in cases {
        let mut state = published();
        let applied = state.apply(&entry(1, &payload));
        assert_matches!(
            applied.effects.as_slice(),
            [Effect::Skipped(f)] if f.place == place,
            "{name}"
        );
        assert_eq!(in_force(&state, "checks"), Some((1, 1)), "{name}");
        let next = apply(&mut state, vec![change("c3", "checks", 1, body(3))]);
        assert_matches!(verdict(&next[0]), Some((_, 2, true)), "{name}");
        assert_eq!(in_force(&state, "checks"), Some((2, 3)), "{name}");
    }
}

#[test]
fn entries_of_another_writer_advance_the_offset() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let by = r#""by":{"instance":"i","incarnation":1}"#;
    let payloads = [
        nested.clone(),
        "1e400".to_owned(),
        "\u{0}\u{fffd}".to_owned(),
        format!(r#"{{"format":1,"id":"b",{by},"records":{nested}}}"#),
        format!(r#"{{"format":1,"id":"b",{by},"records":[{nested}]}}"#),
        format!(r#"{{"format":1e400,"id":"b",{by},"records":[]}}"#),
        format!(r#"{{"format":-1,"id":"b",{by},"records":[]}}"#),
        format!(r#"{{"format":1.5,"id":"b",{by},"records":[]}}"#),
        format!(r#"{{"format":1,"id":"b b",{by},"records":[]}}"#),
        format!(r#"{{"format":1,"id":"b",{by},"records":[1e400]}}"#),
        format!(r#"{{"format":1,"id":"b",{by},"records":[7]}}"#),
        batch("b", vec![part(u64::MAX, 0, u32::MAX, "x")]),
        batch("b", vec![part(0, u32::MAX, u32::MAX, "x")]),
        batch("b", vec![part(1, 0, 1, "no state")]),
    ];
    for payload in payloads {
        let mut state = published();
        state.apply(&entry(1, &payload));
        assert_eq!(state.next().0, 2, "{payload:.60}");
        assert!(state.complete(), "{payload:.60}");
        let next = apply(&mut state, vec![change("c3", "checks", 1, body(3))]);
        assert_matches!(verdict(&next[0]), Some((_, 2, true)), "{payload:.60}");
    }
}

#[test]
fn an_accepted_job_of_more_tasks_than_any_caller_may_ask_for_ends_no_reader() {
    let accepted = |tasks: u32| {
        json!({"type": "accepted", "run": "wide", "profile": "plans", "version": 1, "zone": "a",
            "tasks": tasks, "demand": {"slots": 1}, "estimate": 0, "deadline": 60_000,
            "key": null, "payload": null})
    };
    let mut state = published();
    for (tasks, known) in [(u32::MAX, false), (caller::MAX_TASKS, true)] {
        let effects = apply(&mut state, vec![accepted(tasks)]);
        let skipped = effects.iter().any(|e| matches!(e, Effect::Skipped(_)));
        assert_eq!(skipped, !known, "{tasks}: {effects:?}");
        let run: bamboolock::ids::RunId = id("wide");
        assert_eq!(state.jobs.get(&run).is_some(), known, "{tasks}");
    }
}

#[test]
fn an_invalid_record_does_not_affect_the_rest_of_its_batch() {
    let mut state = State::new();
    let records = vec![
        json!({"type": "holiday"}),
        change("c1", "checks", 0, body(1)),
    ];
    let applied = state.apply(&entry(0, &batch("b", records)));
    assert_eq!(applied.origins, [0, 1]);
    assert_eq!(in_force(&state, "checks"), Some((1, 1)));
}

/// A name, changes in log order as (change, base, priority), their verdicts, the active version.
type Race<'a> = (
    &'a str,
    &'a [(&'a str, u32, u8)],
    &'a [(u32, bool)],
    (u32, u8),
);

#[test]
fn the_first_change_in_the_log_wins_each_version() {
    let cases: [Race<'_>; 6] = [
        (
            "one after the other",
            &[("c2", 1, 2), ("c3", 2, 3)],
            &[(2, true), (3, true)],
            (3, 3),
        ),
        (
            "same base",
            &[("c2", 1, 2), ("c3", 1, 3)],
            &[(2, true), (2, false)],
            (2, 2),
        ),
        (
            "same change twice",
            &[("c2", 1, 2), ("c2", 1, 2)],
            &[(2, true), (2, true)],
            (2, 2),
        ),
        (
            "rejected change twice",
            &[("c2", 1, 2), ("c3", 1, 3), ("c3", 1, 3)],
            &[(2, true), (2, false), (2, false)],
            (2, 2),
        ),
        (
            "base ahead, repeated when it would fit",
            &[("c3", 2, 3), ("c2", 1, 2), ("c3", 2, 3)],
            &[(1, false), (2, true), (1, false)],
            (2, 2),
        ),
        (
            "base zero for a known name",
            &[("c2", 0, 2)],
            &[(1, false)],
            (1, 1),
        ),
    ];
    for (name, changes, verdicts, end) in cases {
        let mut state = published();
        for ((change_id, base, priority), expected) in changes.iter().zip(verdicts) {
            let record = change(change_id, "checks", *base, body(*priority));
            let effects = apply(&mut state, vec![record]);
            let (_, version, accepted) = verdict(&effects[0]).unwrap();
            assert_eq!((version, accepted), *expected, "{name}: {change_id}");
        }
        assert_eq!(in_force(&state, "checks"), Some(end), "{name}");
    }
}

#[test]
fn a_withdrawn_profile_keeps_its_versions() {
    let mut state = published();
    apply(&mut state, vec![change("c2", "checks", 1, Value::Null)]);
    assert_eq!(in_force(&state, "checks"), None);
    let again = apply(&mut state, vec![change("c3", "checks", 2, Value::Null)]);
    assert_matches!(verdict(&again[0]), Some((_, 2, false)));
    let fresh = apply(&mut state, vec![change("c4", "checks", 0, body(4))]);
    assert_matches!(verdict(&fresh[0]), Some((_, 2, false)));
    apply(&mut state, vec![change("c5", "checks", 2, body(5))]);
    assert_eq!(in_force(&state, "checks"), Some((3, 5)));
}

#[test]
fn an_unreadable_body_gets_a_version_and_the_last_readable_one_stays_active() {
    let bodies = [
        json!(5),
        json!({"kind": "request", "team": "gates", "priority": 11}),
        json!({"kind": "request", "team": "gates", "policies": {"route": "nearest"}}),
    ];
    for bad in bodies {
        let mut state = published();
        let effects = apply(&mut state, vec![change("c2", "checks", 1, bad)]);
        assert_matches!(verdict(&effects[0]), Some((_, 2, true)));
        assert_matches!(effects[1], Effect::Skipped(_));
        assert_eq!(in_force(&state, "checks"), Some((1, 1)));
        apply(&mut state, vec![change("c3", "checks", 2, body(3))]);
        assert_eq!(in_force(&state, "checks"), Some((3, 3)));
    }
}

#[test]
fn only_the_last_versions_are_kept() {
    let mut state = published();
    for base in 1..40 {
        let record = change(&format!("d{base}"), "checks", base, body(2));
        apply(&mut state, vec![record]);
    }
    let versions = state.profiles.get(&id("checks")).unwrap();
    assert_eq!(versions.history.len(), profiles::MAX_VERSIONS);
    let oldest = 40 - u32::try_from(profiles::MAX_VERSIONS).unwrap() + 1;
    assert_matches!(versions.get(oldest), Some(v) if v.profile.is_some());
    assert_matches!(versions.get(oldest - 1), None);
}

#[test]
fn a_key_changes_holder_only_after_its_request_did_not_run() {
    // Columns: records after request r1 acquired the key, and the holder after r2 asks for it.
    let cases: [(&str, Vec<Value>, &str); 6] = [
        ("nothing", vec![], "r1"),
        ("unknown", vec![answer("k", "r1", Ran::Unknown)], "r1"),
        ("ran", vec![answer("k", "r1", Ran::Yes)], "r1"),
        ("not run", vec![answer("k", "r1", Ran::No)], "r2"),
        (
            "not run, by another request",
            vec![answer("k", "r9", Ran::No)],
            "r1",
        ),
        (
            "ran, then not run",
            vec![answer("k", "r1", Ran::Yes), answer("k", "r1", Ran::No)],
            "r1",
        ),
    ];
    for (name, records, holder) in cases {
        let mut state = State::new();
        apply(&mut state, vec![key("k", "r1")]);
        apply(&mut state, records);
        let effects = apply(&mut state, vec![key("k", "r2")]);
        assert_matches!(
            &effects[0],
            Effect::Key { holder: found, .. } if found.as_str() == holder,
            "{name}"
        );
        let kept = state.keys.get(&id("checks"), &id("k")).unwrap();
        assert_eq!(kept.holder.as_str(), holder, "{name}");
    }
}

#[test]
fn a_repeated_key_record_keeps_holder_and_response() {
    let mut state = State::new();
    apply(&mut state, vec![key("k", "r1"), answer("k", "r1", Ran::No)]);
    apply(&mut state, vec![key("k", "r1")]);
    let kept = state.keys.get(&id("checks"), &id("k")).unwrap();
    assert_eq!(kept.holder.as_str(), "r1");
    assert_matches!(&kept.answer, Some(a) if a.ran == Ran::No);
}

#[test]
fn keys_expire_by_the_logs_clock() {
    let mut state = State::new();
    apply(&mut state, vec![key("old", "r1")]);
    let start = state.clock().0;
    let at = |offset, millis, name: &str| bamboolock::wire::log::Entry {
        at: bamboolock::ids::Millis(millis),
        ..entry(offset, &batch("b", vec![key(name, "r2")]))
    };
    state.apply(&at(1, start + keys::RETENTION_MS - 1, "k1"));
    assert!(state.keys.get(&id("checks"), &id("old")).is_some());
    state.apply(&at(2, start + keys::RETENTION_MS, "k2"));
    assert!(state.keys.get(&id("checks"), &id("old")).is_none());
    // A clock that steps back neither restores nor expires keys.
    state.apply(&at(3, 1, "k3"));
    assert_eq!(state.clock().0, start + keys::RETENTION_MS);
    assert_eq!(state.keys.len(), 3);
}

#[test]
fn entries_out_of_order_are_not_applied() {
    let mut state = published();
    let next = batch("b", vec![change("c2", "checks", 1, body(2))]);
    for offset in [0, 2, 7] {
        let before = state.clone();
        assert_eq!(state.apply(&entry(offset, &next)).effects, []);
        assert_eq!(state, before, "offset {offset}");
    }
    state.apply(&entry(1, &next));
    assert_eq!(in_force(&state, "checks"), Some((2, 2)));
}

#[test]
fn a_snapshot_does_not_change_a_state_that_includes_it() {
    let mut state = published();
    let stale = snapshot(&state);
    apply(
        &mut state,
        vec![change("c2", "checks", 1, body(2)), key("k", "r1")],
    );
    let before = (state.profiles.clone(), state.keys.clone());
    apply(&mut state, vec![stale]);
    assert_eq!((state.profiles, state.keys), before);
}

#[test]
fn an_incomplete_state_stays_incomplete_after_a_restore() {
    let mut state = published();
    assert!(state.complete());
    let newer = json!({"format": record::FORMAT + 1});
    state.apply(&entry(1, &newer.to_string()));
    assert!(!state.complete());
    assert!(!State::restore(&state.snapshot()).unwrap().complete());
}

#[test]
fn an_invalid_snapshot_is_not_restored() {
    let mut state = published();
    apply(
        &mut state,
        vec![key("k", "r1"), change("c2", "runs", 0, body(2))],
    );
    let good = state.snapshot();
    assert_eq!(State::restore(&good).unwrap(), state);
    let mut misnamed = good.clone();
    misnamed.next.0 += 1;
    assert!(State::restore(&misnamed).is_err());
    let mut foreign = good.clone();
    foreign.state["colour"] = json!(1);
    assert!(State::restore(&foreign).is_err());
    let mut cut = good;
    cut.state.as_object_mut().unwrap().remove("keys");
    assert!(State::restore(&cut).is_err());
}

#[test]
fn a_snapshot_is_complete_when_its_parts_are_in_order() {
    // Columns: the parts as (next, part, parts) after four entries, and the covered offset.
    type Row<'a> = (&'a str, &'a [(u64, u32, u32)], Option<u64>);
    let rows: [Row<'_>; 9] = [
        ("complete in one part", &[(4, 0, 1)], Some(4)),
        (
            "complete in three parts",
            &[(4, 0, 3), (4, 1, 3), (4, 2, 3)],
            Some(4),
        ),
        ("last part missing", &[(4, 0, 3), (4, 1, 3)], None),
        ("middle part missing", &[(4, 0, 3), (4, 2, 3)], None),
        (
            "middle part missing, last one twice",
            &[(4, 0, 3), (4, 2, 3), (4, 2, 3)],
            None,
        ),
        ("first part missing", &[(4, 1, 2)], None),
        (
            "a part repeated",
            &[(4, 0, 2), (4, 0, 2), (4, 1, 2)],
            Some(4),
        ),
        (
            "late duplicate of an older snapshot",
            &[(3, 0, 2), (4, 0, 2), (3, 0, 2), (4, 1, 2)],
            Some(4),
        ),
        (
            "older snapshot completed later",
            &[(4, 0, 1), (2, 0, 1)],
            Some(4),
        ),
    ];
    for (name, parts, covered) in rows {
        let mut state = State::new();
        for _ in 0..4 {
            apply(&mut state, vec![key("k", "r")]);
        }
        for (next, index, count) in parts {
            apply(&mut state, vec![part(*next, *index, *count, "text")]);
        }
        assert_eq!(state.last_snapshot().map(|m| m.next.0), covered, "{name}");
    }
}
