//! The report as text for a terminal.

use crate::report::{
    Report,
    attribution::{
        Moved,
        Origin,
        Part, //
    },
    burn::{
        Burn,
        PAIRS, //
    },
    sli::{
        self,
        Line, //
    },
    text, //
};

/// The whole report.
#[must_use]
pub fn render(report: &Report) -> String {
    let sections = [
        headline(report),
        profiles(&report.profiles),
        moved(&report.moved),
        burn(&report.burn),
        causes(&report.profiles),
    ];
    sections.join("\n")
}

/// The one line, in words.
#[must_use]
pub fn headline(report: &Report) -> String {
    let line = &report.line;
    let Some(share) = line.share() else {
        return format!("no work ended in the last {}\n", text::span(report.span));
    };
    let mut words = format!(
        "{} of {} pieces of work were placed, ran once and finished in time ({}, to {})\n",
        text::percent(Some(share)),
        text::count(line.counted),
        text::span(report.span),
        text::time(report.at),
    );
    if report.moved.change.is_some() {
        words.push_str(&format!(
            "the span before: {}; moved by {} percentage points\n",
            text::percent(report.moved.before.share()),
            text::points(report.moved.change),
        ));
    }
    words
}

fn profiles(profiles: &[sli::Profile]) -> String {
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
        rows.push(line_row(name, all, &profile.line));
        if profile.versions.len() < 2 {
            continue;
        }
        for version in &profile.versions {
            let number = version.version.to_string();
            rows.push(line_row(String::new(), number, &version.line));
        }
    }
    text::columns(&header, &rows, header.len())
}

fn line_row(name: String, version: String, line: &Line) -> Vec<String> {
    let share = |part| text::percent(sli::share(part, line.counted));
    let wait = line.mean_wait().map(text::count);
    vec![
        name,
        version,
        text::count(line.counted),
        share(line.good),
        share(line.placed),
        share(line.once),
        share(line.timely),
        wait.unwrap_or_else(|| text::NONE.to_owned()),
    ]
}

fn moved(moved: &Moved) -> String {
    let Some(change) = moved.change else {
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
    let mut rows: Vec<_> = moved.parts.iter().map(part_row).collect();
    rows.push(vec![
        "sum".to_owned(),
        text::points(Some(change)),
        text::points(Some(moved.parts.iter().map(|p| p.quality).sum())),
        text::points(Some(moved.parts.iter().map(|p| p.volume).sum())),
        text::percent(moved.before.share()),
        text::percent(moved.after.share()),
        String::new(),
    ]);
    text::columns(&header, &rows, header.len() - 1)
}

fn part_row(part: &Part) -> Vec<String> {
    vec![
        part.profile.to_string(),
        text::points(Some(part.total())),
        text::points(Some(part.quality)),
        text::points(Some(part.volume)),
        text::percent(part.before.share()),
        text::percent(part.after.share()),
        from(part),
    ]
}

/// Where a change began, in words; empty when that is not known.
#[must_use]
pub fn from(part: &Part) -> String {
    let Some(origin) = part.origin else {
        return String::new();
    };
    let cause = part.cause.map(text::cause);
    let cause = cause.map_or_else(String::new, |c| format!(": {c}"));
    format!("{}{cause}", began(&origin))
}

fn began(origin: &Origin) -> String {
    let since = text::time(origin.since);
    match origin.published {
        true => format!("version {} on, {since}", origin.version),
        false => format!("{since}, under version {}", origin.version),
    }
}

fn burn(burn: &[Burn]) -> String {
    let mut header = vec!["BUDGET BURN".to_owned(), "OBJECTIVE".to_owned()];
    for pair in &PAIRS[..2] {
        header.extend([text::span(pair.short), text::span(pair.long)]);
    }
    header.extend(["LEFT".to_owned(), "ALERTS".to_owned()]);
    let header: Vec<_> = header.iter().map(String::as_str).collect();
    let rows: Vec<_> = burn.iter().map(burn_row).collect();
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
    for pair in &PAIRS[..2] {
        row.extend([rate(pair.short), rate(pair.long)]);
    }
    row.push(left(burn.left));
    row.push(alerts(burn));
    row
}

/// The part of the budget that is left, in percent.
#[must_use]
pub fn left(left: Option<f64>) -> String {
    left.map_or_else(|| text::NONE.to_owned(), |l| format!("{:.1}%", l * 100.0))
}

/// The alerts that fire, in words.
#[must_use]
pub fn alerts(burn: &Burn) -> String {
    let words = burn.alerts.iter().map(|a| {
        let (short, long) = (text::span(a.short), text::span(a.long));
        format!("{} ({short}/{long})", text::severity(a.severity))
    });
    words.collect::<Vec<_>>().join(", ")
}

fn causes(profiles: &[sli::Profile]) -> String {
    let mut rows = Vec::new();
    for profile in profiles {
        for blame in &profile.causes {
            rows.push(vec![
                profile.profile.to_string(),
                text::count(blame.count),
                text::cause(blame.cause).to_owned(),
            ]);
        }
    }
    text::columns(&["NOT GOOD", "WORK", "CAUSE"], &rows, 2)
}
