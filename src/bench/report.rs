//! One line and one JSON object for each measure.

use std::fmt;

use serde::Serialize;

/// Whether a target is met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The target is met.
    Held,
    /// It is not.
    Short,
}

/// A bound on a figure.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// At most that.
    Most(f64),
    /// At least that.
    Least(f64),
}

/// One measured figure beside a baseline's.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// The measure and the figure, in upper case.
    pub measure: &'static str,
    /// What is counted, and its unit.
    pub unit: &'static str,
    /// Ours.
    pub ours: f64,
    /// The baseline's.
    pub baseline: f64,
    /// Which baseline.
    pub against: String,
    /// The figure that the target is about, and the target.
    pub judged: f64,
    /// The target.
    pub target: Target,
}

impl Line {
    /// Ours as a share of the baseline's.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        self.ours / self.baseline
    }

    /// Whether the target is met.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let met = match self.target {
            Target::Most(most) => self.judged <= most,
            Target::Least(least) => self.judged >= least,
        };
        if met { Verdict::Held } else { Verdict::Short }
    }

    /// The line with its ratio and verdict, as JSON.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        let mut value = serde_json::json!(self);
        value["ratio"] = serde_json::json!(self.ratio());
        value["verdict"] = serde_json::json!(self.verdict());
        value
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sign, bound) = match self.target {
            Target::Most(bound) => ("<=", bound),
            Target::Least(bound) => (">=", bound),
        };
        let verdict = match self.verdict() {
            Verdict::Held => "held",
            Verdict::Short => "short",
        };
        write!(
            f,
            "{} ours={:.4} baseline={:.4} ratio={:.4} target={sign}{bound} {verdict} ({}; against {})",
            self.measure,
            self.ours,
            self.baseline,
            self.ratio(),
            self.unit,
            self.against,
        )
    }
}
