//! Time series of the share of good work, for plots.

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

/// Maximum number of profiles with a series of their own.
pub const MAX_PROFILES: usize = 4;

/// Share of good work in one time bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Point {
    /// Start of the bucket, in milliseconds since 1970.
    pub start: Millis,
    /// Requests and jobs that count towards the indicator.
    pub counted: u64,
    /// Share of good work, in parts per million.
    pub share: u64,
}

/// Share of good work over time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Name of the profile; `None` for all work.
    pub profile: Option<ProfileName>,
    /// Buckets with work, in order of time.
    pub points: Vec<Point>,
}

/// Builds the series of all work and of the profiles with the largest contributions.
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
