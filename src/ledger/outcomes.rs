//! Outcomes of work, aggregated over all instances and retained for a quarter.
//!
//! Time is divided into buckets that widen with age, so that the state is bounded: see [`TIERS`].
//! Every reader of the log computes the same sums, since only times of the log decide when buckets
//! are merged.

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Millis,
        ProfileName, //
    },
    kernel::tally,
    ledger::record::{
        self,
        Author,
        Cause, //
    }, //
};

/// One minute, in milliseconds.
pub const MINUTE: u64 = 60_000;

/// One hour, in milliseconds.
pub const HOUR: u64 = 60 * MINUTE;

/// One day, in milliseconds.
pub const DAY: u64 = 24 * HOUR;

/// Retention of an author's last sequence number after its last record, in milliseconds of the
/// log's clock. The author's first record after that is skipped, as it may be a duplicate.
pub const AUTHOR_RETENTION_MS: u64 = DAY;

/// Maximum delay between the end of a record's interval and its append, in milliseconds. A record
/// that seems older comes from a wrong clock and counts at the log's time.
pub const MAX_DELAY_MS: u64 = DAY;

/// Resolution of the buckets up to some age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tier {
    /// Width of a bucket, in milliseconds. A multiple of the previous tier's width.
    pub width: u64,
    /// Age up to which buckets of this width are retained, in milliseconds.
    pub retention: u64,
}

/// The tiers, from the finest. Buckets older than the last tier are dropped.
pub const TIERS: [Tier; 4] = [
    Tier {
        width: MINUTE,
        retention: 2 * HOUR,
    },
    Tier {
        width: 10 * MINUTE,
        retention: 12 * HOUR,
    },
    Tier {
        width: HOUR,
        retention: 4 * DAY,
    },
    Tier {
        width: DAY,
        retention: 92 * DAY,
    },
];

/// Interval between merges of old buckets, in milliseconds of the log's clock: the first tier ends
/// at a multiple of the second tier's width, and later tiers at multiples of that.
const MERGE_INTERVAL_MS: u64 = TIERS[1].width;

/// Sums of one time interval.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Bucket {
    /// Start of the interval, in milliseconds since 1970.
    start: Millis,
    /// Width of the interval, in milliseconds.
    width: u64,
    /// The sums, sorted by profile and version.
    rows: Vec<record::Tally>,
}

/// The last record of an author.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AuthorState {
    /// The author.
    author: Author,
    /// Highest sequence number of the author's records.
    seq: u64,
    /// Time of the author's last record, on the log's clock.
    at: Millis,
}

/// Sums for one profile version in one bucket of time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Row {
    /// Start of the bucket, in milliseconds since 1970.
    pub start: Millis,
    /// Width of the bucket, in milliseconds.
    pub width: u64,
    /// The sums.
    pub tally: record::Tally,
}

/// Whether a record was counted, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Admission {
    /// The record was counted.
    Counted,
    /// The record was counted before.
    Duplicate,
    /// The author is unknown and the record is not its first, so it may have been counted before.
    UnknownAuthor,
    /// Good and bad work of a row do not add up to its total.
    Inconsistent,
}

/// Aggregated outcomes of all instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// The latest time of the log.
    newest: Millis,
    /// The last records of the authors, sorted by author.
    seen: Vec<AuthorState>,
    /// The buckets, sorted by start; they do not overlap.
    buckets: Vec<Bucket>,
}

impl Outcomes {
    /// Adds a record that the log appended at `at`, unless it may have been counted before.
    pub fn apply(
        &mut self,
        author: &Author,
        record: &record::OutcomeCounts,
        at: Millis,
    ) -> Admission {
        self.advance(at);
        if !record.rows.iter().all(record::Tally::is_consistent) {
            return Admission::Inconsistent;
        }
        let admission = self.admit(author, record.seq);
        if admission != Admission::Counted {
            return admission;
        }
        let time = event_time(record.at, at);
        let bucket = self.bucket(time);
        for row in &record.rows {
            record::Tally::entry(bucket, &row.profile, row.version).add(row);
        }
        Admission::Counted
    }

    /// Counts one job or request that ended at `at`, on the platform's clock.
    pub fn count(&mut self, at: Millis, work: &tally::Work) {
        self.advance(at);
        let bucket = self.bucket(at);
        record::Tally::entry(bucket, &work.profile, work.version).count(work);
    }

    /// The sums of every bucket that ends after `since`, by time, profile and version.
    pub fn rows(&self, since: Millis) -> impl Iterator<Item = Row> + '_ {
        let from = self
            .buckets
            .partition_point(|b| b.start.plus(b.width) <= since);
        let kept = self.buckets.get(from..).unwrap_or_default();
        kept.iter().flat_map(|bucket| {
            bucket.rows.iter().map(|tally| Row {
                start: bucket.start,
                width: bucket.width,
                tally: tally.clone(),
            })
        })
    }

    /// The latest time of the log, on the platform's clock in milliseconds since 1970.
    #[must_use]
    pub fn newest(&self) -> Millis {
        self.newest
    }

    /// Stores the sequence number of an author's record and returns whether the record counts.
    fn admit(&mut self, author: &Author, seq: u64) -> Admission {
        let at = self.newest;
        match self.seen.binary_search_by(|s| s.author.cmp(author)) {
            Ok(found) => self.seen[found].admit(seq, at),
            Err(place) => {
                let author = author.clone();
                self.seen.insert(place, AuthorState { author, seq, at });
                match seq {
                    1 => Admission::Counted,
                    _ => Admission::UnknownAuthor,
                }
            }
        }
    }

    /// Advances the clock, and merges or drops old buckets.
    fn advance(&mut self, at: Millis) {
        let before = self.newest.0 / MERGE_INTERVAL_MS;
        self.newest = self.newest.max(at);
        if self.newest.0 / MERGE_INTERVAL_MS == before {
            return;
        }
        let newest = self.newest;
        self.seen
            .retain(|s| newest.since(s.at) <= AUTHOR_RETENTION_MS);
        self.merge_old();
    }

    fn merge_old(&mut self) {
        let old = std::mem::take(&mut self.buckets);
        for bucket in old {
            if self.newest.since(bucket.start.plus(bucket.width)) > max_age() {
                continue;
            }
            let rows = self.bucket(bucket.start);
            merge(rows, bucket.rows);
        }
    }

    /// The rows of the bucket for a time.
    fn bucket(&mut self, time: Millis) -> &mut Vec<record::Tally> {
        let width = bucket_width(self.newest, time);
        let start = Millis(time.0 - time.0 % width);
        let at = match self.buckets.binary_search_by_key(&start, |b| b.start) {
            Ok(at) => at,
            Err(at) => {
                let rows = Vec::new();
                self.buckets.insert(at, Bucket { start, width, rows });
                at
            }
        };
        &mut self.buckets[at].rows
    }
}

impl AuthorState {
    fn admit(&mut self, seq: u64, at: Millis) -> Admission {
        self.at = at;
        if seq <= self.seq {
            return Admission::Duplicate;
        }
        self.seq = seq;
        Admission::Counted
    }
}

/// The age at which buckets are dropped, in milliseconds.
fn max_age() -> u64 {
    TIERS.iter().map(|t| t.retention).max().unwrap_or(0)
}

/// The width of the bucket for `time` when the log has reached `newest`, in milliseconds.
///
/// A tier ends at a bucket boundary of the next tier, so that a wide bucket is merged as a whole.
fn bucket_width(newest: Millis, time: Millis) -> u64 {
    let mut width = TIERS[0].width;
    for pair in TIERS.windows(2) {
        let limit = newest.0.saturating_sub(pair[0].retention);
        if time.0 >= limit - limit % pair[1].width {
            return width;
        }
        width = pair[1].width;
    }
    width
}

/// The time at which a record counts: its own time, or the log's time if its own is in the future
/// or more than [`MAX_DELAY_MS`] old.
fn event_time(own: Millis, at: Millis) -> Millis {
    if own > at || at.since(own) > MAX_DELAY_MS {
        return at;
    }
    own
}

fn merge(into: &mut Vec<record::Tally>, rows: Vec<record::Tally>) {
    if into.is_empty() {
        *into = rows;
        return;
    }
    for row in rows {
        record::Tally::entry(into, &row.profile, row.version).add(&row);
    }
}

impl record::Tally {
    /// The tally of a profile version in a sorted list; an empty one is inserted when missing.
    pub fn entry<'a>(rows: &'a mut Vec<Self>, profile: &ProfileName, version: u32) -> &'a mut Self {
        let found = rows.binary_search_by(|r| r.profile.cmp(profile).then(r.version.cmp(&version)));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                rows.insert(at, Self::empty(profile.clone(), version));
                at
            }
        };
        &mut rows[at]
    }

    /// Creates a tally without counts.
    #[must_use]
    pub fn empty(profile: ProfileName, version: u32) -> Self {
        Self {
            profile,
            version,
            total: 0,
            good: 0,
            bad: Vec::new(),
            waited: 0,
        }
    }

    /// Adds `count` to the bad work with a cause. Does not change the total.
    pub fn add_cause(&mut self, cause: Cause, count: u64) {
        match self.bad.binary_search_by_key(&cause, |(c, _)| *c) {
            Ok(at) => self.bad[at].1 = self.bad[at].1.saturating_add(count),
            Err(at) => self.bad.insert(at, (cause, count)),
        }
    }

    /// The amount of bad work with a cause.
    #[must_use]
    pub fn cause_count(&self, cause: Cause) -> u64 {
        match self.bad.binary_search_by_key(&cause, |(c, _)| *c) {
            Ok(at) => self.bad[at].1,
            Err(_) => 0,
        }
    }

    /// Whether good work and bad work of all causes add up to the total.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let bad = self.bad.iter().map(|(_, count)| u128::from(*count));
        let sum = u128::from(self.good) + bad.sum::<u128>();
        sum == u128::from(self.total)
    }

    /// Adds the counts of another tally, regardless of its profile and version.
    pub fn add(&mut self, other: &Self) {
        self.total = self.total.saturating_add(other.total);
        self.good = self.good.saturating_add(other.good);
        self.waited = self.waited.saturating_add(other.waited);
        for (cause, count) in &other.bad {
            self.add_cause(*cause, *count);
        }
    }
}
