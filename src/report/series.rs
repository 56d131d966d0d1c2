//! Shares over time, for plots.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Millis,
        ProfileName, //
    },
    ledger::outcomes::Row,
    report::{
        attribution::Contribution, //
        sli::Counts,
    }, //
};

/// Most profiles that get a series of their own.
pub const MAX_PROFILES: usize = 4;

/// The share in one bucket of time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Point {
    /// Start of the bucket, since 1970.
    pub start: Millis,
    /// Pieces of work that count.
    pub counted: u64,
    /// The share of good work in parts per million.
    pub share: u64,
}

/// Shares over time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// The profile; `None` for all work.
    pub profile: Option<ProfileName>,
    /// The buckets that had work, in order.
    pub points: Vec<Point>,
}

/// The series of all work, and of the profiles with the largest parts.
pub fn build<'a>(
    rows: impl Iterator<Item = &'a Row> + Clone,
    contributions: &[Contribution],
) -> Vec<Series> {
    let mut found = vec![Series {
        profile: None,
        points: points(rows.clone()),
    }];
    for contribution in contributions.iter().take(MAX_PROFILES) {
        let own = rows
            .clone()
            .filter(|r| r.tally.profile == contribution.profile);
        found.push(Series {
            profile: Some(contribution.profile.clone()),
            points: points(own),
        });
    }
    found
}

fn points<'a>(rows: impl Iterator<Item = &'a Row>) -> Vec<Point> {
    let mut sums: Vec<(Millis, Counts)> = Vec::new();
    for row in rows {
        if sums.last().is_none_or(|(start, _)| *start != row.start) {
            sums.push((row.start, Counts::default()));
        }
        if let Some((_, counts)) = sums.last_mut() {
            counts.add(&row.tally);
        }
    }
    sums.into_iter().filter_map(point).collect()
}

fn point((start, counts): (Millis, Counts)) -> Option<Point> {
    Some(Point {
        start,
        counted: counts.counted,
        share: counts.share()?,
    })
}
