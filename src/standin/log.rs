//! Append-only log with offsets, retention and a rate limit.

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

/// Time over which the rate limit's token bucket fills, in milliseconds.
const BURST_MS: u64 = 250;

/// Tokens that one append takes.
const APPEND_COST: u64 = 1_000;

/// Append-only log.
#[derive(Debug)]
pub struct Log {
    limits: settings::Log,
    entries: VecDeque<Entry>,
    next: Offset,
    /// Tokens in the bucket; each is a thousandth of an append.
    tokens: u64,
    /// Time of the last refill.
    refilled: Millis,
}

impl Log {
    /// Creates an empty log, whose first offset is 0.
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

    /// Appends an entry; returns `None` above the rate limit.
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

    /// Returns at most `max` retained entries from an offset on.
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

    /// Returns the size limit of a payload, in bytes.
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

/// Returns the capacity of the token bucket, in thousandths of an append.
fn capacity(limits: &settings::Log) -> u64 {
    (u64::from(limits.rate) * BURST_MS).max(APPEND_COST)
}
