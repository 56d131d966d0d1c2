//! Refuses a request only when its queue is full. A baseline.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

inventory::submit! {
    Plugin {
        name: "full_queue",
        summary: "refuses only when the queue is full (baseline)",
        point: Point::Shed(decide),
    }
}

/// Refuses at the bound.
fn decide(ctx: &context::Shed) -> bool {
    ctx.queued >= ctx.limit
}
