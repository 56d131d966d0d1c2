//! Formats numbers, times and tables as text.

use crate::{
    ids::Millis,
    ledger::{
        outcomes::{
            DAY,
            HOUR,
            MINUTE, //
        },
        record::Cause, //
    },
    report::{
        burn::Severity,
        sli::PPM, //
    }, //
};

/// Placeholder for a value that is not known.
pub const NONE: &str = "-";

/// Parts per million in one percent.
const PERCENT: u64 = PPM / 100;

/// Formats a share in parts per million as a percentage.
#[must_use]
pub fn percent(share: Option<u64>) -> String {
    let Some(share) = share else {
        return NONE.to_owned();
    };
    format!("{}.{:04}%", share / PERCENT, share % PERCENT)
}

/// Formats a change in parts per million as percentage points with a sign.
#[must_use]
pub fn points(change: Option<i64>) -> String {
    let Some(change) = change else {
        return NONE.to_owned();
    };
    let sign = match change {
        ..0 => "-",
        0 => "",
        1.. => "+",
    };
    let size = change.unsigned_abs();
    format!("{sign}{}.{:04}", size / PERCENT, size % PERCENT)
}

/// Formats a number with thousands separators.
#[must_use]
pub fn count(number: u64) -> String {
    let digits = number.to_string();
    let mut text = String::with_capacity(digits.len() * 4 / 3);
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// Formats a burn rate or another factor with two decimals.
#[must_use]
pub fn factor(rate: Option<f64>) -> String {
    rate.map_or_else(|| NONE.to_owned(), |r| format!("{r:.2}"))
}

/// Formats a duration in milliseconds in the largest unit that divides it.
#[must_use]
pub fn duration(millis: u64) -> String {
    let units = [(DAY, "d"), (HOUR, "h"), (MINUTE, "m"), (1_000, "s")];
    let divides = |unit: &&(u64, &str)| millis >= unit.0 && millis.is_multiple_of(unit.0);
    match units.iter().find(divides) {
        Some((unit, name)) => format!("{}{name}", millis / unit),
        None => format!("{millis}ms"),
    }
}

/// Formats a time in UTC, to the second.
#[must_use]
pub fn time(at: Millis) -> String {
    let millis = i64::try_from(at.0).unwrap_or(i64::MAX);
    match jiff::Timestamp::from_millisecond(millis) {
        Ok(time) => time.strftime("%Y-%m-%d %H:%M:%SZ").to_string(),
        Err(_) => format!("{at} ms"),
    }
}

/// Describes a cause.
#[must_use]
pub fn cause(cause: Cause) -> &'static str {
    match cause {
        Cause::Refused => "refused",
        Cause::Unplaced => "not placed in time",
        Cause::Waited => "started late",
        Cause::Late => "finished late",
        Cause::Failed => "failed",
        Cause::Repeated => "ran more than once",
        Cause::Unknown => "outcome unknown",
        Cause::Cancelled => "cancelled (not counted)",
    }
}

/// Returns the name of a severity.
#[must_use]
pub fn severity(severity: Severity) -> &'static str {
    match severity {
        Severity::Page => "page",
        Severity::Ticket => "ticket",
    }
}

/// Lays out rows in columns below a header. The first column and the columns from `left_from` on
/// are left-aligned, the others right-aligned.
#[must_use]
pub fn columns(header: &[&str], rows: &[Vec<String>], left_from: usize) -> String {
    let mut widths: Vec<_> = header.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<_> = header.iter().map(|h| (*h).to_owned()).collect();
    let all = std::iter::once(&head).chain(rows);
    all.map(|row| format_row(row, &widths, left_from)).collect()
}

fn format_row(row: &[String], widths: &[usize], left_from: usize) -> String {
    let cells = row.iter().zip(widths).enumerate();
    let cells = cells.map(|(at, (cell, width))| match at == 0 || at >= left_from {
        true => format!("{cell:<width$}  "),
        false => format!("{cell:>width$}  "),
    });
    let line: String = cells.collect();
    format!("{}\n", line.trim_end())
}
