//! Tests of recovery from snapshots after the log's retention dropped the first entries.

use bamboolock::ledger::{
    record,
    recovery::Recovery,
    state::State, //
};
use serde_json::{
    Value,
    json, //
};

use crate::common::{
    apply,
    batch,
    body,
    change,
    entry,
    part,
    snapshot, //
};

/// The states after publishing 0 to `count` versions, and the payloads of the entries between them.
fn published(count: u64) -> (Vec<State>, Vec<String>) {
    let mut states = vec![State::new()];
    let mut payloads = Vec::new();
    for base in 0..count {
        let record = change(
            &format!("c{base}"),
            "checks",
            u32::try_from(base).unwrap(),
            body(1),
        );
        payloads.push(batch(&format!("b{base}"), vec![record.clone()]));
        let mut state = states.last().unwrap().clone();
        apply(&mut state, vec![record]);
        states.push(state);
    }
    (states, payloads)
}

/// Pushes the entries `first..5` and one with the records. Returns the recovered state, if any.
fn recover(first: usize, records: Vec<Value>, format: u32) -> Option<State> {
    let (_, payloads) = published(5);
    let mut recovery = Recovery::new();
    for (offset, payload) in payloads.iter().enumerate().skip(first) {
        assert_eq!(recovery.push(entry(offset as u64, payload)), None);
    }
    let mut last: Value = serde_json::from_str(&batch("last", records)).unwrap();
    last["format"] = json!(format);
    recovery.push(entry(5, &last.to_string()))
}

#[test]
fn a_reader_starts_only_from_a_snapshot_that_covers_the_gap() {
    let (states, _) = published(5);
    let complete = snapshot(&states[3]);
    let text = states[3].snapshot().state.to_string();
    let broken = part(3, 0, 1, &text.replace("\"profiles\":{", "\"profiles\":{{"));
    let misnamed = part(4, 0, 1, &text);
    let later = part(9, 0, 1, &text.replace("\"next\":3", "\"next\":9"));
    let (a, b) = text.split_at(text.len() / 2);
    let (a, b) = (part(3, 0, 2, a), part(3, 1, 2, b));
    let now = record::FORMAT;
    let rows = [
        (
            "reaches back beyond the first entry",
            2,
            vec![complete.clone()],
            now,
            true,
        ),
        (
            "ends at the first entry",
            3,
            vec![complete.clone()],
            now,
            true,
        ),
        ("leaves a gap", 4, vec![complete.clone()], now, false),
        ("cannot be read", 2, vec![broken.clone()], now, false),
        ("is misnamed", 2, vec![misnamed], now, false),
        ("lies after itself", 2, vec![later], now, false),
        (
            "is of a newer format",
            2,
            vec![complete.clone()],
            now + 1,
            false,
        ),
        (
            "follows an unusable one",
            2,
            vec![broken, complete],
            now,
            true,
        ),
        ("in parts", 2, vec![a.clone(), b.clone()], now, true),
        (
            "in parts, the first twice",
            2,
            vec![a.clone(), a.clone(), b.clone()],
            now,
            true,
        ),
        (
            "in parts, the second missing",
            2,
            vec![a.clone()],
            now,
            false,
        ),
        (
            "in parts, the first missing",
            2,
            vec![b.clone()],
            now,
            false,
        ),
        ("in parts, out of order", 2, vec![b, a], now, false),
    ];
    for (name, first, records, format, found) in rows {
        let state = recover(first, records.clone(), format);
        assert_eq!(state.is_some(), found, "{name}");
        let Some(state) = state else { continue };
        let mut replay = states[5].clone();
        replay.apply(&entry(5, &batch("last", records)));
        assert_eq!(state, replay, "{name}");
    }
}

#[test]
fn a_gap_between_pages_restarts_the_recovery() {
    let (states, payloads) = published(5);
    let mut recovery = Recovery::new();
    recovery.push(entry(1, &payloads[1]));
    recovery.push(entry(3, &payloads[3]));
    recovery.push(entry(3, &payloads[3]));
    let old = batch("old", vec![snapshot(&states[2])]);
    assert_eq!(recovery.push(entry(4, &old)), None, "entry 2 is missing");
    let good = batch("good", vec![snapshot(&states[3])]);
    let state = recovery.push(entry(5, &good)).unwrap();
    assert_eq!(state.next().0, 6);
}
