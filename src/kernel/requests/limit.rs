//! A concurrency limit that follows the share of failures.

use crate::ids::Millis;

/// Outcomes after which the limit is looked at.
const WINDOW: u32 = 64;

/// Time after which the limit is looked at with fewer outcomes, in milliseconds.
const SPAN: u64 = 1_000;

/// Fewest outcomes that say anything.
const FEWEST: u32 = 8;

/// The share of failures above which the limit falls.
const FAILING: f64 = 0.5;

/// The factor by which it falls.
const FALL: f64 = 0.7;

/// The factor by which it rises.
const RISE: f64 = 1.2;

/// The lowest limit.
const LOWEST: f64 = 4.0;

/// Requests of one profile that may be in progress.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    most: f64,
    now: f64,
    good: u32,
    bad: u32,
    since: Millis,
}

impl Limit {
    /// A limit that begins at its upper bound.
    #[must_use]
    pub fn new(most: u32) -> Self {
        Self {
            most: f64::from(most),
            now: f64::from(most),
            good: 0,
            bad: 0,
            since: Millis(0),
        }
    }

    /// Changes the upper bound.
    pub fn set_most(&mut self, most: u32) {
        let most = f64::from(most);
        if most > self.most && self.now >= self.most {
            self.now = most;
        }
        self.most = most;
        self.now = self.now.min(most);
    }

    /// The limit in force.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.now as u32
    }

    /// Learns an outcome.
    pub fn learn(&mut self, now: Millis, good: bool) {
        if good {
            self.good += 1;
        } else {
            self.bad += 1;
        }
        let seen = self.good + self.bad;
        let late = now.since(self.since) >= SPAN && seen >= FEWEST;
        if seen >= WINDOW || late {
            self.adapt(now);
        }
    }

    fn adapt(&mut self, now: Millis) {
        let seen = f64::from(self.good + self.bad);
        let failing = f64::from(self.bad) / seen > FAILING;
        let factor = if failing { FALL } else { RISE };
        let lowest = LOWEST.min(self.most);
        self.now = (self.now * factor).clamp(lowest, self.most);
        self.good = 0;
        self.bad = 0;
        self.since = now;
    }
}
