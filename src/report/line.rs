//! The line: the share of work that was placed, ran once and finished in time.
//!
//! Work that its caller cancelled while the promise still held is not counted.

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

/// Parts of the whole in a share: shares are in parts per million.
pub const WHOLE: u64 = 1_000_000;

/// What became of some work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Pieces of work that count.
    pub counted: u64,
    /// Those that were placed, ran once and finished in time.
    pub good: u64,
    /// Those that were placed.
    pub placed: u64,
    /// Those that surely did not run more than once.
    pub once: u64,
    /// Those that started and finished in time, and well.
    pub timely: u64,
    /// Pieces of work that callers cancelled; not counted.
    pub cancelled: u64,
    /// The sum of waits to be placed, in milliseconds.
    pub waited: u64,
}

impl Line {
    /// The share of good work in parts per million; `None` without work.
    #[must_use]
    pub fn share(&self) -> Option<u64> {
        share(self.good, self.counted)
    }

    /// Work that is not good.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.counted.saturating_sub(self.good)
    }

    /// The mean wait to be placed, in milliseconds; `None` without work.
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

/// A part of a whole in parts per million, rounded to the nearest; `None` when there is no whole.
#[must_use]
pub fn share(part: u64, whole: u64) -> Option<u64> {
    let scaled = u128::from(part) * u128::from(WHOLE) + u128::from(whole / 2);
    let share = scaled.checked_div(u128::from(whole))?;
    u64::try_from(share).ok()
}

/// Work under one cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blame {
    /// The cause.
    pub cause: Cause,
    /// Pieces of work.
    pub count: u64,
}

/// What became of work under one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version.
    pub version: u32,
    /// Its line.
    pub line: Line,
}

/// What became of work under one profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The profile.
    pub profile: ProfileName,
    /// Its line.
    pub line: Line,
    /// Its versions, in order.
    pub versions: Vec<Version>,
    /// Why work was not good, the most frequent first.
    pub causes: Vec<Blame>,
}

/// The line over some rows.
pub fn sum<'a>(rows: impl Iterator<Item = &'a Row>) -> Line {
    let mut line = Line::default();
    rows.for_each(|row| line.add(&row.tally));
    line
}

/// The line of each profile and version, the profile with the most bad work first.
pub fn profiles<'a>(rows: impl Iterator<Item = &'a Row>) -> Vec<Profile> {
    let mut tallies = Vec::new();
    for row in rows {
        Tally::entry(&mut tallies, &row.tally.profile, row.tally.version).add(&row.tally);
    }
    let same = |a: &Tally, b: &Tally| a.profile == b.profile;
    let mut found: Vec<_> = tallies.chunk_by(same).map(profile).collect();
    found.sort_by(|a, b| {
        let worse = b.line.bad().cmp(&a.line.bad());
        worse.then_with(|| a.profile.cmp(&b.profile))
    });
    found
}

/// Sums the versions of one profile; `tallies` is not empty.
fn profile(tallies: &[Tally]) -> Profile {
    let mut all = Tally::empty(tallies[0].profile.clone(), 0);
    let mut versions = Vec::with_capacity(tallies.len());
    for tally in tallies {
        all.add(tally);
        let mut line = Line::default();
        line.add(tally);
        let version = tally.version;
        versions.push(Version { version, line });
    }
    let mut line = Line::default();
    line.add(&all);
    Profile {
        line,
        versions,
        causes: causes(&all),
        profile: all.profile,
    }
}

fn causes(tally: &Tally) -> Vec<Blame> {
    let blame = |&(cause, count): &(Cause, u64)| Blame { cause, count };
    let mut causes: Vec<_> = tally.bad.iter().map(blame).collect();
    causes.retain(|b| b.count > 0);
    causes.sort_by(|a, b| b.count.cmp(&a.count).then(a.cause.cmp(&b.cause)));
    causes
}
