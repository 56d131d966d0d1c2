//! Measures head-of-line blocking: how much the latency of short checks rises behind stragglers.

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

/// Interval between two batches of plans.
const PERIOD_MS: u64 = 20_000;

/// Time over which the plans of a batch arrive.
const BATCH_MS: u64 = 1_000;

/// Runs the measure.
///
/// # Errors
///
/// Returns an error if a name or profile in the benchmark is invalid.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let without_plans = [measures::checks(0.25)?, measures::notices(0.15)?];
    let [checks, notices] = without_plans.clone();
    let with_plans = [checks, notices, measures::plans(0.45)?];
    let end = options.choose(180_000, 60_000);
    // Plans arrive in batches: all plans of a period arrive within its first second.
    let rate = |work: usize, at: u64| match work {
        2 if at % PERIOD_MS < BATCH_MS => (PERIOD_MS / BATCH_MS) as f64,
        2 => 0.0,
        _ => 1.0,
    };
    let without = arrivals::generate(
        &without_plans,
        measures::ALL_SLOTS,
        end,
        options.seed,
        &rate,
    );
    let with = arrivals::generate(&with_plans, measures::ALL_SLOTS, end, options.seed, &rate);
    let span = end / 3..end;
    let p99 = |tally: &Tally| {
        let totals = tally.latencies(Some(0), span.clone());
        totals.value_at_quantile(0.99) as f64
    };
    let cfg = Default::default();
    let late = |instances, works: &[Work], requests: &[Request]| {
        measures::late(instances, &cfg, works, requests, None, end).map(|t| p99(&t))
    };
    let early = |w: &[Work], r: &[Request]| p99(&measures::early(Route::LeastLoaded, w, r, end));
    let count = measures::INSTANCES;
    let ours = late(count, &with_plans, &with)? / late(count, &without_plans, &without)?;
    let policies = serde_json::json!({"route": "random", "order": "fifo", "shed": "full_queue"});
    let plain_without = measures::plain(&without_plans, &policies)?;
    let plain_with = measures::plain(&with_plans, &policies)?;
    let fifo = late(1, &plain_with, &with)? / late(1, &plain_without, &without)?;
    let least = early(&with_plans, &with) / early(&without_plans, &without);
    let rows = [
        ("one FIFO queue of a single instance with all workers", fifo),
        ("least loaded", least),
    ];
    let line = |(name, baseline): (&str, f64)| Line {
        measure: "BLOCKING",
        unit: "p99 of short checks with stragglers, over that without",
        ours,
        baseline,
        against: name.to_owned(),
        judged: ours,
        target: Target::Most(1.5),
    };
    Ok(rows.into_iter().map(line).collect())
}
