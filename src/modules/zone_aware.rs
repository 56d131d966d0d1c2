//! Routes a request to the worker with the shortest expected time to a successful response.

use crate::{
    configs::zone_aware::ZoneAware,
    context::{
        self,
        Distance, //
    },
    modules::{
        Plugin,
        Point, //
    }, //
};

/// Lower bound of the latency that counts, in microseconds. Also the assumed latency of a worker
/// without responses yet.
const MIN_LATENCY_US: f64 = 1_000.0;

inventory::submit! {
    Plugin {
        name: "zone_aware",
        summary: "the shortest expected time to success, by distance, load and failures",
        point: Point::Route(decide),
    }
}

/// Selects the target with the lowest cost:
/// - the latency, the network delay and the time that failures are expected to cost,
/// - times a factor that rises with the ratio of active requests to free slots.
fn decide(ctx: &context::Route<'_>) -> Option<usize> {
    let cfg = ZoneAware::default();
    let costs = ctx.targets.iter().map(|t| cost(t, &cfg));
    let lowest = costs.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    Some(lowest.0)
}

fn cost(target: &context::Target, cfg: &ZoneAware) -> f64 {
    let network = match target.distance {
        Distance::Zone => 0,
        Distance::Region => cfg.region.as_micros() as u64,
        Distance::Remote => cfg.remote.as_micros() as u64,
    };
    let latency = (target.latency as f64).max(MIN_LATENCY_US) + network as f64;
    let failures = cfg.failure.as_micros() as f64 * target.errors;
    let load = f64::from(target.active + 1) / f64::from(target.free.slots.max(1));
    (latency + failures) * (1.0 + load)
}
