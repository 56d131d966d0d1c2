//! Places a task on the worker whose resources it leaves most evenly used.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

/// Weight of the imbalance between resources relative to the mean free share, in quarters.
const IMBALANCE_WEIGHT: u64 = 3;

inventory::submit! {
    Plugin {
        name: "balanced_fit",
        summary: "the worker that is left with the least and most balanced free resources",
        point: Point::Pack(decide),
    }
}

/// Selects the node with the lowest cost after placement:
/// - the more even the free shares of its resources are, the less capacity is stranded;
/// - the smaller the free shares are, the more empty workers remain for large tasks.
fn decide(ctx: &context::Pack<'_>) -> Option<usize> {
    (0..ctx.nodes.len()).min_by_key(|index| cost(&ctx.nodes[*index], ctx))
}

/// Returns the cost of a node: the mean free share of the demanded resources after placement plus
/// the weighted difference between the largest and the smallest one, in thousandths of the
/// capacity.
fn cost(node: &context::Node, ctx: &context::Pack<'_>) -> u64 {
    let Some(room) = node.free.minus(&ctx.demand) else {
        return u64::MAX;
    };
    let parts = room.parts().into_iter().zip(node.capacity.parts());
    let dimensions = parts.zip(ctx.demand.parts());
    let shares = dimensions
        .filter(|((_, all), need)| *all > 0 && *need > 0)
        .map(|((free, all), _)| u64::from(free) * 1_000 / u64::from(all));
    let (mut low, mut high, mut sum, mut count) = (u64::MAX, 0, 0, 0);
    for share in shares {
        low = low.min(share);
        high = high.max(share);
        sum += share;
        count += 1;
    }
    let mean = sum.checked_div(count).unwrap_or(0);
    mean + high.saturating_sub(low) * IMBALANCE_WEIGHT / 4
}
