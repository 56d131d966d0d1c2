//! Routes requests to the workers in turn. Baseline for comparison.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

inventory::submit! {
    Plugin {
        name: "round_robin",
        summary: "the next worker in turn (baseline)",
        point: Point::Route(decide),
    }
}

/// Selects the target at the sequence number of the decision modulo the number of targets.
fn decide(ctx: &context::Route<'_>) -> Option<usize> {
    let count = ctx.targets.len() as u64;
    let index = ctx.sequence.checked_rem(count)?;
    usize::try_from(index).ok()
}
