//! Measures the cost of the replayed state per record, of a snapshot and of a restart, by the
//! number of idempotency keys that are kept.

use std::time::Instant;

use crate::{
    bench::{
        measures::{
            Error,
            Options, //
        },
        report::{
            Line,
            Target, //
        }, //
    },
    ids::{
        IdempotencyKey,
        Incarnation,
        Millis,
        Offset, //
    },
    ledger::{
        record,
        state::State, //
    },
    wire::{
        log,
        peer, //
    }, //
};

/// Number of records in a log entry.
const RECORDS_PER_ENTRY: u64 = 512;

/// Result of a run.
struct Cost {
    /// Time to apply a record, in microseconds.
    record: f64,
    /// Size of the snapshot text per key, in bytes.
    bytes: f64,
    /// Time to write the snapshot, read it and restore the state, in seconds.
    restart: f64,
    /// Time to replay all entries, in seconds.
    replay: f64,
}

/// Runs the measure.
///
/// # Errors
///
/// Returns an error if a name in the benchmark is invalid.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let many = options.choose(200_000, 50_000);
    let small = cost(many / 10)?;
    let large = cost(many)?;
    let plain = sorted_vector(many / 10)?;
    let tenth = "a tenth of the keys".to_owned();
    Ok(vec![
        Line {
            measure: "REPLAY.record",
            unit: "microseconds a key record, entries of 512",
            ours: large.record,
            baseline: small.record,
            against: tenth.clone(),
            judged: large.record / small.record,
            target: Target::Most(2.0),
        },
        Line {
            measure: "REPLAY.insert",
            unit: "microseconds a key record; one sorted vector: its insertion alone",
            ours: large.record,
            baseline: plain,
            against: "one sorted vector of a tenth of the keys".to_owned(),
            judged: large.record / plain,
            target: Target::Most(1.0),
        },
        Line {
            measure: "REPLAY.bytes",
            unit: "bytes of snapshot text a key",
            ours: large.bytes,
            baseline: small.bytes,
            against: tenth,
            judged: large.bytes,
            target: Target::Most(200.0),
        },
        Line {
            measure: "REPLAY.restart",
            unit: "seconds to write, read and restore a snapshot of all keys",
            ours: large.restart,
            baseline: large.replay,
            against: "the replay of all entries".to_owned(),
            judged: large.restart / large.replay,
            target: Target::Most(1.0),
        },
    ])
}

fn cost(count: u64) -> Result<Cost, Error> {
    let entries = entries(count)?;
    let mut state = State::new();
    let begin = Instant::now();
    for entry in &entries {
        state.apply(entry);
    }
    let replay = begin.elapsed().as_secs_f64();
    let begin = Instant::now();
    let text = serde_json::to_string(&state.snapshot())?;
    let read: peer::Snapshot = serde_json::from_str(&text)?;
    let restored = State::restore(&read).is_ok_and(|s| s == state);
    let restart = begin.elapsed().as_secs_f64();
    debug_assert!(restored);
    Ok(Cost {
        record: replay * 1e6 / count as f64,
        bytes: text.len() as f64 / count as f64,
        restart,
        replay,
    })
}

/// Returns log entries that record `count` idempotency keys of one profile.
fn entries(count: u64) -> Result<Vec<log::Entry>, Error> {
    let mut entries = Vec::new();
    for offset in 0..count.div_ceil(RECORDS_PER_ENTRY) {
        let numbers = offset * RECORDS_PER_ENTRY..count.min((offset + 1) * RECORDS_PER_ENTRY);
        let records: Result<Vec<_>, Error> = numbers.map(key_record).collect();
        let batch = record::Batch {
            format: record::FORMAT,
            id: format!("b{offset}").parse()?,
            by: record::Author {
                instance: "bench".parse()?,
                incarnation: Incarnation(1),
            },
            records: records?,
        };
        entries.push(log::Entry {
            offset: Offset(offset),
            at: Millis(offset),
            payload: serde_json::to_string(&batch)?,
        });
    }
    Ok(entries)
}

fn key_record(number: u64) -> Result<serde_json::Value, Error> {
    let key = record::Record::Key(record::Key {
        profile: "bench".parse()?,
        key: key_name(number)?,
        request: format!("r{number:016}").parse()?,
    });
    Ok(serde_json::to_value(key)?)
}

/// Returns a key whose sort position is pseudorandom, from a hash of the number.
fn key_name(number: u64) -> Result<IdempotencyKey, Error> {
    let place = xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes());
    Ok(format!("{place:016x}").parse()?)
}

/// Returns the mean time to insert a key into one sorted vector of all keys, in microseconds. The
/// values have the size of those that the state keeps.
fn sorted_vector(count: u64) -> Result<f64, Error> {
    let names: Result<Vec<_>, Error> = (0..count).map(key_name).collect();
    let mut kept: Vec<(IdempotencyKey, [u64; 16])> = Vec::new();
    let begin = Instant::now();
    for name in names? {
        if let Err(at) = kept.binary_search_by(|k| k.0.cmp(&name)) {
            kept.insert(at, (name, [0; 16]));
        }
    }
    Ok(begin.elapsed().as_secs_f64() * 1e6 / count as f64)
}
