//! Tests of the snapshot schedule: when a snapshot is due, and that one instance normally appends
//! the snapshot.

use std::time::Duration;

use bamboolock::{
    configs,
    ids::Offset,
    ledger::{
        snapshots::{
            MAX_JITTER_MS,
            Schedule, //
        },
        state::State, //
    }, //
};
use serde_json::json;

use crate::common::{
    apply,
    author,
    key,
    snapshot, //
};

const EVERY: u64 = 20;

fn schedule(instance: &str) -> Schedule {
    let cfg = configs::log::Log {
        snapshot: EVERY,
        refresh: Duration::from_secs(60),
        ..configs::log::Log::default()
    };
    Schedule::new(&author(instance), cfg)
}

/// A state after a number of entries, the last of which may be a snapshot.
fn state(entries: u64, covered: Option<u64>) -> State {
    let mut state = State::new();
    let mut kept = None;
    for offset in 0..entries {
        if covered == Some(offset) {
            kept = Some(snapshot(&state));
        }
        match kept.take_if(|_| offset + 1 == entries) {
            Some(record) => apply(&mut state, vec![record]),
            None => apply(&mut state, vec![key("k", "r")]),
        };
    }
    state
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_is_due_by_entries_age_or_retention() {
    // Columns: entries, offset covered by the last snapshot, the log's first entry, seconds, due.
    let rows = [
        ("nothing happened", 0, None, 0, 100, false),
        ("few entries", EVERY, None, 0, 0, false),
        ("many entries", EVERY + 1, None, 0, 0, true),
        (
            "many entries, covered",
            EVERY + 10,
            Some(EVERY),
            0,
            0,
            false,
        ),
        ("old", 5, Some(3), 0, 60, true),
        ("not yet old", 5, Some(3), 0, 59, false),
        ("start dropped, none written", 5, None, 1, 0, true),
        ("in the newer half", 10, Some(7), 4, 0, false),
        ("in the older half", 10, Some(6), 4, 0, true),
        ("dropped", 10, Some(3), 4, 0, true),
        (
            "all dropped but the snapshot itself",
            10,
            Some(9),
            9,
            0,
            true,
        ),
    ];
    for (name, entries, covered, first, seconds, due) in rows {
        let mut schedule = schedule("i1");
        let state = state(entries, covered);
        schedule.set_log_start(Offset(first));
        schedule.schedule(&state);
        tokio::time::advance(Duration::from_secs(seconds)).await;
        assert_eq!(schedule.confirm(&state), due, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn jitter_lets_one_instance_append_before_the_others() {
    let due = state(EVERY + 1, None);
    let names: Vec<String> = (0..7).map(|i| format!("i{i}")).collect();
    let mut waits: Vec<_> = names
        .iter()
        .map(|n| schedule(n).schedule(&due).unwrap())
        .collect();
    waits.sort_unstable();
    assert!(waits.windows(2).all(|w| w[0] < w[1]), "{waits:?}");
    assert!(waits[6] < Duration::from_millis(MAX_JITTER_MS));
    let mut late = schedule("i1");
    late.schedule(&due);
    assert!(late.schedule(&due).is_none(), "a timer is already running");
    let mut seen = due.clone();
    let record = snapshot(&due);
    apply(&mut seen, vec![record]);
    assert!(!late.confirm(&seen));
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_in_flight_is_not_repeated_before_its_timeout() {
    let due = state(EVERY + 1, None);
    let mut schedule = schedule("i1");
    schedule.schedule(&due);
    assert!(schedule.confirm(&due));
    assert!(schedule.schedule(&due).is_none());
    tokio::time::advance(2 * configs::log::Log::default().timeout).await;
    assert!(schedule.schedule(&due).is_some(), "it may have been lost");
}

#[tokio::test(start_paused = true)]
async fn no_snapshot_is_due_from_an_incomplete_state() {
    let mut state = state(EVERY + 1, None);
    let newer = json!({"format": bamboolock::ledger::record::FORMAT + 1}).to_string();
    state.apply(&crate::common::entry(EVERY + 1, &newer));
    assert!(schedule("i1").schedule(&state).is_none());
}
