//! Renders the report as a self-contained HTML page: styles and plots are inline.

use crate::report::{
    Report,
    attribution::{
        Comparison,
        Contribution, //
    },
    burn::{
        Burn,
        RULES, //
    },
    plot,
    sli::{
        self,
        Counts, //
    },
    table,
    text, //
};

const STYLE: &str = "\
body { font: 15px/1.45 system-ui, sans-serif; color: #1a1a1a; max-width: 62rem;
  margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.3rem; } h2 { font-size: 1.05rem; margin-top: 2.2rem; }
.line { font-size: 2.6rem; font-weight: 600; margin: 0; }
.note { color: #555; margin: .2rem 0; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { padding: .25rem .6rem; border-bottom: 1px solid #ddd; text-align: right; }
th:first-child, td:first-child, td.words, th.words { text-align: left; }
tr.all td { font-weight: 600; } tr.version td { color: #555; }
.page { color: #b03a00; font-weight: 600; } .ticket { color: #8a6d00; }
svg { max-width: 100%; height: auto; }
";

/// Renders the whole page.
///
/// # Errors
///
/// Returns an error if a plot could not be drawn.
pub fn render(report: &Report) -> Result<String, plot::Error> {
    let sections = [
        headline(report),
        figure("Share over both spans", &plot::shares(&report.series)?),
        contribution_section(
            &report.comparison,
            &plot::contributions(&report.comparison)?,
        ),
        profile_section(&report.profiles),
        burn_section(&report.burn),
        cause_section(&report.profiles),
    ];
    let body = sections.concat();
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width\">\n\
         <title>Service-level report</title>\n<style>\n{STYLE}</style>\n</head>\n\
         <body>\n{body}</body>\n</html>\n"
    ))
}

/// Escapes the characters with a special meaning in HTML.
#[must_use]
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            other => escaped.push(other),
        }
    }
    escaped
}

fn headline(report: &Report) -> String {
    let headline = table::headline(report);
    let notes = headline
        .lines()
        .map(|l| format!("<p class=\"note\">{}</p>\n", escape(l)));
    format!(
        "<h1>Placed, ran once, finished in time</h1>\n<p class=\"line\">{}</p>\n{}",
        text::percent(report.counts.share()),
        notes.collect::<String>()
    )
}

fn figure(title: &str, svg: &str) -> String {
    if svg.is_empty() {
        return String::new();
    }
    format!("<h2>{title}</h2>\n<figure>{svg}</figure>\n")
}

/// A table cell.
struct Cell {
    class: &'static str,
    text: String,
}

fn number_cell(text: String) -> Cell {
    Cell { class: "", text }
}

fn text_cell(text: String) -> Cell {
    Cell {
        class: "words",
        text,
    }
}

fn row(tag: &str, class: &str, cells: &[Cell]) -> String {
    let cells = cells.iter().map(|cell| {
        let text = escape(&cell.text);
        format!("<{tag} class=\"{}\">{text}</{tag}>", cell.class)
    });
    format!("<tr class=\"{class}\">{}</tr>\n", cells.collect::<String>())
}

fn header_row(names: &[&str], last_is_text: bool) -> String {
    let cell = |(at, name): (usize, &&str)| match last_is_text && at + 1 == names.len() {
        true => text_cell((*name).to_owned()),
        false => number_cell((*name).to_owned()),
    };
    let cells: Vec<_> = names.iter().enumerate().map(cell).collect();
    row("th", "", &cells)
}

fn contribution_section(comparison: &Comparison, svg: &str) -> String {
    let title = "<h2>What moved the line</h2>\n";
    let Some(change) = comparison.change else {
        return format!("{title}<p class=\"note\">One of the two spans has no work.</p>\n");
    };
    let names = [
        "Profile", "By", "Quality", "Volume", "Before", "After", "From",
    ];
    let mut rows = header_row(&names, true);
    comparison
        .contributions
        .iter()
        .for_each(|p| rows.push_str(&contribution_row(p)));
    let sum = [
        number_cell("Sum".to_owned()),
        number_cell(text::points(Some(change))),
        number_cell(text::points(Some(
            comparison.contributions.iter().map(|p| p.quality).sum(),
        ))),
        number_cell(text::points(Some(
            comparison.contributions.iter().map(|p| p.volume).sum(),
        ))),
        number_cell(text::percent(comparison.before.share())),
        number_cell(text::percent(comparison.after.share())),
        text_cell(String::new()),
    ];
    rows.push_str(&row("td", "all", &sum));
    format!(
        "{title}<figure>{svg}</figure>\n<table>\n{rows}</table>\n\
         <p class=\"note\">In percentage points. Quality: the profile's own share changed. Volume: \
         its part of all work changed.</p>\n"
    )
}

fn contribution_row(contribution: &Contribution) -> String {
    let cells = [
        number_cell(contribution.profile.to_string()),
        number_cell(text::points(Some(contribution.total()))),
        number_cell(text::points(Some(contribution.quality))),
        number_cell(text::points(Some(contribution.volume))),
        number_cell(text::percent(contribution.before.share())),
        number_cell(text::percent(contribution.after.share())),
        text_cell(table::origin(contribution)),
    ];
    row("td", "", &cells)
}

fn profile_section(profiles: &[sli::Profile]) -> String {
    let names = [
        "Profile", "Version", "Work", "Good", "Placed", "Once", "In time", "Wait ms",
    ];
    let mut rows = header_row(&names, false);
    for profile in profiles {
        let name = profile.profile.to_string();
        rows.push_str(&counts_row("all", name, "all".to_owned(), &profile.counts));
        for version in &profile.versions {
            let number = version.version.to_string();
            rows.push_str(&counts_row(
                "version",
                String::new(),
                number,
                &version.counts,
            ));
        }
    }
    format!("<h2>Profiles and versions</h2>\n<table>\n{rows}</table>\n")
}

fn counts_row(class: &str, name: String, version: String, counts: &Counts) -> String {
    let share = |part| number_cell(text::percent(sli::share(part, counts.counted)));
    let wait = counts.mean_wait().map(text::count);
    let cells = [
        number_cell(name),
        number_cell(version),
        number_cell(text::count(counts.counted)),
        share(counts.good),
        share(counts.placed),
        share(counts.once),
        share(counts.timely),
        number_cell(wait.unwrap_or_else(|| text::NONE.to_owned())),
    ];
    row("td", class, &cells)
}

fn burn_section(burns: &[Burn]) -> String {
    let mut names = vec!["Profile".to_owned(), "Objective".to_owned()];
    for rule in RULES {
        let (short, long) = (text::duration(rule.short), text::duration(rule.long));
        names.push(format!("{short}/{long} (over {})", rule.rate));
    }
    names.extend(["Left of 30d".to_owned(), "Alerts".to_owned()]);
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut rows = header_row(&names, true);
    burns.iter().for_each(|b| rows.push_str(&burn_row(b)));
    format!(
        "<h2>Error-budget burn</h2>\n<table>\n{rows}</table>\n<p class=\"note\">A rate of 1 uses the \
         budget up just at the end of 30 days. An alert fires when both windows exceed its rate.</p>\n"
    )
}

fn burn_row(burn: &Burn) -> String {
    let rate = |span| {
        let window = burn.windows.iter().find(|w| w.span == span);
        text::factor(window.and_then(|w| w.rate))
    };
    let target = burn.target.map(|t| format!("{:.4}%", t * 100.0));
    let mut cells = vec![
        number_cell(burn.profile.to_string()),
        number_cell(target.unwrap_or_else(|| text::NONE.to_owned())),
    ];
    for rule in RULES {
        cells.push(number_cell(format!(
            "{} / {}",
            rate(rule.short),
            rate(rule.long)
        )));
    }
    cells.push(number_cell(table::budget_left(burn.left)));
    cells.push(text_cell(table::alerts(burn)));
    let class = burn.alerts.first().map(|a| text::severity(a.severity));
    row("td", class.unwrap_or(""), &cells)
}

fn cause_section(profiles: &[sli::Profile]) -> String {
    let mut rows = header_row(&["Profile", "Work", "Cause"], true);
    for profile in profiles {
        for entry in &profile.causes {
            let cells = [
                number_cell(profile.profile.to_string()),
                number_cell(text::count(entry.count)),
                text_cell(text::cause(entry.cause).to_owned()),
            ];
            rows.push_str(&row("td", "", &cells));
        }
    }
    format!("<h2>Causes</h2>\n<table>\n{rows}</table>\n")
}
