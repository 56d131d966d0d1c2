//! The service-level indicator: the share of work that was placed, ran once and finished in time.
//!
//! Work that the caller cancelled while its objective could still be met is not counted.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::ProfileName,
    ledger::{
        outcomes::Row,
        record::{
            Cause,
            Tally, //
        }, //
    }, //
};

/// Parts per million in a whole: the unit of shares.
pub const PPM: u64 = 1_000_000;

/// Outcome counts of a set of requests and jobs, from which the indicator is computed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests and jobs that count towards the indicator.
    pub counted: u64,
    /// Counted work that was placed, ran once and finished in time.
    pub good: u64,
    /// Counted work that was placed.
    pub placed: u64,
    /// Counted work that is known not to have run more than once.
    pub once: u64,
    /// Counted work that started and finished in time and did not fail.
    pub timely: u64,
    /// Requests and jobs that their callers cancelled; not in `counted`.
    pub cancelled: u64,
    /// Sum of the waiting times before placement, in milliseconds.
    pub waited: u64,
}

impl Counts {
    /// Returns the share of good work, in parts per million; `None` without work.
    #[must_use]
    pub fn share(&self) -> Option<u64> {
        share(self.good, self.counted)
    }

    /// Returns the number of counted requests and jobs that are not good.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.counted.saturating_sub(self.good)
    }

    /// Returns the mean wait before placement, in milliseconds; `None` without work.
    #[must_use]
    pub fn mean_wait(&self) -> Option<u64> {
        self.waited
            .checked_div(self.counted.saturating_add(self.cancelled))
    }

    /// Adds the counts of a tally.
    pub fn add(&mut self, tally: &Tally) {
        let cancelled = tally.cause_count(Cause::Cancelled);
        let counted = tally.total.saturating_sub(cancelled);
        let without = |causes: &[Cause]| {
            let bad = causes.iter().map(|c| tally.cause_count(*c));
            bad.fold(counted, u64::saturating_sub)
        };
        let sum = |total: &mut u64, more: u64| *total = total.saturating_add(more);
        sum(&mut self.counted, counted);
        sum(&mut self.good, tally.good);
        sum(
            &mut self.placed,
            without(&[Cause::Refused, Cause::Unplaced]),
        );
        sum(&mut self.once, without(&[Cause::Repeated, Cause::Unknown]));
        sum(
            &mut self.timely,
            without(&[Cause::Waited, Cause::Late, Cause::Failed]),
        );
        sum(&mut self.cancelled, cancelled);
        sum(&mut self.waited, tally.waited);
    }
}

/// Returns `part` of `whole` in parts per million, rounded to the nearest; `None` if `whole` is
/// zero.
#[must_use]
pub fn share(part: u64, whole: u64) -> Option<u64> {
    let scaled = u128::from(part) * u128::from(PPM) + u128::from(whole / 2);
    let share = scaled.checked_div(u128::from(whole))?;
    u64::try_from(share).ok()
}

/// Number of requests and jobs that were not good for one cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CauseCount {
    /// Why the work was not good.
    pub cause: Cause,
    /// Number of requests and jobs.
    pub count: u64,
}

/// Outcome counts of one profile version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Version of the profile.
    pub version: u32,
    /// Counts of the version.
    #[serde(rename = "line")]
    pub counts: Counts,
}

/// Outcome counts of one profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Name of the profile.
    pub profile: ProfileName,
    /// Counts of all versions together.
    #[serde(rename = "line")]
    pub counts: Counts,
    /// Counts of each version, in order of version.
    pub versions: Vec<Version>,
    /// Causes of work that was not good, the most frequent first.
    pub causes: Vec<CauseCount>,
}

/// Sums the counts of rows.
pub fn sum<'a>(rows: impl Iterator<Item = &'a Row>) -> Counts {
    let mut counts = Counts::default();
    rows.for_each(|row| counts.add(&row.tally));
    counts
}

/// Sums the rows by profile and version; the profile with the most bad work comes first.
pub fn profiles<'a>(rows: impl Iterator<Item = &'a Row>) -> Vec<Profile> {
    let mut tallies = Vec::new();
    for row in rows {
        Tally::entry(&mut tallies, &row.tally.profile, row.tally.version).add(&row.tally);
    }
    let same = |a: &Tally, b: &Tally| a.profile == b.profile;
    let mut found: Vec<_> = tallies.chunk_by(same).map(sum_versions).collect();
    found.sort_by(|a, b| {
        let worse = b.counts.bad().cmp(&a.counts.bad());
        worse.then_with(|| a.profile.cmp(&b.profile))
    });
    found
}

/// Sums the versions of one profile; `tallies` must not be empty.
fn sum_versions(tallies: &[Tally]) -> Profile {
    let mut all = Tally::empty(tallies[0].profile.clone(), 0);
    let mut versions = Vec::with_capacity(tallies.len());
    for tally in tallies {
        all.add(tally);
        let mut counts = Counts::default();
        counts.add(tally);
        let version = tally.version;
        versions.push(Version { version, counts });
    }
    let mut counts = Counts::default();
    counts.add(&all);
    Profile {
        counts,
        versions,
        causes: causes(&all),
        profile: all.profile,
    }
}

fn causes(tally: &Tally) -> Vec<CauseCount> {
    let count_of = |&(cause, count): &(Cause, u64)| CauseCount { cause, count };
    let mut causes: Vec<_> = tally.bad.iter().map(count_of).collect();
    causes.retain(|c| c.count > 0);
    causes.sort_by(|a, b| b.count.cmp(&a.count).then(a.cause.cmp(&b.cause)));
    causes
}
