//! Error-budget burn rates by profile, with multi-window alert rules.
//!
//! The error budget is the share of work that the objective allows to be bad. A burn rate of 1 uses
//! up the budget exactly at the end of the objective's period. An alert fires when the burn rates
//! of both windows of a rule exceed the rule's rate: the long window shows that the loss is
//! significant, the short window that it is still going on.

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
        outcomes::{
            DAY,
            HOUR,
            MINUTE,
            Row, //
        },
        record::Tally, //
    },
    report::{
        Input,
        sli::Counts, //
        sort_by_profile,
    }, //
};

/// Upper limit of a reported burn rate. Any bad work under an objective of 1 is reported as this
/// rate.
pub const MAX_RATE: f64 = 1_000.0;

/// Reported rates are rounded to multiples of one over this.
const RATE_SCALE: f64 = 10_000.0;

/// Urgency of an alert.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// An operator must respond immediately.
    Page,
    /// An operator must respond within about a day.
    Ticket,
}

/// An alert rule: two windows and the burn rate above which the alert fires.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rule {
    /// Length of the short window, in milliseconds.
    pub short: u64,
    /// Length of the long window, in milliseconds.
    pub long: u64,
    /// Burn rate that both windows must exceed.
    pub rate: f64,
    /// Urgency of the alert.
    pub severity: Severity,
}

/// Alert rules, the most urgent first. The rates are for a budget period of 30 days.
pub const RULES: [Rule; 4] = [
    Rule {
        short: 5 * MINUTE,
        long: HOUR,
        rate: 14.4,
        severity: Severity::Page,
    },
    Rule {
        short: 30 * MINUTE,
        long: 6 * HOUR,
        rate: 6.0,
        severity: Severity::Page,
    },
    Rule {
        short: 2 * HOUR,
        long: DAY,
        rate: 3.0,
        severity: Severity::Ticket,
    },
    Rule {
        short: 6 * HOUR,
        long: 3 * DAY,
        rate: 1.0,
        severity: Severity::Ticket,
    },
];

/// Period of the error budget, in milliseconds.
pub const BUDGET_PERIOD_MS: u64 = 30 * DAY;

/// Burn rate over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Length of the window, in milliseconds.
    pub span: u64,
    /// Requests and jobs that count towards the indicator.
    pub counted: u64,
    /// Counted work that was not good.
    pub bad: u64,
    /// Burn rate; `None` without work or objective.
    pub rate: Option<f64>,
}

/// An alert that is firing.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Alert {
    /// Urgency of the alert.
    pub severity: Severity,
    /// Length of the short window, in milliseconds.
    pub short: u64,
    /// Length of the long window, in milliseconds.
    pub long: u64,
    /// Burn rate that both windows exceed.
    pub rate: f64,
}

/// Error-budget burn of a profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// Name of the profile.
    pub profile: ProfileName,
    /// Share of good work in the objective of the latest version, 0 to 1; `None` if it is not
    /// known.
    pub target: Option<f64>,
    /// Windows of all rules, the shortest first.
    pub windows: Vec<Window>,
    /// Alerts that are firing, the most urgent first.
    pub alerts: Vec<Alert>,
    /// Fraction of the period's budget that is left, below zero if the budget is exceeded; `None`
    /// without work or objective.
    pub left: Option<f64>,
}

/// Returns the burn of every profile with work in the period, the highest burn rate first.
#[must_use]
pub fn profiles(input: &Input) -> Vec<Burn> {
    let rows = sort_by_profile(input.rows.iter());
    let same = |a: &&Row, b: &&Row| a.tally.profile == b.tally.profile;
    let mut found: Vec<_> = rows
        .chunk_by(same)
        .map(|r| profile_burn(input, r))
        .collect();
    found.sort_by(|a, b| {
        let faster = highest_rate(b).total_cmp(&highest_rate(a));
        faster.then_with(|| a.profile.cmp(&b.profile))
    });
    found
}

/// Returns the highest rate that both windows of one rule reach.
fn highest_rate(burn: &Burn) -> f64 {
    let sustained = |rule: &Rule| burn.rate(rule.short).min(burn.rate(rule.long));
    RULES.iter().map(sustained).fold(0.0, f64::max)
}

impl Burn {
    /// Returns the burn rate over the window of a length in milliseconds, or zero if it is not
    /// known.
    #[must_use]
    pub fn rate(&self, span: u64) -> f64 {
        let window = self.windows.iter().find(|w| w.span == span);
        window.and_then(|w| w.rate).unwrap_or(0.0)
    }
}

/// Computes the burn of one profile from its rows, which must not be empty.
fn profile_burn(input: &Input, rows: &[&Row]) -> Burn {
    let name = &rows[0].tally.profile;
    let windows = window_spans().into_iter().map(|s| window(input, rows, s));
    let mut burn = Burn {
        profile: name.clone(),
        target: input.target(name, u32::MAX),
        windows: windows.collect(),
        alerts: Vec::new(),
        left: BudgetUse::measure(input, rows, BUDGET_PERIOD_MS)
            .rate()
            .map(|r| round_rate(1.0 - r)),
    };
    burn.alerts = alerts(&burn);
    burn
}

/// Returns the distinct window lengths of all rules in milliseconds, the shortest first.
fn window_spans() -> Vec<u64> {
    let mut spans: Vec<_> = RULES.iter().flat_map(|p| [p.short, p.long]).collect();
    spans.sort_unstable();
    spans.dedup();
    spans
}

fn window(input: &Input, rows: &[&Row], span: u64) -> Window {
    let used = BudgetUse::measure(input, rows, span);
    Window {
        span,
        counted: used.counts.counted,
        bad: used.counts.bad(),
        rate: used.rate(),
    }
}

fn alerts(burn: &Burn) -> Vec<Alert> {
    let fires = |p: &&Rule| burn.rate(p.short) > p.rate && burn.rate(p.long) > p.rate;
    let alert = |p: &Rule| Alert {
        severity: p.severity,
        short: p.short,
        long: p.long,
        rate: p.rate,
    };
    RULES.iter().filter(fires).map(alert).collect()
}

/// Rounds a rate to the reported precision, so that it survives a round trip through JSON
/// unchanged.
fn round_rate(rate: f64) -> f64 {
    (rate * RATE_SCALE).round() / RATE_SCALE
}

/// Bad work in a span and the bad work that the objective allows.
#[derive(Debug, Default)]
struct BudgetUse {
    counts: Counts,
    /// Number of requests and jobs that may be bad; `None` if the objective of a version is not
    /// known.
    allowed: Option<f64>,
}

impl BudgetUse {
    fn measure(input: &Input, rows: &[&Row], span: u64) -> Self {
        let from = Millis(input.now.0.saturating_sub(span));
        let mut used = Self {
            counts: Counts::default(),
            allowed: Some(0.0),
        };
        let inside = |row: &&&Row| row.start >= from && row.start <= input.now;
        for row in rows.iter().filter(inside) {
            let Tally {
                profile, version, ..
            } = &row.tally;
            used.add(&row.tally, input.target(profile, *version));
        }
        used
    }

    fn add(&mut self, tally: &Tally, target: Option<f64>) {
        let before = self.counts.counted;
        self.counts.add(tally);
        let counted = (self.counts.counted - before) as f64;
        let added = target.map(|share| (1.0 - share).max(0.0) * counted);
        self.allowed = self.allowed.zip(added).map(|(a, b)| a + b);
    }

    fn rate(&self) -> Option<f64> {
        let allowed = self.allowed?;
        match (self.counts.counted, self.counts.bad()) {
            (0, _) => None,
            (_, 0) => Some(0.0),
            (_, bad) => Some(round_rate((bad as f64 / allowed).min(MAX_RATE))),
        }
    }
}
