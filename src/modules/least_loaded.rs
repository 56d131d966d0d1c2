//! Routes a request to the nearest worker with the fewest requests in progress.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

inventory::submit! {
    Plugin {
        name: "least_loaded",
        summary: "the nearest worker with the fewest requests in progress",
        point: Point::Route(decide),
    }
}

/// Selects the nearest target; of equally near ones, the one with the fewest active requests, then
/// the lowest latency.
fn decide(ctx: &context::Route<'_>) -> Option<usize> {
    let rank = |index: &usize| {
        let target = &ctx.targets[*index];
        (target.distance, target.active, target.latency)
    };
    (0..ctx.targets.len()).min_by_key(rank)
}
