//! Routes a request to a random worker. Baseline for comparison.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

inventory::submit! {
    Plugin {
        name: "random",
        summary: "a random worker with enough free resources (baseline)",
        point: Point::Route(decide),
    }
}

/// Selects the target at the random number modulo the number of targets.
fn decide(ctx: &context::Route<'_>) -> Option<usize> {
    let count = ctx.targets.len() as u64;
    let index = ctx.random.checked_rem(count)?;
    usize::try_from(index).ok()
}
