//! Refuses a request only when the queue of its profile is full. Baseline for comparison.

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

/// Refuses a request when the queue is full.
fn decide(ctx: &context::Shed) -> bool {
    ctx.queued >= ctx.limit
}
