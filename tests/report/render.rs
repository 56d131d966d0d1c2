//! Tests of the report as text, JSON and HTML.

use bamboolock::{
    ids::Millis,
    ledger::outcomes::HOUR,
    report::{
        self,
        Input,
        Report,
        Target,
        html,
        plot,
        table,
        text, //
    }, //
};

use crate::rows;

fn example() -> Report {
    let mut rows = Vec::new();
    for ago in (0..120).rev() {
        let (version, late) = if ago < 40 { (4, 30) } else { (3, 2) };
        rows.push(rows::row(ago, "ramp-check", version, 1_000 - late, late));
        rows.push(rows::row(ago, "gate-plan", 1, 99, 1));
    }
    let target = |profile: &str, version, share| Target {
        profile: profile.parse().unwrap(),
        version,
        share,
    };
    let input = Input {
        now: Millis(rows::NOW),
        rows,
        targets: vec![target("gate-plan", 1, 0.98), target("ramp-check", 4, 0.999)],
    };
    report::build(&input, HOUR)
}

#[test]
fn the_table_shows_the_indicator_the_changed_profile_and_its_version() {
    let text = table::render(&example());
    let first = text.lines().next().unwrap();
    assert!(
        first.starts_with("98.0581% of 67,100 pieces of work were placed, ran once"),
        "{first}"
    );
    for part in [
        "version 4 on, 2026-05-26 23:21:00Z: finished late",
        "page (5m/1h)",
    ] {
        assert!(text.contains(part), "{part:?} is missing in\n{text}");
    }
    let lines: Vec<_> = text.lines().collect();
    let sum = lines.iter().find(|l| l.starts_with("sum")).unwrap();
    let change = text::points(example().comparison.change);
    assert!(sum.contains(&change), "{sum} without {change}");
}

#[test]
fn json_parses_back_into_the_same_report() {
    let text = serde_json::to_string(&example()).unwrap();
    let back: Report = serde_json::from_str(&text).unwrap();
    assert!(
        back == example(),
        "the report changed on its way through JSON"
    );
}

#[test]
fn the_html_page_is_self_contained() {
    let page = html::render(&example()).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
    assert_eq!(page.matches("</svg>").count(), 2);
    for outside in ["src=", "href=", "@import", "url("] {
        assert!(!page.contains(outside), "{outside:?} is in the page");
    }
    for part in ["ramp-check", "gate-plan", "version 4 on", "98.0581%"] {
        assert!(page.contains(part), "{part:?} is missing");
    }
}

/// Returns the value of a numeric attribute of an SVG element.
fn attribute(element: &str, name: &str) -> f64 {
    let start = element.split_once(&format!(" {name}=\"")).unwrap().1;
    start.split('"').next().unwrap().parse().unwrap()
}

#[test]
fn each_profile_name_is_beside_its_bar() {
    let mut rows = Vec::new();
    for (age, profile, late) in [(90, "check", 2), (90, "plan", 2), (90, "letter", 2)] {
        rows.push(rows::row(age, profile, 1, 100 - late, late));
    }
    for (age, profile, late) in [(9, "check", 40), (9, "plan", 20), (9, "letter", 0)] {
        rows.push(rows::row(age, profile, 1, 100 - late, late));
    }
    let input = Input {
        now: Millis(rows::NOW),
        rows,
        targets: Vec::new(),
    };
    let comparison = report::build(&input, HOUR).comparison;
    let svg = plot::contributions(&comparison).unwrap();
    let bars: Vec<_> = svg.split("<rect").skip(2).collect();
    assert_eq!(bars.len(), 3);
    for (part, bar) in comparison.contributions.iter().zip(bars) {
        let middle = attribute(bar, "y") + attribute(bar, "height") / 2.0;
        let (before, _) = svg.split_once(&format!("\n{}\n", part.profile)).unwrap();
        let label = before.rsplit("<text").next().unwrap();
        assert!(
            (attribute(label, "y") - middle).abs() < 3.0,
            "{label} {bar}"
        );
        let falls = part.total() < 0;
        let zero = attribute(bar, "x") + if falls { attribute(bar, "width") } else { 0.0 };
        assert!(attribute(label, "x") <= zero - attribute(bar, "width").min(0.0));
    }
}

#[test]
fn a_report_without_work_says_so_and_has_no_plots() {
    let empty = report::build(&Input::default(), HOUR);
    assert!(table::render(&empty).starts_with("no work ended in the last 1h"));
    assert!(html::render(&empty).is_ok_and(|page| !page.contains("<svg")));
    assert_eq!(plot::shares(&empty.series).unwrap(), "");
}

#[test]
fn numbers_and_times_are_formatted_for_readers() {
    let cases = [
        (text::percent(Some(999_999)), "99.9999%"),
        (text::percent(Some(1_000_000)), "100.0000%"),
        (text::percent(None), "-"),
        (text::points(Some(-1_230)), "-0.1230"),
        (text::points(Some(0)), "0.0000"),
        (text::count(1_234_567), "1,234,567"),
        (text::count(999), "999"),
        (text::duration(90 * 60_000), "90m"),
        (text::duration(1_500), "1500ms"),
        (text::time(Millis(0)), "1970-01-01 00:00:00Z"),
        (html::escape("a<b>&\"c\""), "a&lt;b&gt;&amp;&quot;c&quot;"),
    ];
    for (found, expected) in cases {
        assert_eq!(found, expected);
    }
}
