//! Draws latency and goodput over time as an SVG file.

use std::path::Path;

use plotters::prelude::{
    BLACK,
    BLUE,
    Cartesian2d,
    ChartBuilder,
    ChartContext,
    Color,
    GREEN,
    IntoDrawingArea,
    IntoLogRange,
    LineSeries,
    PathElement,
    RED,
    RGBColor,
    Ranged,
    SVGBackend,
    WHITE, //
};

use crate::load::{
    Error,
    report::{
        Report,
        Second, //
    }, //
};

/// Width and height of the picture, in pixels.
const PICTURE_SIZE: (u32, u32) = (1_000, 700);

/// Font size of a caption, and the margin around a chart, in pixels.
const CAPTION_SIZE: u32 = 18;

/// Width of the area for the labels of the vertical axis, in pixels.
const LABEL_SIZE: u32 = 55;

/// Lowest latency on the logarithmic axis, in milliseconds.
const MIN_LATENCY_MS: f64 = 0.1;

/// One line of a chart, with a point for each second.
struct Curve {
    name: &'static str,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

impl Curve {
    fn new(
        name: &'static str,
        colour: RGBColor,
        seconds: &[Second],
        value: impl Fn(&Second) -> f64,
    ) -> Self {
        let numbered = seconds.iter().zip(0_u32..);
        Self {
            name,
            colour,
            points: numbered.map(|(s, i)| (f64::from(i), value(s))).collect(),
        }
    }

    fn max_value(&self) -> f64 {
        self.points.iter().map(|p| p.1).fold(0.0, f64::max)
    }
}

/// Draws the per-second figures of a report into an SVG file.
///
/// # Errors
///
/// Returns an error if the picture cannot be drawn or written.
pub fn draw(path: &Path, report: &Report) -> Result<(), Error> {
    let failed = |e: &dyn std::fmt::Display| Error::Plot(e.to_string());
    let area = SVGBackend::new(path, PICTURE_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let (upper, lower) = area.split_vertically(PICTURE_SIZE.1 / 2);
    let seconds = &report.seconds;
    let end = seconds.len().max(1) as f64;

    let latency = latency_curves(seconds);
    let max_value = latency.iter().map(Curve::max_value).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&upper)
        .caption(
            "latency in ms, by second of the intended time",
            ("sans-serif", CAPTION_SIZE),
        )
        .margin(CAPTION_SIZE)
        .x_label_area_size(CAPTION_SIZE * 2)
        .y_label_area_size(LABEL_SIZE)
        .build_cartesian_2d(0.0..end, (MIN_LATENCY_MS..max_value * 1.1).log_scale())
        .map_err(|e| failed(&e))?;
    chart
        .configure_mesh()
        .x_desc("s")
        .draw()
        .map_err(|e| failed(&e))?;
    draw_curves(&mut chart, latency)?;

    let work = work_curves(seconds);
    let max_value = work.iter().map(Curve::max_value).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&lower)
        .caption("work sent and good, a second", ("sans-serif", CAPTION_SIZE))
        .margin(CAPTION_SIZE)
        .x_label_area_size(CAPTION_SIZE * 2)
        .y_label_area_size(LABEL_SIZE)
        .build_cartesian_2d(0.0..end, 0.0..max_value * 1.1)
        .map_err(|e| failed(&e))?;
    chart
        .configure_mesh()
        .x_desc("s")
        .draw()
        .map_err(|e| failed(&e))?;
    draw_curves(&mut chart, work)?;
    area.present().map_err(|e| failed(&e))
}

fn latency_curves(seconds: &[Second]) -> Vec<Curve> {
    let millis = |micros: u64| (micros as f64 / 1_000.0).max(MIN_LATENCY_MS);
    vec![
        Curve::new("p50", GREEN, seconds, |s| millis(s.latency.p50)),
        Curve::new("p99", RED, seconds, |s| millis(s.latency.p99)),
    ]
}

fn work_curves(seconds: &[Second]) -> Vec<Curve> {
    vec![
        Curve::new("sent", BLACK, seconds, |s| s.sent as f64),
        Curve::new("good", BLUE, seconds, |s| s.good as f64),
    ]
}

/// Draws the curves of a chart and their legend.
fn draw_curves<'a, 'b: 'a, X, Y>(
    chart: &mut ChartContext<'a, SVGBackend<'b>, Cartesian2d<X, Y>>,
    curves: Vec<Curve>,
) -> Result<(), Error>
where
    X: Ranged<ValueType = f64>,
    Y: Ranged<ValueType = f64>,
{
    let failed = |e: &dyn std::fmt::Display| Error::Plot(e.to_string());
    for curve in curves {
        let colour = curve.colour;
        chart
            .draw_series(LineSeries::new(curve.points, &colour))
            .map_err(|e| failed(&e))?
            .label(curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    let mut labels = chart.configure_series_labels();
    let labels = labels.background_style(WHITE.mix(0.8)).border_style(BLACK);
    labels.draw().map_err(|e| failed(&e))
}
