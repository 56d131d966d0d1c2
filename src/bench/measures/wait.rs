//! How long work waits to be placed, at 80% load with bursts.

use crate::bench::{
    arrivals,
    early::Choice,
    measures::{
        self,
        Error,
        Options, //
    },
    report::{
        Line,
        Target, //
    },
};

/// A burst comes every so many milliseconds.
const PERIOD: u64 = 5_000;

/// It lasts that long, in milliseconds.
const BURST: u64 = 1_000;

/// The factor on the load in a burst.
const PEAK: f64 = 1.4;

/// The load outside of bursts, so that the mean is one.
const CALM: f64 = (PERIOD as f64 - PEAK * BURST as f64) / (PERIOD - BURST) as f64;

/// Runs the measure.
///
/// # Errors
///
/// Returns what is wrong with the experiment's own profiles.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let works = [
        measures::checks(0.4)?,
        measures::notices(0.3)?,
        measures::plans(0.1)?,
    ];
    let end = options.span(120_000, 30_000);
    let rate = |at: u64| if at % PERIOD < BURST { PEAK } else { CALM };
    let jobs = arrivals::generate(&works, measures::ALL, end, options.seed, &rate);
    let span = end / 6..end;
    let ours = measures::late(&Default::default(), &works, &jobs, None, end)?;
    let ours = p99(&ours, &span);
    let mut lines = Vec::new();
    for (name, choice) in [
        ("random", Choice::Random),
        ("round robin", Choice::RoundRobin),
        ("least loaded", Choice::LeastLoaded),
    ] {
        let tally = measures::early(choice, &works, &jobs, end);
        lines.push(line(ours, p99(&tally, &span), name));
    }
    let policies = serde_json::json!({"route": "random", "order": "fifo", "shed": "full_queue"});
    let plain = measures::plain(&works, &policies)?;
    let fifo = measures::late(&Default::default(), &plain, &jobs, None, end)?;
    lines.push(line(ours, p99(&fifo, &span), "one FIFO queue"));
    Ok(lines)
}

/// The 99th percentile; a wait under a millisecond counts as one.
fn p99(tally: &crate::bench::tally::Tally, span: &std::ops::Range<u64>) -> f64 {
    let waits = tally.waits(None, span.clone());
    waits.value_at_quantile(0.99).max(1) as f64
}

fn line(ours: f64, baseline: f64, against: &str) -> Line {
    Line {
        measure: "WAIT",
        unit: "p99 of time to be placed at 80% load, ms; the target is the ratio",
        ours,
        baseline,
        against: against.to_owned(),
        judged: ours / baseline,
        target: Target::Most(0.5),
    }
}
