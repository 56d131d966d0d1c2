//! Routes a request to the less loaded of two random workers ("power of two choices").

use std::cmp::Reverse;

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

inventory::submit! {
    Plugin {
        name: "two_choices",
        summary: "the less loaded of two random workers",
        point: Point::Route(decide),
    }
}

/// Draws two targets, which may be the same, and selects the nearer one; at equal distance, the one
/// with more free slots, then the one with the lower latency.
fn decide(ctx: &context::Route<'_>) -> Option<usize> {
    let count = ctx.targets.len() as u64;
    let first = (ctx.random >> 32).checked_rem(count)?;
    let second = (ctx.random & 0xffff_ffff).checked_rem(count)?;
    let drawn = [first as usize, second as usize];
    drawn
        .into_iter()
        .min_by_key(|index| rank(&ctx.targets[*index]))
}

fn rank(target: &context::Target) -> (context::Distance, Reverse<u32>, u64) {
    (target.distance, Reverse(target.free.slots), target.latency)
}
