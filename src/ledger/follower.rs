//! A replica of the state that follows the log by pages of the log or entries from peers, without
//! I/O.
//!
//! Entries are applied strictly in order. A replica that cannot start at the log's first entry, or
//! that fell behind the log's retention, buffers entries until a snapshot covers the gap.

use std::sync::{
    Arc,
    PoisonError,
    RwLock, //
};

use crate::{
    ids::Offset,
    ledger::{
        effect::{
            Applied,
            Effect, //
        },
        recovery::Recovery,
        ring::Ring,
        state::{
            self,
            State, //
        }, //
    },
    wire::{
        log,
        peer, //
    }, //
};

/// Maximum number of entries in one response to a peer.
const MAX_TAIL_ENTRIES: usize = 1_000;

/// A replica of the state.
#[derive(Debug)]
pub struct Follower {
    state: Arc<RwLock<State>>,
    loaded: bool,
    recovery: Recovery,
    ring: Ring,
}

impl Follower {
    /// Creates an empty replica that publishes its state through `state`.
    #[must_use]
    pub fn new(state: Arc<RwLock<State>>) -> Self {
        Self {
            state,
            loaded: false,
            recovery: Recovery::new(),
            ring: Ring::default(),
        }
    }

    /// Whether the state is complete up to [`Follower::next`]; it must not be used before.
    #[must_use]
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// Calls a function with the state under the read lock.
    pub fn read<T>(&self, look: impl FnOnce(&State) -> T) -> T {
        look(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The first offset that is not applied yet.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.read(State::next)
    }

    /// The offset from which to read the log next.
    #[must_use]
    pub fn fetch_offset(&self) -> Offset {
        match self.recovery.next() {
            Some(next) if !self.loaded => next,
            _ => self.next(),
        }
    }

    /// Applies a page that was read from offset `from` on. Returns the effects of its entries.
    pub fn apply_page(&mut self, from: Offset, page: log::Page) -> Vec<Applied> {
        self.update_loaded(from, page.first);
        let entries = page.entries.into_iter();
        entries.filter_map(|entry| self.ingest(entry)).collect()
    }

    /// Applies the entries and the snapshot that a peer sent. Returns their effects.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot cannot be used; the state is unchanged then.
    pub fn apply_tail(&mut self, tail: peer::Tail) -> Result<Vec<Applied>, state::Error> {
        let mut applied = Vec::new();
        if let Some(snapshot) = tail.snapshot {
            applied.extend(self.install(State::restore(&snapshot)?));
        }
        let next = self.next();
        // A new replica is complete from the first entries on, one that fell behind from the
        // missing ones on.
        self.loaded |= tail.entries.iter().any(|e| e.offset == next);
        let entries = tail.entries.into_iter();
        applied.extend(entries.filter_map(|entry| self.apply(entry)));
        Ok(applied)
    }

    /// The committed entries from an offset on, for a peer; a snapshot when the entries are no
    /// longer kept.
    #[must_use]
    pub fn tail(&self, from: Offset) -> peer::Tail {
        let mut tail = peer::Tail {
            entries: Vec::new(),
            snapshot: None,
        };
        if !self.loaded || from >= self.next() {
            return tail;
        }
        match self.ring.entries_from(from, MAX_TAIL_ENTRIES) {
            Some(entries) => tail.entries = entries,
            None => tail.snapshot = Some(self.read(State::snapshot)),
        }
        tail
    }

    /// Updates whether the log can be replayed from this replica's offset.
    fn update_loaded(&mut self, from: Offset, first: Offset) {
        let next = self.next();
        if first > next && self.loaded {
            ::log::warn!(next = next.0, first = first.0; "log retention dropped unread entries");
            self.loaded = false;
            self.recovery = Recovery::new();
        }
        if !self.loaded && first <= next && from == next {
            self.loaded = true;
        }
    }

    fn ingest(&mut self, entry: log::Entry) -> Option<Applied> {
        if self.loaded {
            return self.apply(entry);
        }
        let state = self.recovery.push(entry)?;
        let recovery = std::mem::take(&mut self.recovery);
        let applied = self.install(state);
        for entry in recovery.into_entries() {
            self.ring.push(entry);
        }
        applied
    }

    fn apply(&mut self, entry: log::Entry) -> Option<Applied> {
        if entry.offset != self.next() {
            return None;
        }
        let applied = {
            let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
            state.apply(&entry)
        };
        self.ring.push(entry);
        Some(applied)
    }

    /// Replaces the state by one from a snapshot, if that is ahead.
    fn install(&mut self, state: State) -> Option<Applied> {
        let next = state.next();
        let own = self.next();
        if next < own || (self.loaded && next == own) {
            return None;
        }
        self.recovery = Recovery::new();
        self.ring.clear();
        *self.state.write().unwrap_or_else(PoisonError::into_inner) = state;
        self.loaded = true;
        ::log::info!(next = next.0; "state restored from a snapshot");
        Some(Applied {
            offset: Offset(next.0.saturating_sub(1)),
            batch: None,
            effects: vec![Effect::Restored { next }],
            origins: vec![0],
        })
    }
}
