//! Draws the plots of the report as SVG.

use std::ops::Range;

use plotters::{
    backend::SVGBackend,
    chart::ChartBuilder,
    drawing::{
        DrawingAreaErrorKind,
        IntoDrawingArea, //
    },
    element::{
        Circle,
        PathElement,
        Rectangle, //
    },
    series::LineSeries,
    style::{
        BLACK,
        Color,
        IntoFont,
        RGBColor,
        TextStyle,
        WHITE,
        text_anchor::{
            HPos,
            Pos,
            VPos, //
        }, //
    }, //
};
use quick_error::quick_error;

use crate::{
    ids::Millis,
    report::{
        attribution::Comparison,
        series::{
            Point,
            Series, //
        },
        sli::PPM,
        text, //
    }, //
};

/// Width of a plot, in pixels.
const WIDTH: u32 = 860;

/// Height of the plot of shares, in pixels.
const HEIGHT: u32 = 320;

/// Height of one bar, in pixels.
const BAR_HEIGHT: u32 = 34;

/// Height of a bar plot without its bars, in pixels.
const FRAME_HEIGHT: u32 = 70;

/// Width of the area for profile names beside the bars, in pixels.
const NAMES_WIDTH: i32 = 190;

/// Gap between a profile name and its bar, in pixels.
const NAME_GAP: i32 = 4;

/// Font size of labels, in the pixels of the plotting library.
const LABEL_HEIGHT: i32 = 15;

/// Maximum number of bars in a plot.
pub const MAX_BARS: usize = 12;

/// Padding at each end of an axis, as a fraction of the value range.
const PADDING: f64 = 0.08;

/// Colours of series, distinguishable with red-green colour blindness.
const COLOURS: [RGBColor; 5] = [
    RGBColor(0, 0, 0),
    RGBColor(213, 94, 0),
    RGBColor(0, 114, 178),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
];

/// Colour of contributions that raised the indicator.
const GAIN_COLOUR: RGBColor = RGBColor(0, 114, 178);

/// Colour of contributions that lowered the indicator.
const LOSS_COLOUR: RGBColor = RGBColor(213, 94, 0);

quick_error! {
    /// Reason why a plot could not be drawn.
    #[derive(Debug)]
    pub enum Error {
        /// The plotting library returned an error.
        Draw(reason: String) {
            display("a plot could not be drawn: {}", reason)
        }
    }
}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Error {
    fn from(e: DrawingAreaErrorKind<E>) -> Self {
        Self::Draw(e.to_string())
    }
}

/// Draws shares over time, in percent. The text is empty without work.
///
/// # Errors
///
/// Returns the error of the plotting library.
pub fn shares(series: &[Series]) -> Result<String, Error> {
    let points: Vec<_> = series.iter().flat_map(|s| &s.points).collect();
    let Some(times) = times(&points) else {
        return Ok(String::new());
    };
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(34)
            .y_label_area_size(74)
            .build_cartesian_2d(times, percents(&points))?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_labels(6)
            .label_style(label_font())
            .x_label_formatter(&|at| axis_time(*at))
            .y_label_formatter(&|share| format!("{share:.2}%"))
            .draw()?;
        for (curve, colour) in series.iter().zip(COLOURS) {
            let line = curve.points.iter().map(coordinates);
            chart
                .draw_series(LineSeries::new(line, colour.stroke_width(2)))?
                .label(series_name(curve))
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2))
                });
            let dots = curve.points.iter().map(coordinates);
            chart.draw_series(dots.map(|at| Circle::new(at, 2, colour.filled())))?;
        }
        chart
            .configure_series_labels()
            .position(plotters::chart::SeriesLabelPosition::LowerLeft)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .label_font(label_font())
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

/// Draws the contribution of each profile to the change of the indicator, in percentage points. The
/// text is empty without a change.
///
/// # Errors
///
/// Returns the error of the plotting library.
pub fn contributions(comparison: &Comparison) -> Result<String, Error> {
    let bars = comparison.contributions.iter().filter(|p| p.total() != 0);
    let bars: Vec<_> = bars.take(MAX_BARS).collect();
    if bars.is_empty() {
        return Ok(String::new());
    }
    let sizes: Vec<_> = bars.iter().map(|p| percentage_points(p.total())).collect();
    let rows = bars.len();
    let mut svg = String::new();
    {
        let height =
            FRAME_HEIGHT + BAR_HEIGHT * u32::try_from(rows).unwrap_or(u32::MAX / BAR_HEIGHT);
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(34)
            .y_label_area_size(NAMES_WIDTH)
            .build_cartesian_2d(around_zero(&sizes), 0.0..rows as f64)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .light_line_style(WHITE)
            .y_labels(0)
            .label_style(label_font())
            .x_label_formatter(&|size| format!("{size:+.3}"))
            .draw()?;
        chart.draw_series(sizes.iter().enumerate().map(|(at, size)| {
            let low = (rows - 1 - at) as f64;
            let colour = if *size < 0.0 {
                LOSS_COLOUR
            } else {
                GAIN_COLOUR
            };
            Rectangle::new([(0.0, low + 0.15), (*size, low + 0.85)], colour.filled())
        }))?;
        let style = label_font().pos(Pos::new(HPos::Right, VPos::Center));
        for (at, contribution) in bars.iter().enumerate() {
            let middle = (rows - 1 - at) as f64 + 0.5;
            let (_, y) = chart.backend_coord(&(0.0, middle));
            area.draw_text(
                contribution.profile.as_str(),
                &style,
                (NAMES_WIDTH - NAME_GAP, y),
            )?;
        }
        area.present()?;
    }
    Ok(svg)
}

fn label_font() -> TextStyle<'static> {
    ("sans-serif", LABEL_HEIGHT).into_font().into()
}

fn series_name(series: &Series) -> String {
    let all = || "all work".to_owned();
    series
        .profile
        .as_ref()
        .map_or_else(all, ToString::to_string)
}

/// Converts parts per million to percentage points.
fn percentage_points(change: i64) -> f64 {
    change as f64 * 100.0 / PPM as f64
}

fn coordinates(point: &Point) -> (f64, f64) {
    let share = point.share as f64 * 100.0 / PPM as f64;
    (point.start.0 as f64, share)
}

/// Formats a time in milliseconds since 1970 as month, day, hour and minute in UTC.
fn axis_time(at: f64) -> String {
    let text = text::time(Millis(at as u64));
    text.get(5..16).unwrap_or(&text).to_owned()
}

/// Returns the range of times in milliseconds since 1970, or `None` without points.
fn times(points: &[&Point]) -> Option<Range<f64>> {
    let first = points.iter().map(|p| p.start.0).min()?;
    let last = points.iter().map(|p| p.start.0).max()?;
    Some(first as f64..last.max(first + 1) as f64)
}

/// Returns a padded range that contains all shares, in percent.
fn percents(points: &[&Point]) -> Range<f64> {
    let values = || points.iter().map(|p| coordinates(p).1);
    let low = values().fold(100.0, f64::min);
    let high = values().fold(0.0, f64::max);
    let padding = ((high - low) * PADDING).max(0.02);
    (low - padding).max(0.0)..(high + padding).min(100.0 + padding)
}

/// Returns a padded range that contains all bar lengths and zero.
fn around_zero(sizes: &[f64]) -> Range<f64> {
    let low = sizes.iter().copied().fold(0.0, f64::min);
    let high = sizes.iter().copied().fold(0.0, f64::max);
    let padding = ((high - low) * PADDING).max(0.000_1);
    low - padding..high + padding
}
