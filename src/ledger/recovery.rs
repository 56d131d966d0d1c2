//! Recovers the state of a reader whose first entries were dropped by the log's retention.
//!
//! The retained entries are buffered until one of them completes a snapshot that covers every
//! dropped entry; the entries after the snapshot's offset are then replayed on top of it.

use serde::Deserialize;

use crate::{
    ids::Offset,
    ledger::{
        reassembly::Reassembly,
        record,
        state::State, //
    },
    wire::{
        log,
        peer, //
    }, //
};

/// Entries of a truncated log, buffered until a usable snapshot is found.
#[derive(Debug, Default)]
pub struct Recovery {
    /// The buffered entries, without gaps.
    entries: Vec<log::Entry>,
    /// The incomplete snapshots among the entries.
    parts: Reassembly,
}

impl Recovery {
    /// Creates a recovery without entries.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The offset to read next; `None` before the first entry.
    #[must_use]
    pub fn next(&self) -> Option<Offset> {
        self.entries.last().map(|e| Offset(e.offset.0 + 1))
    }

    /// The buffered entries, oldest first.
    #[must_use]
    pub fn into_entries(self) -> Vec<log::Entry> {
        self.entries
    }

    /// Adds the next entry. Returns the state after the entry, once a usable snapshot is found.
    pub fn push(&mut self, entry: log::Entry) -> Option<State> {
        match self.next() {
            Some(next) if entry.offset < next => return None,
            Some(next) if entry.offset > next => {
                self.entries.clear();
                self.parts.clear();
            }
            _ => {}
        }
        let found = self.completed_snapshots(&entry);
        self.entries.push(entry);
        found.iter().find_map(|s| self.replay(s))
    }

    fn replay(&self, snapshot: &peer::Snapshot) -> Option<State> {
        let first = self.entries.first()?.offset;
        let last = self.entries.last()?.offset;
        if snapshot.next < first || snapshot.next > last {
            return None;
        }
        let mut state = State::restore(snapshot).ok()?;
        for entry in &self.entries {
            state.apply(entry);
        }
        Some(state)
    }

    /// The snapshots that an entry completes; normally none or one.
    fn completed_snapshots(&mut self, entry: &log::Entry) -> Vec<peer::Snapshot> {
        // Most entries hold no snapshot, and parsing them twice would slow the recovery.
        if !entry.payload.contains("\"snapshot\"") {
            return Vec::new();
        }
        let Ok(batch) = serde_json::from_str::<record::Batch>(&entry.payload) else {
            return Vec::new();
        };
        if batch.format > record::FORMAT {
            return Vec::new();
        }
        let parts = batch.records.iter().filter_map(snapshot_part);
        let parts = parts.filter(|p| p.next <= entry.offset);
        parts
            .filter_map(|part| {
                let text = self.parts.add(&batch.by, &part)?;
                let state = serde_json::from_str(&text).ok()?;
                Some(peer::Snapshot {
                    next: part.next,
                    state,
                })
            })
            .collect()
    }
}

fn snapshot_part(value: &serde_json::Value) -> Option<record::SnapshotPart> {
    if value.get("type")?.as_str()? != "snapshot" {
        return None;
    }
    match record::Record::deserialize(value).ok()? {
        record::Record::Snapshot(part) => Some(part),
        _ => None,
    }
}
