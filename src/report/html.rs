//! The report as one HTML page that needs nothing else: styles and plots are inside.

use crate::report::{
    Report,
    attribution::{
        Moved,
        Part, //
    },
    burn::{
        Burn,
        PAIRS, //
    },
    plot,
    sli::{
        self,
        Line, //
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

/// The whole page.
///
/// # Errors
///
/// Returns why a plot could not be drawn.
pub fn render(report: &Report) -> Result<String, plot::Error> {
    let sections = [
        headline(report),
        figure("Share over both spans", &plot::shares(&report.series)?),
        moved(&report.moved, &plot::parts(&report.moved)?),
        profiles(&report.profiles),
        burn(&report.burn),
        causes(&report.profiles),
    ];
    let body = sections.concat();
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width\">\n\
         <title>Service-level report</title>\n<style>\n{STYLE}</style>\n</head>\n\
         <body>\n{body}</body>\n</html>\n"
    ))
}

/// Text with the characters replaced that HTML reads as its own.
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
    let words = table::headline(report);
    let notes = words
        .lines()
        .map(|l| format!("<p class=\"note\">{}</p>\n", escape(l)));
    format!(
        "<h1>Placed, ran once, finished in time</h1>\n<p class=\"line\">{}</p>\n{}",
        text::percent(report.line.share()),
        notes.collect::<String>()
    )
}

fn figure(title: &str, svg: &str) -> String {
    if svg.is_empty() {
        return String::new();
    }
    format!("<h2>{title}</h2>\n<figure>{svg}</figure>\n")
}

/// One cell of a table.
struct Cell {
    class: &'static str,
    text: String,
}

fn number(text: String) -> Cell {
    Cell { class: "", text }
}

fn words(text: String) -> Cell {
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

fn head(names: &[&str], last_words: bool) -> String {
    let cell = |(at, name): (usize, &&str)| match last_words && at + 1 == names.len() {
        true => words((*name).to_owned()),
        false => number((*name).to_owned()),
    };
    let cells: Vec<_> = names.iter().enumerate().map(cell).collect();
    row("th", "", &cells)
}

fn moved(moved: &Moved, svg: &str) -> String {
    let title = "<h2>What moved the line</h2>\n";
    let Some(change) = moved.change else {
        return format!("{title}<p class=\"note\">One of the two spans has no work.</p>\n");
    };
    let names = [
        "Profile", "By", "Quality", "Volume", "Before", "After", "From",
    ];
    let mut rows = head(&names, true);
    moved.parts.iter().for_each(|p| rows.push_str(&part_row(p)));
    let sum = [
        number("Sum".to_owned()),
        number(text::points(Some(change))),
        number(text::points(Some(
            moved.parts.iter().map(|p| p.quality).sum(),
        ))),
        number(text::points(Some(
            moved.parts.iter().map(|p| p.volume).sum(),
        ))),
        number(text::percent(moved.before.share())),
        number(text::percent(moved.after.share())),
        words(String::new()),
    ];
    rows.push_str(&row("td", "all", &sum));
    format!(
        "{title}<figure>{svg}</figure>\n<table>\n{rows}</table>\n\
         <p class=\"note\">In percentage points. Quality: the profile's own share changed. Volume: \
         its part of all work changed.</p>\n"
    )
}

fn part_row(part: &Part) -> String {
    let cells = [
        number(part.profile.to_string()),
        number(text::points(Some(part.total()))),
        number(text::points(Some(part.quality))),
        number(text::points(Some(part.volume))),
        number(text::percent(part.before.share())),
        number(text::percent(part.after.share())),
        words(table::from(part)),
    ];
    row("td", "", &cells)
}

fn profiles(profiles: &[sli::Profile]) -> String {
    let names = [
        "Profile", "Version", "Work", "Good", "Placed", "Once", "In time", "Wait ms",
    ];
    let mut rows = head(&names, false);
    for profile in profiles {
        let name = profile.profile.to_string();
        rows.push_str(&line_row("all", name, "all".to_owned(), &profile.line));
        for version in &profile.versions {
            let number = version.version.to_string();
            rows.push_str(&line_row("version", String::new(), number, &version.line));
        }
    }
    format!("<h2>Profiles and versions</h2>\n<table>\n{rows}</table>\n")
}

fn line_row(class: &str, name: String, version: String, line: &Line) -> String {
    let share = |part| number(text::percent(sli::share(part, line.counted)));
    let wait = line.mean_wait().map(text::count);
    let cells = [
        number(name),
        number(version),
        number(text::count(line.counted)),
        share(line.good),
        share(line.placed),
        share(line.once),
        share(line.timely),
        number(wait.unwrap_or_else(|| text::NONE.to_owned())),
    ];
    row("td", class, &cells)
}

fn burn(burn: &[Burn]) -> String {
    let mut names = vec!["Profile".to_owned(), "Objective".to_owned()];
    for pair in PAIRS {
        let (short, long) = (text::span(pair.short), text::span(pair.long));
        names.push(format!("{short}/{long} (over {})", pair.rate));
    }
    names.extend(["Left of 30d".to_owned(), "Alerts".to_owned()]);
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut rows = head(&names, true);
    burn.iter().for_each(|b| rows.push_str(&burn_row(b)));
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
        number(burn.profile.to_string()),
        number(target.unwrap_or_else(|| text::NONE.to_owned())),
    ];
    for pair in PAIRS {
        cells.push(number(format!(
            "{} / {}",
            rate(pair.short),
            rate(pair.long)
        )));
    }
    cells.push(number(table::left(burn.left)));
    cells.push(words(table::alerts(burn)));
    let class = burn.alerts.first().map(|a| text::severity(a.severity));
    row("td", class.unwrap_or(""), &cells)
}

fn causes(profiles: &[sli::Profile]) -> String {
    let mut rows = head(&["Profile", "Work", "Cause"], true);
    for profile in profiles {
        for blame in &profile.causes {
            let cells = [
                number(profile.profile.to_string()),
                number(text::count(blame.count)),
                words(text::cause(blame.cause).to_owned()),
            ];
            rows.push_str(&row("td", "", &cells));
        }
    }
    format!("<h2>Causes</h2>\n<table>\n{rows}</table>\n")
}
