//! Formats each figure of a measure as one line of text and one JSON object.

use std::fmt;

use serde::Serialize;

/// Verdict on the target of a figure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The target is met.
    Held,
    /// The target is missed, or the figure is not a number.
    Short,
}

/// Target of a figure.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Upper bound.
    Most(f64),
    /// Lower bound.
    Least(f64),
}

/// One figure of the scheduler next to the same figure of a baseline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Name of the measure in upper case, with the name of the figure after a dot.
    pub measure: &'static str,
    /// Description of the quantity and its unit.
    pub unit: &'static str,
    /// Figure of this scheduler.
    pub ours: f64,
    /// Figure of the baseline.
    pub baseline: f64,
    /// Name of the baseline.
    pub against: String,
    /// Value that is compared with the target.
    pub judged: f64,
    /// Target for `judged`.
    pub target: Target,
}

impl Line {
    /// Returns the scheduler's figure divided by the baseline's.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        self.ours / self.baseline
    }

    /// Returns whether the target is met.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let met = match self.target {
            Target::Most(most) => self.judged <= most,
            Target::Least(least) => self.judged >= least,
        };
        if met { Verdict::Held } else { Verdict::Short }
    }

    /// Returns the line as JSON, with its ratio and verdict.
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
