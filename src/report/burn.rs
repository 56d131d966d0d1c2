//! Error-budget burn by profile, over pairs of a short and a long window.
//!
//! The budget is the share of work that the objective allows to be bad. A burn rate of 1 uses it up
//! just at the end of the objective's period. An alert fires when both windows of a pair burn faster
//! than the pair's rate: the long one shows that it matters, the short one that it still goes on.

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

/// The highest burn rate that is told. Stands for any bad work against an objective of 1.
pub const MAX_RATE: f64 = 1_000.0;

/// Rates are told in multiples of one over this.
const RATE_SCALE: f64 = 10_000.0;

/// How urgent an alert is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Somebody must look now.
    Page,
    /// Somebody must look within a day or so.
    Ticket,
}

/// A pair of windows and the rate at which it fires.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rule {
    /// The short window, in milliseconds.
    pub short: u64,
    /// The long window, in milliseconds.
    pub long: u64,
    /// The burn rate above which both must be.
    pub rate: f64,
    /// How urgent it is.
    pub severity: Severity,
}

/// The pairs, the most urgent first. The rates are for a budget of 30 days.
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

/// The period of the budget, in milliseconds.
pub const BUDGET_PERIOD_MS: u64 = 30 * DAY;

/// Burn over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Its length, in milliseconds.
    pub span: u64,
    /// Pieces of work that count.
    pub counted: u64,
    /// Those that were not good.
    pub bad: u64,
    /// The burn rate; `None` without work or objective.
    pub rate: Option<f64>,
}

/// An alert that fires.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Alert {
    /// How urgent it is.
    pub severity: Severity,
    /// The short window, in milliseconds.
    pub short: u64,
    /// The long window, in milliseconds.
    pub long: u64,
    /// The rate that both windows exceed.
    pub rate: f64,
}

/// How a profile uses up its error budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Burn {
    /// The profile.
    pub profile: ProfileName,
    /// The objective's share in its latest version, 0 to 1; `None` when it is not known.
    pub target: Option<f64>,
    /// The windows of all pairs, the shortest first.
    pub windows: Vec<Window>,
    /// What fires, the most urgent first.
    pub alerts: Vec<Alert>,
    /// The part of the period's budget that is left, below zero when it is overspent; `None`
    /// without work or objective.
    pub left: Option<f64>,
}

/// The burn of every profile that had work in the period, the fastest first.
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

/// The highest rate that both windows of some pair reach.
fn highest_rate(burn: &Burn) -> f64 {
    let sustained = |rule: &Rule| burn.rate(rule.short).min(burn.rate(rule.long));
    RULES.iter().map(sustained).fold(0.0, f64::max)
}

impl Burn {
    /// The rate over a window, zero when it is not known.
    #[must_use]
    pub fn rate(&self, span: u64) -> f64 {
        let window = self.windows.iter().find(|w| w.span == span);
        window.and_then(|w| w.rate).unwrap_or(0.0)
    }
}

/// The burn of the one profile that `rows` belong to; they are not empty.
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

/// The windows of all pairs, each once, the shortest first.
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

/// Rounds to the digits that rates are told with, so that they read back unchanged.
fn round_rate(rate: f64) -> f64 {
    (rate * RATE_SCALE).round() / RATE_SCALE
}

/// What was bad in a span, and what was allowed to be.
#[derive(Debug, Default)]
struct BudgetUse {
    counts: Counts,
    /// Pieces of work that may be bad; `None` when some version's promise is not known.
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
