//! Renders the report as text for a terminal.

use crate::report::{
    Report,
    attribution::{
        Comparison,
        Contribution, //
        Origin,
    },
    burn::{
        Burn,
        RULES, //
    },
    sli::{
        self,
        Counts, //
    },
    text, //
};

/// Renders the whole report.
#[must_use]
pub fn render(report: &Report) -> String {
    let sections = [
        headline(report),
        profile_table(&report.profiles),
        contribution_table(&report.comparison),
        burn_table(&report.burn),
        cause_table(&report.profiles),
    ];
    sections.join("\n")
}

/// Describes the indicator and its change in one or two sentences; the HTML page shows it too.
#[must_use]
pub fn headline(report: &Report) -> String {
    let counts = &report.counts;
    let Some(share) = counts.share() else {
        return format!(
            "no work ended in the last {}\n",
            text::duration(report.span)
        );
    };
    let mut headline = format!(
        "{} of {} pieces of work were placed, ran once and finished in time ({}, to {})\n",
        text::percent(Some(share)),
        text::count(counts.counted),
        text::duration(report.span),
        text::time(report.at),
    );
    if report.comparison.change.is_some() {
        headline.push_str(&format!(
            "the span before: {}; moved by {} percentage points\n",
            text::percent(report.comparison.before.share()),
            text::points(report.comparison.change),
        ));
    }
    headline
}

fn profile_table(profiles: &[sli::Profile]) -> String {
    let header = [
        "PROFILE", "VERSION", "WORK", "GOOD", "PLACED", "ONCE", "IN TIME", "WAIT ms",
    ];
    let mut rows = Vec::new();
    for profile in profiles {
        let name = profile.profile.to_string();
        let all = match profile.versions.as_slice() {
            [only] => only.version.to_string(),
            _ => "all".to_owned(),
        };
        rows.push(counts_row(name, all, &profile.counts));
        if profile.versions.len() < 2 {
            continue;
        }
        for version in &profile.versions {
            let number = version.version.to_string();
            rows.push(counts_row(String::new(), number, &version.counts));
        }
    }
    text::columns(&header, &rows, header.len())
}

fn counts_row(name: String, version: String, counts: &Counts) -> Vec<String> {
    let share = |part| text::percent(sli::share(part, counts.counted));
    let wait = counts.mean_wait().map(text::count);
    vec![
        name,
        version,
        text::count(counts.counted),
        share(counts.good),
        share(counts.placed),
        share(counts.once),
        share(counts.timely),
        wait.unwrap_or_else(|| text::NONE.to_owned()),
    ]
}

fn contribution_table(comparison: &Comparison) -> String {
    let Some(change) = comparison.change else {
        return "what moved the line: one of the two spans has no work\n".to_owned();
    };
    let header = [
        "MOVED THE LINE",
        "BY",
        "QUALITY",
        "VOLUME",
        "BEFORE",
        "AFTER",
        "FROM",
    ];
    let mut rows: Vec<_> = comparison
        .contributions
        .iter()
        .map(contribution_row)
        .collect();
    rows.push(vec![
        "sum".to_owned(),
        text::points(Some(change)),
        text::points(Some(
            comparison.contributions.iter().map(|p| p.quality).sum(),
        )),
        text::points(Some(
            comparison.contributions.iter().map(|p| p.volume).sum(),
        )),
        text::percent(comparison.before.share()),
        text::percent(comparison.after.share()),
        String::new(),
    ]);
    text::columns(&header, &rows, header.len() - 1)
}

fn contribution_row(contribution: &Contribution) -> Vec<String> {
    vec![
        contribution.profile.to_string(),
        text::points(Some(contribution.total())),
        text::points(Some(contribution.quality)),
        text::points(Some(contribution.volume)),
        text::percent(contribution.before.share()),
        text::percent(contribution.after.share()),
        origin(contribution),
    ]
}

/// Describes where the change of a share began and its cause; empty if the origin is not known.
#[must_use]
pub fn origin(contribution: &Contribution) -> String {
    let Some(origin) = contribution.origin else {
        return String::new();
    };
    let cause = contribution.cause.map(text::cause);
    let cause = cause.map_or_else(String::new, |c| format!(": {c}"));
    format!("{}{cause}", origin_text(&origin))
}

fn origin_text(origin: &Origin) -> String {
    let since = text::time(origin.since);
    match origin.published {
        true => format!("version {} on, {since}", origin.version),
        false => format!("{since}, under version {}", origin.version),
    }
}

fn burn_table(burns: &[Burn]) -> String {
    let mut header = vec!["BUDGET BURN".to_owned(), "OBJECTIVE".to_owned()];
    for rule in &RULES[..2] {
        header.extend([text::duration(rule.short), text::duration(rule.long)]);
    }
    header.extend(["LEFT".to_owned(), "ALERTS".to_owned()]);
    let header: Vec<_> = header.iter().map(String::as_str).collect();
    let rows: Vec<_> = burns.iter().map(burn_row).collect();
    text::columns(&header, &rows, header.len() - 1)
}

fn burn_row(burn: &Burn) -> Vec<String> {
    let rate = |span| {
        let window = burn.windows.iter().find(|w| w.span == span);
        text::factor(window.and_then(|w| w.rate))
    };
    let target = burn.target.map(|t| format!("{:.4}%", t * 100.0));
    let mut row = vec![
        burn.profile.to_string(),
        target.unwrap_or_else(|| text::NONE.to_owned()),
    ];
    for rule in &RULES[..2] {
        row.extend([rate(rule.short), rate(rule.long)]);
    }
    row.push(budget_left(burn.left));
    row.push(alerts(burn));
    row
}

/// Formats the fraction of the error budget that is left, in percent.
#[must_use]
pub fn budget_left(left: Option<f64>) -> String {
    left.map_or_else(|| text::NONE.to_owned(), |l| format!("{:.1}%", l * 100.0))
}

/// Lists the alerts that are firing.
#[must_use]
pub fn alerts(burn: &Burn) -> String {
    let alerts = burn.alerts.iter().map(|a| {
        let (short, long) = (text::duration(a.short), text::duration(a.long));
        format!("{} ({short}/{long})", text::severity(a.severity))
    });
    alerts.collect::<Vec<_>>().join(", ")
}

fn cause_table(profiles: &[sli::Profile]) -> String {
    let mut rows = Vec::new();
    for profile in profiles {
        for entry in &profile.causes {
            rows.push(vec![
                profile.profile.to_string(),
                text::count(entry.count),
                text::cause(entry.cause).to_owned(),
            ]);
        }
    }
    text::columns(&["NOT GOOD", "WORK", "CAUSE"], &rows, 2)
}
