//! Places a task on the worker that it leaves with the fewest free resources.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

inventory::submit! {
    Plugin {
        name: "best_fit",
        summary: "the worker that is left with the fewest free resources",
        point: Point::Pack(decide),
    }
}

/// Selects the node with the smallest free share after placement.
fn decide(ctx: &context::Pack<'_>) -> Option<usize> {
    (0..ctx.nodes.len()).min_by_key(|index| remaining_share(&ctx.nodes[*index], ctx))
}

/// Returns the free share after placement, summed over all resources, in thousandths of the
/// capacity.
fn remaining_share(node: &context::Node, ctx: &context::Pack<'_>) -> u64 {
    let Some(room) = node.free.minus(&ctx.demand) else {
        return u64::MAX;
    };
    let shares = room.parts().into_iter().zip(node.capacity.parts());
    shares
        .filter(|(_, all)| *all > 0)
        .map(|(free, all)| u64::from(free) * 1_000 / u64::from(all))
        .sum()
}
