//! Counts the outcomes of requests and jobs at one entry instance, as records for the log.
//!
//! Counts are kept until the log has committed them. One record is outstanding at a time and is
//! returned unchanged until [`Tally::committed`] is called with its sequence number. A failed
//! append therefore loses nothing, and readers skip a duplicate by its sequence number.

use crate::{
    ids::{
        Millis,
        ProfileName, //
    },
    ledger::record::{
        self,
        Cause, //
    },
    profile::Objective,
    wire::caller::Ran, //
};

/// Length of a counting window, in milliseconds; the counts of one window share a record.
pub const WINDOW_MS: u64 = 60_000;

/// Maximum number of windows that wait for the log; beyond it, the two oldest are merged.
pub const MAX_WINDOWS: usize = 240;

/// Outcome of a request or job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The work succeeded.
    Done,
    /// The work ran and failed.
    Failed,
    /// The work was refused at admission: full queue, quota or deadline.
    Refused,
    /// The work was admitted, but its deadline passed before it was placed.
    Unplaced,
    /// The work was sent, and no complete response came back.
    Unknown,
    /// The caller cancelled the work.
    Cancelled,
}

/// A request or job that has ended. Malformed input is not counted as work.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Profile of the work.
    pub profile: ProfileName,
    /// Profile version that the work was admitted under.
    pub version: u32,
    /// Time from acceptance to the first start, in milliseconds; to the end if the work never
    /// started.
    pub waited: u64,
    /// Time from acceptance to the end, in milliseconds.
    pub took: u64,
    /// Service-level objective. A caller's shorter deadline replaces the profile's.
    pub objective: Objective,
    /// Whether the work ran.
    pub ran: Ran,
    /// Number of executions that count against the objective. Not counted are a copy that the
    /// backend server refused without running, an attempt that was proven to have ended before the
    /// next one started, and further copies of an idempotent request.
    pub attempts: u32,
    /// Outcome of the work.
    pub outcome: Outcome,
}

impl Work {
    /// The single cause for which the work missed its objective, or `None` if it was placed, ran
    /// once and finished in time.
    ///
    /// The first cause that applies is returned: repeated execution, outcome, missed deadline,
    /// wait. A cancellation only excuses work that had not missed its deadline or wait yet.
    #[must_use]
    pub fn cause(&self) -> Option<Cause> {
        if self.attempts > 1 {
            return Some(Cause::Repeated);
        }
        match self.outcome {
            Outcome::Refused => Some(Cause::Refused),
            Outcome::Unplaced => Some(Cause::Unplaced),
            Outcome::Unknown => Some(Cause::Unknown),
            Outcome::Failed => Some(Cause::Failed),
            Outcome::Cancelled => Some(self.lateness().unwrap_or(Cause::Cancelled)),
            Outcome::Done => self.unproven().or_else(|| self.lateness()),
        }
    }

    /// Cause against a success that is not proven, as the work did not run or may not have run.
    fn unproven(&self) -> Option<Cause> {
        match self.ran {
            Ran::Yes => None,
            Ran::No => Some(Cause::Unplaced),
            Ran::Unknown => Some(Cause::Unknown),
        }
    }

    /// Cause of a missed deadline or wait objective.
    fn lateness(&self) -> Option<Cause> {
        if self.took > self.objective.deadline {
            return Some(match self.ran {
                Ran::No => Cause::Unplaced,
                Ran::Yes | Ran::Unknown => Cause::Late,
            });
        }
        (self.waited > self.objective.wait).then_some(Cause::Waited)
    }
}

/// Counts of the work that ended in one window of time.
#[derive(Debug, Clone, PartialEq)]
struct Window {
    /// Index of the window: the wall clock divided by [`WINDOW_MS`].
    index: u64,
    /// Counts, sorted by profile and version.
    rows: Vec<record::Tally>,
}

/// Counts of one incarnation of an entry instance that are not in the log yet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// Sequence number of the last record returned.
    seq: u64,
    /// Record that was returned and is not committed yet.
    outstanding: Option<record::OutcomeCounts>,
    /// Windows that are not part of a record yet, sorted by index.
    windows: Vec<Window>,
}

impl Tally {
    /// Counts work that ended at `now`, in milliseconds since 1970 on the instance's wall clock.
    pub fn record(&mut self, now: Millis, work: &Work) {
        let rows = self.rows(now.0 / WINDOW_MS);
        record::Tally::entry(rows, &work.profile, work.version).count(work);
    }

    /// Returns the record to append next, if any. The same record is returned until it is
    /// committed.
    pub fn next_record(&mut self, now: Millis) -> Option<record::OutcomeCounts> {
        if self.outstanding.is_none() {
            self.outstanding = self.build_record(now);
        }
        self.outstanding.clone()
    }

    /// Drops the outstanding record once the log has committed it. Any other `seq` has no effect.
    pub fn committed(&mut self, seq: u64) {
        if self.outstanding.as_ref().is_some_and(|r| r.seq == seq) {
            self.outstanding = None;
        }
    }

    /// Returns whether the log holds all counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.outstanding.is_none() && self.windows.is_empty()
    }

    fn build_record(&mut self, now: Millis) -> Option<record::OutcomeCounts> {
        if self.windows.is_empty() {
            return None;
        }
        let window = self.windows.remove(0);
        self.seq += 1;
        let last = (window.index + 1) * WINDOW_MS - 1;
        Some(record::OutcomeCounts {
            seq: self.seq,
            at: Millis(last.min(now.0)),
            rows: window.rows,
        })
    }

    fn rows(&mut self, index: u64) -> &mut Vec<record::Tally> {
        let at = match self.windows.binary_search_by_key(&index, |w| w.index) {
            Ok(at) => at,
            Err(at) => {
                let rows = Vec::new();
                self.windows.insert(at, Window { index, rows });
                self.merge_oldest(at)
            }
        };
        &mut self.windows[at].rows
    }

    /// Merges the two oldest windows if there are too many. Returns the new index of window `at`.
    fn merge_oldest(&mut self, at: usize) -> usize {
        if self.windows.len() <= MAX_WINDOWS {
            return at;
        }
        let oldest = self.windows.remove(0);
        for row in &oldest.rows {
            record::Tally::entry(&mut self.windows[0].rows, &row.profile, row.version).add(row);
        }
        at.saturating_sub(1)
    }
}

impl record::Tally {
    /// Counts work as good, or under the cause for which it missed its objective.
    pub fn count(&mut self, work: &Work) {
        self.total += 1;
        self.waited = self.waited.saturating_add(work.waited);
        match work.cause() {
            None => self.good += 1,
            Some(cause) => self.add_cause(cause, 1),
        }
    }
}
