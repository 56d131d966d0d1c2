//! Counts what became of work at one entry instance, and hands the counts out as records.
//!
//! Counts stay here until the log has committed them. One record is outstanding at a time and is
//! handed out again, unchanged, until [`Tally::committed`] names it: a failed append loses nothing,
//! and a repeated one carries the same sequence number, by which readers skip it.

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

/// Width of a span, in milliseconds: counts of one span share a record.
pub const WINDOW_MS: u64 = 60_000;

/// Most spans that wait for the log; beyond it the two oldest become one.
pub const MAX_WINDOWS: usize = 240;

/// How a piece of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It ended well.
    Done,
    /// It ran and failed.
    Failed,
    /// It was refused for want of room: queue, quota or deadline at admission.
    Refused,
    /// It was admitted and its deadline passed before it was placed.
    Unplaced,
    /// It was sent and no whole answer came back.
    Unknown,
    /// The caller cancelled it.
    Cancelled,
}

/// A piece of work that ended: a request or a job. Malformed input is no piece of work.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The profile that it ran under.
    pub profile: ProfileName,
    /// The version that it was admitted under.
    pub version: u32,
    /// From acceptance to the first start, in milliseconds; to the end when it never started.
    pub waited: u64,
    /// From acceptance to the end, in milliseconds.
    pub took: u64,
    /// What was promised. A caller's shorter deadline takes the place of the profile's.
    pub objective: Objective,
    /// Whether it ran.
    pub ran: Ran,
    /// Executions that count. A copy that the backend server refused as not run, and an attempt
    /// that was proven over before the next one started, do not; nor do further copies of an
    /// idempotent request.
    pub attempts: u32,
    /// How it ended.
    pub outcome: Outcome,
}

impl Work {
    /// The one reason for which this work is not good, or `None` when it was placed, ran once and
    /// finished in time.
    ///
    /// The first that applies counts: a repeated execution, then how it ended, then lateness, then
    /// the wait. A cancellation excuses only work that was still inside its promise.
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

    /// What speaks against an end that was reported as good.
    fn unproven(&self) -> Option<Cause> {
        match self.ran {
            Ran::Yes => None,
            Ran::No => Some(Cause::Unplaced),
            Ran::Unknown => Some(Cause::Unknown),
        }
    }

    /// Which promise on time was broken.
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

/// Counts of the work that ended in one span of time.
#[derive(Debug, Clone, PartialEq)]
struct Window {
    /// Its index: the wall clock divided by [`WINDOW_MS`].
    index: u64,
    /// The counts, sorted by profile and version.
    rows: Vec<record::Tally>,
}

/// Counts of one life of an entry instance that the log does not hold yet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    /// The sequence number of the last record handed out.
    seq: u64,
    /// The record that is not committed yet.
    outstanding: Option<record::Outcomes>,
    /// The counts that no record holds yet, sorted by index.
    windows: Vec<Window>,
}

impl Tally {
    /// Counts one piece of work that ended at `now`, on the instance's wall clock since 1970.
    pub fn record(&mut self, now: Millis, work: &Work) {
        let rows = self.rows(now.0 / WINDOW_MS);
        record::Tally::entry(rows, &work.profile, work.version).count(work);
    }

    /// The record to append next, if any. Until it is committed, the same one again.
    pub fn next_record(&mut self, now: Millis) -> Option<record::Outcomes> {
        if self.outstanding.is_none() {
            self.outstanding = self.build_record(now);
        }
        self.outstanding.clone()
    }

    /// Drops the outstanding record once it stands in the log. Another `seq` has no effect.
    pub fn committed(&mut self, seq: u64) {
        if self.outstanding.as_ref().is_some_and(|r| r.seq == seq) {
            self.outstanding = None;
        }
    }

    /// Whether the log holds everything that was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.outstanding.is_none() && self.windows.is_empty()
    }

    fn build_record(&mut self, now: Millis) -> Option<record::Outcomes> {
        if self.windows.is_empty() {
            return None;
        }
        let window = self.windows.remove(0);
        self.seq += 1;
        let last = (window.index + 1) * WINDOW_MS - 1;
        Some(record::Outcomes {
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

    /// Joins the two oldest spans when there are too many. Returns where the span `at` went.
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
    /// Counts one piece of work as good or under its one cause.
    pub fn count(&mut self, work: &Work) {
        self.total += 1;
        self.waited = self.waited.saturating_add(work.waited);
        match work.cause() {
            None => self.good += 1,
            Some(cause) => self.blame(cause, 1),
        }
    }
}
