//! Places a task on the first worker with room. A baseline.

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
        summary: "the first worker with room (baseline)",
        point: Point::Pack(decide),
    }
}

/// Takes the first node.
fn decide(ctx: &context::Pack<'_>) -> Option<usize> {
    (!ctx.nodes.is_empty()).then_some(0)
}
