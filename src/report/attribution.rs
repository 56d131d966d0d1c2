//! Which profile moved the line between two spans, by how much, and from which version on.
//!
//! A profile's contribution has two parts. Quality: its own share changed, weighted by how much of
//! the later work is its own. Volume: its weight among all work changed, and its earlier share lay
//! above or below the line. The contributions of all profiles sum exactly to the line's change.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Millis,
        ProfileName, //
    },
    ledger::{
        outcomes::Row,
        record::{
            Cause,
            Tally, //
        }, //
    },
    report::{
        sli::{
            self,
            Counts,
            PPM, //
            Profile,
        }, //
        sort_by_profile,
    }, //
};

/// How much of the best split in time a split by version must explain to be named the origin.
const MIN_VERSION_FIT: f64 = 0.8;

/// Where a profile's change began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The version from which on, or inside which, the share changed.
    pub version: u32,
    /// Whether the change came with this version; otherwise it came while the version was in force.
    pub published: bool,
    /// Start of the first bucket that shows it, since 1970.
    pub since: Millis,
}

/// A profile's part in the line's change, in parts per million.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contribution {
    /// The profile.
    pub profile: ProfileName,
    /// Its line in the earlier span.
    pub before: Counts,
    /// Its line in the later span.
    pub after: Counts,
    /// By how much its own share moved the line.
    pub quality: i64,
    /// By how much its weight among all work moved the line.
    pub volume: i64,
    /// Where the change of its share began; `None` when the share rests or one span has no work.
    pub origin: Option<Origin>,
    /// The cause whose part of the profile's work grew the most, when the share fell.
    pub cause: Option<Cause>,
}

impl Contribution {
    /// Its whole part, in parts per million.
    #[must_use]
    pub fn total(&self) -> i64 {
        self.quality + self.volume
    }
}

/// The line's change between two spans.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Comparison {
    /// The earlier line.
    pub before: Counts,
    /// The later line.
    pub after: Counts,
    /// The change in parts per million; `None` when one span has no work.
    pub change: Option<i64>,
    /// Each profile's part, the largest first; empty without a change to explain.
    #[serde(rename = "parts")]
    pub contributions: Vec<Contribution>,
}

/// Explains the line's change from the rows of two spans, in order of time.
pub fn compare<'a>(
    before: impl Iterator<Item = &'a Row> + Clone,
    after: impl Iterator<Item = &'a Row> + Clone,
) -> Comparison {
    let mut comparison = Comparison {
        before: sli::sum(before.clone()),
        after: sli::sum(after.clone()),
        change: None,
        contributions: Vec::new(),
    };
    comparison.change = change(&comparison.before, &comparison.after);
    let Some(change) = comparison.change else {
        return comparison;
    };
    let rows = sort_by_profile(before.clone().chain(after.clone()));
    let pairs = pair_profiles(sli::profiles(before), sli::profiles(after));
    let effects = pairs
        .iter()
        .map(|p| p.effects(&comparison.before, &comparison.after));
    let effects: Vec<_> = effects.flatten().collect();
    let rounded = apportion(&effects, change);
    for (pair, effect) in pairs.into_iter().zip(rounded.chunks_exact(2)) {
        comparison
            .contributions
            .push(pair.contribution(effect[0], effect[1], &rows));
    }
    comparison.contributions.sort_by(|a, b| {
        let larger = b.total().abs().cmp(&a.total().abs());
        larger.then_with(|| a.profile.cmp(&b.profile))
    });
    comparison
}

/// The change of the line in parts per million.
fn change(before: &Counts, after: &Counts) -> Option<i64> {
    let before = i64::try_from(before.share()?).ok()?;
    let after = i64::try_from(after.share()?).ok()?;
    Some(after - before)
}

/// One profile in both spans.
struct ProfilePair {
    before: Profile,
    after: Profile,
}

/// Joins two lists by profile; a missing side has no work.
fn pair_profiles(before: Vec<Profile>, after: Vec<Profile>) -> Vec<ProfilePair> {
    let mut pairs: Vec<_> = before.into_iter().map(ProfilePair::earlier).collect();
    pairs.sort_by(|a, b| a.name().cmp(b.name()));
    for profile in after {
        match pairs.binary_search_by(|p| p.name().cmp(&profile.profile)) {
            Ok(at) => pairs[at].after = profile,
            Err(at) => pairs.insert(at, ProfilePair::later(profile)),
        }
    }
    pairs
}

/// A profile without work.
fn empty_profile(profile: ProfileName) -> Profile {
    Profile {
        profile,
        counts: Counts::default(),
        versions: Vec::new(),
        causes: Vec::new(),
    }
}

/// A part of a whole, or `other` when there is no whole.
fn ratio(part: u64, whole: u64, other: f64) -> f64 {
    if whole == 0 {
        return other;
    }
    part as f64 / whole as f64
}

impl ProfilePair {
    fn earlier(before: Profile) -> Self {
        let after = empty_profile(before.profile.clone());
        Self { before, after }
    }

    fn later(after: Profile) -> Self {
        let before = empty_profile(after.profile.clone());
        Self { before, after }
    }

    fn name(&self) -> &ProfileName {
        &self.before.profile
    }

    /// Quality and volume in parts per million, not rounded. A profile that is new counts as if it
    /// had been on the earlier line.
    fn effects(&self, before: &Counts, after: &Counts) -> [f64; 2] {
        let line = ratio(before.good, before.counted, 0.0);
        let (old, new) = (&self.before.counts, &self.after.counts);
        let old_share = ratio(old.good, old.counted, line);
        let new_share = ratio(new.good, new.counted, old_share);
        let old_weight = ratio(old.counted, before.counted, 0.0);
        let new_weight = ratio(new.counted, after.counted, 0.0);
        let quality = new_weight * (new_share - old_share);
        let volume = (new_weight - old_weight) * (old_share - line);
        [quality * PPM as f64, volume * PPM as f64]
    }

    fn contribution(self, quality: i64, volume: i64, rows: &[&Row]) -> Contribution {
        let fell = self.share_fell();
        let origin = fell.and_then(|fell| find_origin(self.name(), fell, rows));
        let cause = match fell {
            Some(true) => self.main_cause(),
            Some(false) | None => None,
        };
        Contribution {
            before: self.before.counts,
            after: self.after.counts,
            profile: self.before.profile,
            quality,
            volume,
            origin,
            cause,
        }
    }

    /// Whether the share fell; `None` when it rests or one span has no work.
    fn share_fell(&self) -> Option<bool> {
        let before = self.before.counts.share()?;
        let after = self.after.counts.share()?;
        (before != after).then_some(after < before)
    }

    /// The cause whose part of the profile's work grew the most.
    fn main_cause(&self) -> Option<Cause> {
        let part = |p: &Profile, cause| {
            let found = p.causes.iter().find(|b| b.cause == cause);
            let count = found.map_or(0, |b| b.count);
            ratio(count, p.counts.counted, 0.0)
        };
        let counted = |c: &Cause| *c != Cause::Cancelled;
        let causes = self.after.causes.iter().map(|b| b.cause).filter(counted);
        causes
            .map(|c| (part(&self.after, c) - part(&self.before, c), c))
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, cause)| cause)
    }
}

/// Rounds values to whole numbers that sum to `sum`: those with the largest remainders go up.
fn apportion(values: &[f64], sum: i64) -> Vec<i64> {
    if values.is_empty() {
        return Vec::new();
    }
    let mut rounded: Vec<_> = values.iter().map(|v| v.floor() as i64).collect();
    let mut order: Vec<_> = (0..values.len()).collect();
    let remainder = |i: usize| values[i] - values[i].floor();
    order.sort_by(|a, b| remainder(*b).total_cmp(&remainder(*a)));
    let missing = sum - rounded.iter().sum::<i64>();
    let step = missing.signum();
    if step < 0 {
        order.reverse();
    }
    for at in order
        .into_iter()
        .cycle()
        .take(missing.unsigned_abs() as usize)
    {
        rounded[at] += step;
    }
    rounded
}

/// Finds where the share of a profile fell or rose: at a version, or at a time inside one. `rows` are
/// in order of profile and time.
fn find_origin(name: &ProfileName, fell: bool, rows: &[&Row]) -> Option<Origin> {
    let from = rows.partition_point(|r| r.tally.profile < *name);
    let rest = rows.get(from..).unwrap_or_default();
    let own = &rest[..rest.partition_point(|r| r.tally.profile == *name)];
    let time = best_split(own, fell, |r| r.start.0)?;
    let version = best_split(own, fell, |r| u64::from(r.tally.version));
    if let Some(split) = version
        && split.score >= MIN_VERSION_FIT * time.score
    {
        let version = u32::try_from(split.at).ok()?;
        let first = own.iter().find(|r| r.tally.version == version)?;
        return Some(Origin {
            version,
            published: true,
            since: first.start,
        });
    }
    let since = Millis(time.at);
    let active = own.iter().filter(|r| r.start == since);
    let largest = active.max_by_key(|r| r.tally.total)?;
    Some(Origin {
        version: largest.tally.version,
        published: false,
        since,
    })
}

/// A split of rows in two.
struct Split {
    /// The first key of the second part.
    at: u64,
    /// How well it separates good from bad work.
    score: f64,
}

/// The split by `key` that separates the shares best, in the wanted direction.
fn best_split(rows: &[&Row], fell: bool, key: impl Fn(&Row) -> u64) -> Option<Split> {
    let mut keyed: Vec<_> = rows.iter().map(|r| (key(r), &r.tally)).collect();
    keyed.sort_by_key(|(key, _)| *key);
    let all = sum_tallies(keyed.iter().map(|(_, tally)| *tally));
    let mut before = Counts::default();
    let mut best: Option<Split> = None;
    for group in keyed.chunk_by(|a, b| a.0 == b.0) {
        let at = group[0].0;
        let score = score(&before, &all, fell);
        if score > best.as_ref().map_or(0.0, |b| b.score) {
            best = Some(Split { at, score });
        }
        group.iter().for_each(|(_, tally)| before.add(tally));
    }
    best
}

fn sum_tallies<'a>(tallies: impl Iterator<Item = &'a Tally>) -> Counts {
    let mut counts = Counts::default();
    tallies.for_each(|t| counts.add(t));
    counts
}

/// The sum of squares between the work in `before` and the rest of `all`; zero when the share did
/// not change in the wanted direction.
fn score(before: &Counts, all: &Counts, fell: bool) -> f64 {
    let (first, second) = (before.counted, all.counted.saturating_sub(before.counted));
    if first == 0 || second == 0 {
        return 0.0;
    }
    let earlier = ratio(before.good, first, 0.0);
    let later = ratio(all.good.saturating_sub(before.good), second, 0.0);
    let change = later - earlier;
    if (change < 0.0) != fell {
        return 0.0;
    }
    let weight = first as f64 * second as f64 / all.counted as f64;
    weight * change * change
}
