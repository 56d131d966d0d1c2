//! Measures how fast goodput recovers after an outage of half the workers, and the cost of retries.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    bench::{
        arrivals::{
            self,
            Work, //
        },
        measures::{
            self,
            Error,
            Options, //
        },
        report::{
            Line,
            Target, //
        },
        sim::Outage,
        tally::{
            BUCKET_MS,
            Tally, //
        },
    },
    configs,
    profile::Profile, //
};

/// Duration of the outage.
const OUTAGE_MS: u64 = 30_000;

/// Start of the outage.
const OUTAGE_START_MS: u64 = 15_000;

/// Number of goodput buckets in the sliding window that decides whether goodput has recovered.
const WINDOW_BUCKETS: usize = 4;

/// Runs the measure.
///
/// # Errors
///
/// Returns an error if a name or profile in the benchmark is invalid.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let works = [measures::checks(0.5)?, measures::notices(0.3)?];
    let end = OUTAGE_START_MS + OUTAGE_MS + 30_000;
    let requests = arrivals::generate(&works, measures::ALL_SLOTS, end, options.seed, &|_, _| 1.0);
    let outage = Some(Outage {
        from: OUTAGE_START_MS,
        to: OUTAGE_START_MS + OUTAGE_MS,
        failed_workers: measures::WORKERS / 2,
        drop_every: 2,
    });
    let ours = measures::late(
        measures::INSTANCES,
        &Default::default(),
        &works,
        &requests,
        outage,
        end,
    )?;
    let naive = naive(&works)?;
    let cfg = configs::requests::Requests {
        eject: 2.0,
        pause: Duration::ZERO,
        ..Default::default()
    };
    let baseline = measures::late(measures::INSTANCES, &cfg, &naive, &requests, outage, end)?;
    let against = "one FIFO queue, three immediate retries, no ejection".to_owned();
    Ok(vec![
        Line {
            measure: "STORM.recovery",
            unit: "time after the outage until goodput is 95% of that before, ms",
            ours: recovery(&ours, end),
            baseline: recovery(&baseline, end),
            against: against.clone(),
            judged: recovery(&ours, end),
            target: Target::Most(5_000.0),
        },
        Line {
            measure: "STORM.retries",
            unit: "sends beyond the first, as a share of requests",
            ours: repeat_share(&ours),
            baseline: repeat_share(&baseline),
            against,
            judged: repeat_share(&ours),
            target: Target::Most(0.1),
        },
    ])
}

/// Returns the same work with three immediate retries and a retry budget that never limits them.
fn naive(works: &[Work]) -> Result<Vec<Work>, Error> {
    let policies = serde_json::json!({"route": "random", "order": "fifo", "shed": "full_queue"});
    let mut naive = measures::plain(works, &policies)?;
    for work in &mut naive {
        let mut profile = Profile::clone(&work.profile);
        profile.retry.budget = 1.0;
        profile.retry.attempts = 4;
        profile.retry.backoff = 0;
        work.profile = Arc::new(profile);
    }
    Ok(naive)
}

fn repeat_share(tally: &Tally) -> f64 {
    tally.repeats as f64 / tally.total() as f64
}

/// Returns the time from the end of the outage to the end of the first window in which goodput is
/// back at 95% of that before, in milliseconds; the rest of the run if there is no such window.
fn recovery(tally: &Tally, end: u64) -> f64 {
    let goodput = tally.goodput(end);
    let before = mean(
        &goodput
            [(OUTAGE_START_MS / 2 / BUCKET_MS) as usize..(OUTAGE_START_MS / BUCKET_MS) as usize],
    );
    let first = ((OUTAGE_START_MS + OUTAGE_MS) / BUCKET_MS) as usize;
    let after = goodput[first..].windows(WINDOW_BUCKETS);
    let back = after.take_while(|w| mean(w) < 0.95 * before).count();
    ((back + WINDOW_BUCKETS) as u64 * BUCKET_MS) as f64
}

fn mean(counts: &[u32]) -> f64 {
    let sum: u32 = counts.iter().sum();
    f64::from(sum) / counts.len().max(1) as f64
}
