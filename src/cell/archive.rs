//! Archive of the final states of finished jobs, stored in segments, and of tombstones: jobs that
//! were cancelled before any owner knew them, and are not accepted any more.
//!
//! A new owner reads every stored record before it decides anything. One record for each finished
//! job would make that read grow over the day; a segment holds many jobs.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    journal,
    model::State, //
};

/// Number of jobs in a full segment. Each batch writes the open segment again, so a larger segment
/// costs more bytes; a smaller one costs more records at a change of owner.
const SEGMENT_JOBS: usize = 100;

/// Number of jobs in a full segment of an owner whose link is slow.
const SHORT_SEGMENT_JOBS: usize = 25;

/// Maximum number of tombstones: anyone can cancel jobs that do not exist.
const MAX_TOMBSTONES: usize = 10_000;

/// Final state of a job; `None` for a tombstone.
type Entry = (CompactString, Option<State>);

/// Segment as it is stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Segment {
    /// Ids and final states of the jobs; no state for a tombstone.
    pub jobs: Vec<Entry>,
}

/// Segment with its key and age.
#[derive(Debug, Clone)]
struct StoredSegment {
    key: CompactString,
    segment: Segment,
    /// Local time at which the newest job of the segment ended, in milliseconds.
    ended_at: u64,
}

/// Archive of finished jobs within their retention time.
#[derive(Debug, Clone, Default)]
pub struct Archive {
    /// Ids and final states, sorted by id.
    states: Vec<Entry>,
    /// Number of tombstones.
    tombstones: usize,
    /// Segments, oldest first.
    segments: Vec<StoredSegment>,
    /// Number of segments begun in this term.
    segments_begun: u32,
    /// Number of leading segments whose current contents are stored.
    stored: usize,
    /// Whether the owner's link is slow, so that segments are short.
    short: bool,
}

impl Archive {
    fn find(&self, id: &str) -> Result<usize, usize> {
        self.states
            .binary_search_by(|(name, _)| name.as_str().cmp(id))
    }

    /// Makes later segments short, for an owner whose link is slow.
    pub fn shorten_segments(&mut self) {
        self.short = true;
    }

    /// Final state of a job; `None` also for a tombstone.
    #[must_use]
    pub fn state(&self, id: &str) -> Option<State> {
        self.find(id).ok().and_then(|at| self.states[at].1)
    }

    /// Whether a job was cancelled before any owner knew it.
    #[must_use]
    pub fn has_tombstone(&self, id: &str) -> bool {
        self.find(id).is_ok_and(|at| self.states[at].1.is_none())
    }

    /// Keeps a job that is not known from being accepted, from local time `now` in milliseconds on.
    /// Returns whether the tombstone is there; there can be too many.
    pub fn bury(&mut self, id: &str, now: u64, term: u64) -> bool {
        let Err(at) = self.find(id) else {
            return self.has_tombstone(id);
        };
        if self.tombstones >= MAX_TOMBSTONES {
            return false;
        }
        self.tombstones += 1;
        self.states.insert(at, (id.into(), None));
        self.append(id, None, now, term);
        true
    }

    /// Number of tombstones.
    #[must_use]
    pub fn tombstones(&self) -> usize {
        self.tombstones
    }

    /// Whether a segment has changed since the last call of [`Archive::take_changed`].
    #[must_use]
    pub fn has_changed(&self) -> bool {
        self.stored < self.segments.len()
    }

    /// Number of archived jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether the archive is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Records that the final state of a job is stored.
    pub fn record(&mut self, id: &str, state: State) {
        match self.find(id) {
            Ok(at) => {
                let before = self.states[at].1.replace(state);
                self.tombstones -= usize::from(before.is_none());
            }
            Err(at) => self.states.insert(at, (id.into(), Some(state))),
        }
    }

    /// Appends a job that ended at local time `ended_at`, in milliseconds, to the open segment of
    /// `term`.
    pub fn append(&mut self, id: &str, state: Option<State>, ended_at: u64, term: u64) {
        let full = match self.short {
            true => SHORT_SEGMENT_JOBS,
            false => SEGMENT_JOBS,
        };
        let begins = match self.segments.last() {
            Some(last) => self.segments_begun == 0 || last.segment.jobs.len() >= full,
            None => true,
        };
        if begins {
            self.segments_begun += 1;
            self.segments.push(StoredSegment {
                key: journal::segment_key(term, self.segments_begun),
                segment: Segment::default(),
                ended_at,
            });
        }
        if let Some(last) = self.segments.last_mut() {
            last.segment.jobs.push((id.into(), state));
            last.ended_at = last.ended_at.max(ended_at);
        }
        self.stored = self.stored.min(self.segments.len() - 1);
    }

    /// Keys and contents of the segments that have changed since the last call.
    pub fn take_changed(&mut self) -> impl Iterator<Item = (&CompactString, &Segment)> {
        let from = std::mem::replace(&mut self.stored, self.segments.len());
        self.segments[from..].iter().map(|s| (&s.key, &s.segment))
    }

    /// Loads stored segments. Their jobs count as ended at local time `now`, in milliseconds.
    pub fn load(&mut self, segments: Vec<(CompactString, Segment)>, now: u64) {
        for (key, segment) in segments {
            self.states.extend(segment.jobs.iter().cloned());
            self.segments.push(StoredSegment {
                key,
                segment,
                ended_at: now,
            });
        }
        self.states.sort();
        // Of a job with a tombstone and a state, the state counts: tombstones sort first.
        self.states.reverse();
        self.states.dedup_by(|a, b| a.0 == b.0);
        self.states.reverse();
        self.tombstones = self.states.iter().filter(|(_, s)| s.is_none()).count();
        self.stored = self.segments.len();
    }

    /// Removes the segments whose jobs all ended before local time `limit`, in milliseconds, and
    /// returns the keys of these segments.
    pub fn expire(&mut self, limit: u64) -> Vec<CompactString> {
        let mut keys = Vec::new();
        // The open segment stays: it would be written again after its deletion.
        while self.segments.len() > 1 && self.segments[0].ended_at < limit && self.stored > 0 {
            let old = self.segments.remove(0);
            self.stored -= 1;
            for (id, _) in &old.segment.jobs {
                if let Ok(at) = self.find(id) {
                    let (_, state) = self.states.remove(at);
                    self.tombstones -= usize::from(state.is_none());
                }
            }
            keys.push(old.key);
        }
        keys
    }
}
