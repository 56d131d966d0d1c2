//! Measures how long requests wait to be placed at 80% load, steady and with bursts.

use crate::bench::{
    arrivals::{
        self,
        Request,
        Work, //
    },
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

/// Interval between the starts of two bursts, in milliseconds.
const PERIOD: u64 = 5_000;

/// Duration of a burst.
const BURST_MS: u64 = 1_000;

/// Factor on the load during a burst, in which demand exceeds capacity.
const PEAK: f64 = 1.4;

/// Factor on the load outside bursts, chosen so that the mean factor is 1.
const BASE: f64 = (PERIOD as f64 - PEAK * BURST_MS as f64) / (PERIOD - BURST_MS) as f64;

/// Figures at a steady load: for all work and for each kind.
const STEADY_FIGURES: [(&str, Option<usize>); 4] = [
    ("WAIT", None),
    ("WAIT.checks", Some(0)),
    ("WAIT.notices", Some(1)),
    ("WAIT.plans", Some(2)),
];

/// Figures with bursts.
const BURST_FIGURES: [(&str, Option<usize>); 1] = [("WAIT.bursts", None)];

/// Runs the measure.
///
/// # Errors
///
/// Returns an error if a name or profile in the benchmark is invalid.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let works = [
        measures::checks(0.4)?,
        measures::notices(0.3)?,
        measures::plans(0.1)?,
    ];
    let end = options.choose(120_000, 30_000);
    let steady = |_, _| 1.0;
    let bursts = |_, at: u64| if at % PERIOD < BURST_MS { PEAK } else { BASE };
    let requests = arrivals::generate(&works, measures::ALL_SLOTS, end, options.seed, &steady);
    let mut lines = compare(&works, &requests, end, &STEADY_FIGURES)?;
    let requests = arrivals::generate(&works, measures::ALL_SLOTS, end, options.seed, &bursts);
    lines.extend(compare(&works, &requests, end, &BURST_FIGURES)?);
    Ok(lines)
}

/// Simulates the requests kernel and the baselines on the same arrivals.
fn compare(
    works: &[Work],
    requests: &[Request],
    end: u64,
    kinds: &[(&'static str, Option<usize>)],
) -> Result<Vec<Line>, Error> {
    let span = end / 6..end;
    let cfg = Default::default();
    let ours = measures::late(measures::INSTANCES, &cfg, works, requests, None, end)?;
    let policies = serde_json::json!({"route": "random", "order": "fifo", "shed": "full_queue"});
    let plain = measures::plain(works, &policies)?;
    let early = |route| measures::early(route, works, requests, end);
    let baselines = [
        ("random", early(Route::Random)),
        ("round robin", early(Route::RoundRobin)),
        ("least loaded", early(Route::LeastLoaded)),
        (
            "one FIFO queue of a single instance with all workers",
            measures::late(1, &cfg, &plain, requests, None, end)?,
        ),
    ];
    let mut lines = Vec::new();
    for (name, baseline) in baselines {
        for (measure, work) in kinds {
            let waited = (p99(&ours, *work, &span), p99(&baseline, *work, &span));
            lines.push(line(measure, waited, name));
        }
    }
    Ok(lines)
}

fn line(measure: &'static str, (ours, baseline): (f64, f64), against: &str) -> Line {
    Line {
        measure,
        unit: "p99 of time to be placed at 80% load, ms; the target is the ratio",
        ours,
        baseline,
        against: against.to_owned(),
        judged: ours / baseline,
        target: Target::Most(0.5),
    }
}

/// Returns the 99th percentile of the wait, in milliseconds. A wait below 1 ms counts as 1 ms.
fn p99(tally: &Tally, work: Option<usize>, span: &std::ops::Range<u64>) -> f64 {
    let waits = tally.wait_times(work, span.clone());
    waits.value_at_quantile(0.99).max(1) as f64
}
