//! How much short checks suffer behind stragglers.

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
    tally::Tally,
};

/// Runs the measure.
///
/// # Errors
///
/// Returns what is wrong with the experiment's own profiles.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let calm = [measures::checks(0.25)?, measures::notices(0.15)?];
    let [checks, notices] = calm.clone();
    let mixed = [checks, notices, measures::plans(0.5)?];
    let end = options.span(180_000, 60_000);
    let steady = |_: u64| 1.0;
    let without = arrivals::generate(&calm, measures::ALL, end, options.seed, &steady);
    let with = arrivals::generate(&mixed, measures::ALL, end, options.seed, &steady);
    let span = end / 3..end;
    let p99 = |tally: &Tally| {
        let totals = tally.totals(Some(0), span.clone());
        totals.value_at_quantile(0.99) as f64
    };
    let cfg = Default::default();
    let ours = p99(&measures::late(&cfg, &mixed, &with, None, end)?)
        / p99(&measures::late(&cfg, &calm, &without, None, end)?);
    let policies = serde_json::json!({"route": "random", "order": "fifo", "shed": "full_queue"});
    let plain_calm = measures::plain(&calm, &policies)?;
    let plain_mixed = measures::plain(&mixed, &policies)?;
    let fifo = p99(&measures::late(&cfg, &plain_mixed, &with, None, end)?)
        / p99(&measures::late(&cfg, &plain_calm, &without, None, end)?);
    let least = p99(&measures::early(Choice::LeastLoaded, &mixed, &with, end))
        / p99(&measures::early(Choice::LeastLoaded, &calm, &without, end));
    let rows = [("one FIFO queue", fifo), ("least loaded", least)];
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
