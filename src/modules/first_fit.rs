//! Places a task on the first worker with enough free resources. Baseline for comparison.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

inventory::submit! {
    Plugin {
        name: "first_fit",
        summary: "the first worker with enough free resources (baseline)",
        point: Point::Pack(decide),
    }
}

/// Selects the first node.
fn decide(ctx: &context::Pack<'_>) -> Option<usize> {
    (!ctx.nodes.is_empty()).then_some(0)
}
