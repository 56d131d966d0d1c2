//! Measures goodput at the peak of a tenfold rise in load.

use crate::bench::{
    arrivals,
    early_binding::Route,
    measures::{
        self,
        Error,
        Options, //
    },
    report::{
        Line,
        Target, //
    },
    tally::Tally,
};

/// Time at which the load begins to rise.
const RISE_START_MS: u64 = 10_000;

/// Duration of the rise.
const RAMP_MS: u64 = 2_000;

/// Load at the peak, as a multiple of the normal load.
const PEAK_FACTOR: f64 = 10.0;

/// Runs the measure.
///
/// # Errors
///
/// Returns an error if a name or profile in the benchmark is invalid.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let works = [
        measures::checks(0.07)?,
        measures::notices(0.07)?,
        measures::plans(0.01)?,
    ];
    let top = RISE_START_MS + RAMP_MS;
    let fall = top + options.choose(30_000, 10_000);
    let end = fall + 20_000;
    let rate = |_, at: u64| match at {
        at if at < RISE_START_MS || at >= fall => 1.0,
        at if at < top => 1.0 + (PEAK_FACTOR - 1.0) * (at - RISE_START_MS) as f64 / RAMP_MS as f64,
        _ => PEAK_FACTOR,
    };
    let requests = arrivals::generate(&works, measures::ALL_SLOTS, end, options.seed, &rate);
    let span = RISE_START_MS..fall;
    let ours = measures::late(
        measures::INSTANCES,
        &Default::default(),
        &works,
        &requests,
        None,
        end,
    )?;
    let policies = serde_json::json!({"route": "random", "order": "fifo", "shed": "full_queue"});
    let plain = measures::plain(&works, &policies)?;
    let rows = [
        (
            "one FIFO queue without shedding",
            measures::late(1, &Default::default(), &plain, &requests, None, end)?,
        ),
        (
            "least loaded",
            measures::early(Route::LeastLoaded, &works, &requests, end),
        ),
    ];
    let mut lines = Vec::new();
    for (name, baseline) in rows {
        lines.push(Line {
            measure: "CREST.goodput",
            unit: "share of all slot time at the crest spent on work answered in time",
            ours: share(&ours, top..fall),
            baseline: share(&baseline, top..fall),
            against: name.to_owned(),
            judged: share(&ours, top..fall),
            target: Target::Least(0.95),
        });
        lines.push(Line {
            measure: "CREST.checks",
            unit: "share of short checks answered in time during the swing",
            ours: ours.in_time(Some(0), span.clone()),
            baseline: baseline.in_time(Some(0), span.clone()),
            against: name.to_owned(),
            judged: ours.in_time(Some(0), span.clone()),
            target: Target::Least(0.99),
        });
    }
    Ok(lines)
}

fn share(tally: &Tally, span: std::ops::Range<u64>) -> f64 {
    let all = (span.end - span.start) as f64 * f64::from(measures::ALL_SLOTS);
    tally.useful_time(span) / all
}
