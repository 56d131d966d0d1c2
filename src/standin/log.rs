//! The append-only log: offsets, retention and a rate limit.

use std::collections::VecDeque;

use crate::{
    ids::{
        Millis,
        Offset, //
    },
    standin::settings,
    wire::log::{
        Entry,
        Page, //
    }, //
};

/// The span over which unused appends are saved up, in milliseconds.
const BURST_MS: u64 = 250;

/// Thousandths of an append in one append.
const APPEND_COST: u64 = 1_000;

/// The log's state.
#[derive(Debug)]
pub struct Log {
    limits: settings::Log,
    entries: VecDeque<Entry>,
    next: Offset,
    /// Appends that may be taken now, in thousandths.
    tokens: u64,
    refilled: Millis,
}

impl Log {
    /// An empty log. Its first offset is 0.
    #[must_use]
    pub fn new(limits: settings::Log) -> Self {
        Self {
            limits,
            entries: VecDeque::new(),
            next: Offset(0),
            tokens: capacity(&limits),
            refilled: Millis(0),
        }
    }

    /// Appends an entry, unless the rate limit forbids it.
    pub fn append(&mut self, now: Millis, at: Millis, payload: String) -> Option<Offset> {
        self.refill(now);
        self.tokens = self.tokens.checked_sub(APPEND_COST)?;
        let offset = self.next;
        self.entries.push_back(Entry {
            offset,
            at,
            payload,
        });
        self.next = Offset(offset.0 + 1);
        while self.entries.len() > self.limits.retention as usize {
            self.entries.pop_front();
        }
        Some(offset)
    }

    /// The kept entries from an offset on.
    #[must_use]
    pub fn read(&self, from: Offset, max: u32) -> Page {
        let first = self.entries.front().map_or(self.next, |e| e.offset);
        let skip = from.0.saturating_sub(first.0);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let kept = self.entries.iter().skip(skip).take(max as usize);
        Page {
            first,
            next: self.next,
            entries: kept.cloned().collect(),
        }
    }

    /// The largest payload, in bytes.
    #[must_use]
    pub fn max_entry_bytes(&self) -> usize {
        self.limits.entry as usize
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.refilled) * u64::from(self.limits.rate);
        self.tokens = (self.tokens + gained).min(capacity(&self.limits));
        self.refilled = now;
    }
}

/// The most appends that are saved up, in thousandths.
fn capacity(limits: &settings::Log) -> u64 {
    (u64::from(limits.rate) * BURST_MS).max(APPEND_COST)
}
