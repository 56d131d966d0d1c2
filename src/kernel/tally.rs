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
pub const SPAN: u64 = 60_000;

/// Most spans that wait for the log; beyond it the two oldest become one.
pub const MAX_SPANS: usize = 240;

/// How a piece of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum End {
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
    pub end: End,
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
        match self.end {
            End::Refused => Some(Cause::Refused),
            End::Unplaced => Some(Cause::Unplaced),
            End::Unknown => Some(Cause::Unknown),
            End::Failed => Some(Cause::Failed),
            End::Cancelled => Some(self.lateness().unwrap_or(Cause::Cancelled)),
            End::Done => self.doubt().or_else(|| self.lateness()),
        }
    }

    /// What speaks against an end that was reported as good.
    fn doubt(&self) -> Option<Cause> {
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
struct Span {
    /// Its index: the wall clock divided by [`SPAN`].
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
    unsent: Option<record::OutcomeCounts>,
    /// The counts that no record holds yet, sorted by index.
    spans: Vec<Span>,
}

impl Tally {
    /// Counts one piece of work that ended at `now`, on the instance's wall clock since 1970.
    pub fn ended(&mut self, now: Millis, work: &Work) {
        let rows = self.rows(now.0 / SPAN);
        record::Tally::entry(rows, &work.profile, work.version).count(work);
    }

    /// The record to append next, if any. Until it is committed, the same one again.
    pub fn take(&mut self, now: Millis) -> Option<record::OutcomeCounts> {
        if self.unsent.is_none() {
            self.unsent = self.next_record(now);
        }
        self.unsent.clone()
    }

    /// Drops the outstanding record once it stands in the log. Another `seq` has no effect.
    pub fn committed(&mut self, seq: u64) {
        if self.unsent.as_ref().is_some_and(|r| r.seq == seq) {
            self.unsent = None;
        }
    }

    /// Whether the log holds everything that was counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.unsent.is_none() && self.spans.is_empty()
    }

    fn next_record(&mut self, now: Millis) -> Option<record::OutcomeCounts> {
        if self.spans.is_empty() {
            return None;
        }
        let span = self.spans.remove(0);
        self.seq += 1;
        let last = (span.index + 1) * SPAN - 1;
        Some(record::OutcomeCounts {
            seq: self.seq,
            at: Millis(last.min(now.0)),
            rows: span.rows,
        })
    }

    fn rows(&mut self, index: u64) -> &mut Vec<record::Tally> {
        let at = match self.spans.binary_search_by_key(&index, |s| s.index) {
            Ok(at) => at,
            Err(at) => {
                let rows = Vec::new();
                self.spans.insert(at, Span { index, rows });
                self.shrink(at)
            }
        };
        &mut self.spans[at].rows
    }

    /// Joins the two oldest spans when there are too many. Returns where the span `at` went.
    fn shrink(&mut self, at: usize) -> usize {
        if self.spans.len() <= MAX_SPANS {
            return at;
        }
        let oldest = self.spans.remove(0);
        for row in &oldest.rows {
            record::Tally::entry(&mut self.spans[0].rows, &row.profile, row.version).add(row);
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
            Some(cause) => self.add_cause(cause, 1),
        }
    }
}
