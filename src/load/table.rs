//! Formats the report as a text table.

use std::fmt::Write;

use crate::load::{
    report::{
        Percentiles, //
        Report,
        Row,
    },
    sample::CLASSES, //
};

/// Column headings.
const COLUMNS: [&str; 15] = [
    "profile", "sent", "good", "late", "refused", "failed", "unknown", "wrong", "doubled", "open",
    "share", "p50", "p99", "p99.9", "wait p99",
];

/// Formats the report as a table followed by one line for each refusal count, fault and violation.
/// Times are in milliseconds.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut lines = vec![COLUMNS.map(str::to_owned)];
    lines.extend(report.rows.iter().map(cells));
    let mut text = align(&lines);
    let lag = millis(report.lag.p99);
    // Writing to a `String` never fails.
    let _ = writeln!(text, "sent later than intended: p99 {lag} ms");
    for refused in &report.refused {
        let code = refused.code.map(|c| format!("{c:?}"));
        let code = code.unwrap_or_else(|| "no code".to_owned());
        let (profile, class) = (&refused.profile, refused.class);
        let _ = writeln!(text, "{profile}: {class:?}, {code}: {}", refused.count);
    }
    for fault in &report.faults {
        let _ = writeln!(text, "{}: {:?}: {}", fault.work, fault.class, fault.detail);
    }
    if let Some(judge) = &report.judge {
        let _ = writeln!(
            text,
            "violations found by the judge: {}",
            judge.counters.violations
        );
        for violation in &judge.violations {
            let _ = writeln!(
                text,
                "{:?} on {}: {}",
                violation.kind, violation.worker, violation.detail
            );
        }
    }
    text
}

fn cells(row: &Row) -> [String; COLUMNS.len()] {
    let mut cells: [String; COLUMNS.len()] = Default::default();
    let crest = if row.crest { " (crest)" } else { "" };
    cells[0] = format!("{}{crest}", row.profile);
    cells[1] = row.sent.to_string();
    for (i, count) in row.classes.iter().enumerate() {
        cells[2 + i] = count.to_string();
    }
    let Percentiles { p50, p99, p999, .. } = row.latency;
    let after = 2 + CLASSES.len();
    cells[after] = format!("{:.4}", row.good);
    cells[after + 1] = millis(p50);
    cells[after + 2] = millis(p99);
    cells[after + 3] = millis(p999);
    cells[after + 4] = match row.wait.count {
        0 => "-".to_owned(),
        _ => millis(row.wait.p99),
    };
    cells
}

fn align(lines: &[[String; COLUMNS.len()]]) -> String {
    let mut widths = [0; COLUMNS.len()];
    for line in lines {
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = cell.len().max(*width);
        }
    }
    let mut text = String::new();
    for line in lines {
        for (i, (cell, width)) in line.iter().zip(widths).enumerate() {
            let _ = match i {
                0 => write!(text, "{cell:width$}"),
                _ => write!(text, "  {cell:>width$}"),
            };
        }
        text.push('\n');
    }
    text
}

fn millis(micros: u64) -> String {
    format!("{:.1}", micros as f64 / 1_000.0)
}
