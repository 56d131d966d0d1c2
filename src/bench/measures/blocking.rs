//! How much short checks suffer behind stragglers.

use crate::bench::{
    arrivals::{
        self,
        Job,
        Work, //
    },
    early_binding::Choice,
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

/// A bank of plans comes every so many milliseconds.
const PERIOD: u64 = 20_000;

/// It lasts that long, in milliseconds.
const BANK: u64 = 1_000;

/// Runs the measure.
///
/// # Errors
///
/// Returns what is wrong with the experiment's own profiles.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let calm = [measures::checks(0.25)?, measures::notices(0.15)?];
    let [checks, notices] = calm.clone();
    let mixed = [checks, notices, measures::plans(0.45)?];
    let end = options.span(180_000, 60_000);
    // Plans come in banks: all of a period's within its first second.
    let rate = |work: usize, at: u64| match work {
        2 if at % PERIOD < BANK => (PERIOD / BANK) as f64,
        2 => 0.0,
        _ => 1.0,
    };
    let without = arrivals::generate(&calm, measures::ALL, end, options.seed, &rate);
    let with = arrivals::generate(&mixed, measures::ALL, end, options.seed, &rate);
    let span = end / 3..end;
    let p99 = |tally: &Tally| {
        let totals = tally.totals(Some(0), span.clone());
        totals.value_at_quantile(0.99) as f64
    };
    let cfg = Default::default();
    let late = |instances, works: &[Work], jobs: &[Job]| {
        measures::late(instances, &cfg, works, jobs, None, end).map(|t| p99(&t))
    };
    let early =
        |works: &[Work], jobs: &[Job]| p99(&measures::early(Choice::LeastLoaded, works, jobs, end));
    let count = measures::INSTANCES;
    let ours = late(count, &mixed, &with)? / late(count, &calm, &without)?;
    let policies = serde_json::json!({"route": "random", "order": "fifo", "shed": "full_queue"});
    let plain_calm = measures::plain(&calm, &policies)?;
    let plain_mixed = measures::plain(&mixed, &policies)?;
    let fifo = late(1, &plain_mixed, &with)? / late(1, &plain_calm, &without)?;
    let least = early(&mixed, &with) / early(&calm, &without);
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
