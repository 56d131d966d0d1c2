//! Outcome rows for the tests of the report.

use bamboolock::{
    ids::Millis,
    ledger::{
        outcomes::{
            DAY,
            MINUTE,
            Row, //
        },
        record::{
            Cause,
            Tally, //
        }, //
    }, //
};
use proptest::prelude::*;

/// Time of the report in the tests, in milliseconds since 1970.
pub(crate) const NOW: u64 = 20_600 * DAY;

/// Returns the row of the minute that starts `ago` minutes before [`NOW`].
pub(crate) fn row(ago: u64, profile: &str, version: u32, good: u64, late: u64) -> Row {
    let mut tally = Tally::empty(profile.parse().unwrap(), version);
    tally.total = good + late;
    tally.good = good;
    tally.add_cause(Cause::Late, late);
    Row {
        start: Millis(NOW - ago * MINUTE),
        width: MINUTE,
        tally,
    }
}

/// Generates rows of the last two hours.
pub(crate) fn any_row() -> impl Strategy<Value = Row> {
    let name = prop::sample::select(vec!["check", "plan", "letter", "match", "board"]);
    let bad = prop::collection::vec((any_cause(), 0..50_u64), 0..4);
    (0..120_u64, name, 1..4_u32, 0..2_000_u64, bad).prop_map(|(ago, name, version, good, bad)| {
        let mut row = row(ago, name, version, good, 0);
        row.tally.bad.clear();
        for (cause, count) in bad {
            row.tally.add_cause(cause, count);
            row.tally.total += count;
        }
        row
    })
}

/// Generates lists of rows in order of time.
pub(crate) fn any_rows() -> impl Strategy<Value = Vec<Row>> {
    prop::collection::vec(any_row(), 0..60).prop_map(|mut rows| {
        rows.sort_by_key(|r| r.start);
        rows
    })
}

pub(crate) fn any_cause() -> impl Strategy<Value = Cause> {
    prop::sample::select(vec![
        Cause::Refused,
        Cause::Unplaced,
        Cause::Waited,
        Cause::Late,
        Cause::Failed,
        Cause::Repeated,
        Cause::Unknown,
        Cause::Cancelled,
    ])
}
