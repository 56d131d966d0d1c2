//! A copy of the state that follows the log, by the log's pages or by what peers send. No I/O.
//!
//! Entries are applied in order alone. A copy that cannot start at the log's first entry, or that
//! fell behind what the log keeps, gathers entries until a snapshot covers the gap.

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

/// Most entries in one answer to a peer.
const MAX_TAIL_ENTRIES: usize = 1_000;

/// A copy of the state.
#[derive(Debug)]
pub struct Follower {
    state: Arc<RwLock<State>>,
    loaded: bool,
    recovery: Recovery,
    ring: Ring,
}

impl Follower {
    /// A copy that has seen nothing and shows its state through `state`.
    #[must_use]
    pub fn new(state: Arc<RwLock<State>>) -> Self {
        Self {
            state,
            loaded: false,
            recovery: Recovery::new(),
            ring: Ring::default(),
        }
    }

    /// Whether the state was built whole; before that it must not be used.
    #[must_use]
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// Looks at the state.
    pub fn read<T>(&self, look: impl FnOnce(&State) -> T) -> T {
        look(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The first offset that is not applied yet.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.read(State::next)
    }

    /// The first offset that is wanted from the log.
    #[must_use]
    pub fn fetch_offset(&self) -> Offset {
        match self.recovery.next() {
            Some(next) if !self.loaded => next,
            _ => self.next(),
        }
    }

    /// Takes a page that was read from offset `from` on. Returns what its entries did.
    pub fn apply_page(&mut self, from: Offset, page: log::Page) -> Vec<Applied> {
        self.update_loaded(from, page.first);
        let entries = page.entries.into_iter();
        entries.filter_map(|entry| self.ingest(entry)).collect()
    }

    /// Takes what a peer sent. Returns what it did here.
    ///
    /// # Errors
    ///
    /// Fails when a snapshot cannot be used; nothing was changed then.
    pub fn apply_tail(&mut self, tail: peer::Tail) -> Result<Vec<Applied>, state::Error> {
        let mut applied = Vec::new();
        if let Some(snapshot) = tail.snapshot {
            applied.extend(self.install(State::restore(&snapshot)?));
        }
        let next = self.next();
        // The first entries make a fresh copy whole, and missed ones a copy that fell behind.
        self.loaded |= tail.entries.iter().any(|e| e.offset == next);
        let entries = tail.entries.into_iter();
        applied.extend(entries.filter_map(|entry| self.apply(entry)));
        Ok(applied)
    }

    /// The committed entries from an offset on, for a peer; a snapshot when they are not kept.
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

    /// Decides whether the log can be replayed from where this copy stands.
    fn update_loaded(&mut self, from: Offset, first: Offset) {
        let next = self.next();
        if first > next && self.loaded {
            ::log::warn!(next = next.0, first = first.0; "entries were dropped before they were read");
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

    /// Takes over a state that was built elsewhere, if it is ahead of this one.
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
