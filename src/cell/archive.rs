//! Archive of the final states of finished jobs, stored in segments.
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

/// Segment as it is stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Segment {
    /// Ids and final states of the jobs.
    pub jobs: Vec<(CompactString, State)>,
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
    states: Vec<(CompactString, State)>,
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

    /// Final state of a job.
    #[must_use]
    pub fn state(&self, id: &str) -> Option<State> {
        self.find(id).ok().map(|at| self.states[at].1)
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
            Ok(at) => self.states[at].1 = state,
            Err(at) => self.states.insert(at, (id.into(), state)),
        }
    }

    /// Appends a job that ended at local time `ended_at`, in milliseconds, to the open segment of
    /// `term`.
    pub fn append(&mut self, id: &str, state: State, ended_at: u64, term: u64) {
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
        self.states.dedup_by(|a, b| a.0 == b.0);
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
                    self.states.remove(at);
                }
            }
            keys.push(old.key);
        }
        keys
    }
}
