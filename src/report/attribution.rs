//! Attributes the change of the service-level indicator between two spans to profiles: which
//! profile changed it, by how much, and since which version.
//!
//! The contribution of a profile has two terms. Quality: the profile's own share changed, weighted
//! by its fraction of the later work. Volume: the profile's fraction of all work changed while its
//! earlier share differed from that of all work. The contributions sum exactly to the change.

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

/// Fraction of the score of the best split by time that a split by version must reach for the
/// version to be reported as the origin.
const MIN_VERSION_FIT: f64 = 0.8;

/// Where the change of a profile's share began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// First version with the changed share, or the version in force when the share changed.
    pub version: u32,
    /// Whether the share changed when this version was published; otherwise it changed while the
    /// version was in force.
    pub published: bool,
    /// Start of the first bucket with the changed share, in milliseconds since 1970.
    pub since: Millis,
}

/// Contribution of a profile to the change of the indicator, in parts per million.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contribution {
    /// Name of the profile.
    pub profile: ProfileName,
    /// Counts of the profile in the earlier span.
    pub before: Counts,
    /// Counts of the profile in the later span.
    pub after: Counts,
    /// Change of the indicator due to the profile's own share, in parts per million.
    pub quality: i64,
    /// Change of the indicator due to the profile's fraction of all work, in parts per million.
    pub volume: i64,
    /// Where the change of the share began; `None` if the share is unchanged or one span has no
    /// work.
    pub origin: Option<Origin>,
    /// Cause whose fraction of the profile's work grew the most; `None` unless the share fell.
    pub cause: Option<Cause>,
}

impl Contribution {
    /// Returns the sum of both terms, in parts per million.
    #[must_use]
    pub fn total(&self) -> i64 {
        self.quality + self.volume
    }
}

/// Change of the service-level indicator between two spans.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Comparison {
    /// Counts of all work in the earlier span.
    pub before: Counts,
    /// Counts of all work in the later span.
    pub after: Counts,
    /// Change of the indicator, in parts per million; `None` if one span has no work.
    pub change: Option<i64>,
    /// Contribution of each profile, the largest first; empty if `change` is `None`.
    #[serde(rename = "parts")]
    pub contributions: Vec<Contribution>,
}

/// Attributes the change of the indicator between two spans to profiles. The rows are in order of
/// time.
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

/// Returns the change of the indicator, in parts per million.
fn change(before: &Counts, after: &Counts) -> Option<i64> {
    let before = i64::try_from(before.share()?).ok()?;
    let after = i64::try_from(after.share()?).ok()?;
    Some(after - before)
}

/// Counts of one profile in both spans.
struct ProfilePair {
    before: Profile,
    after: Profile,
}

/// Joins two lists by profile; a profile that one list lacks has no work there.
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

/// Returns the counts of a profile without work.
fn empty_profile(profile: ProfileName) -> Profile {
    Profile {
        profile,
        counts: Counts::default(),
        versions: Vec::new(),
        causes: Vec::new(),
    }
}

/// Returns `part` divided by `whole`, or `other` if `whole` is zero.
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

    /// Returns quality and volume in parts per million, not rounded. A profile without earlier work
    /// is treated as if its earlier share had been that of all work.
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

    /// Returns whether the share fell; `None` if it is unchanged or one span has no work.
    fn share_fell(&self) -> Option<bool> {
        let before = self.before.counts.share()?;
        let after = self.after.counts.share()?;
        (before != after).then_some(after < before)
    }

    /// Returns the cause whose fraction of the profile's work grew the most.
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

/// Rounds values to integers that sum to `sum` by the largest-remainder method.
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

/// Finds the version at which the share of a profile changed, or the time if it changed while a
/// version was in force. `rows` are in order of profile and time.
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

/// A split of rows into two groups at a key.
struct Split {
    /// First key of the second group.
    at: u64,
    /// Sum of squares between the shares of the groups.
    score: f64,
}

/// Returns the split by `key` with the highest score whose share changes in the given direction.
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

/// Returns the sum of squares between the shares of `before` and of the rest of `all`; zero if the
/// share did not change in the given direction.
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
