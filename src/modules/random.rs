//! Routes a request to any worker. A baseline.

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
        summary: "any worker with room (baseline)",
        point: Point::Route(decide),
    }
}

/// Takes the random number modulo the number of targets.
fn decide(ctx: &context::Route<'_>) -> Option<usize> {
    let count = ctx.targets.len() as u64;
    let index = ctx.random.checked_rem(count)?;
    usize::try_from(index).ok()
}
