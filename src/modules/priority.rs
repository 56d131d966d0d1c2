//! Refuses the lower priorities first as the instance fills with waiting requests.

use crate::{
    configs::priority::Priority,
    context,
    modules::{
        Plugin,
        Point,
        deadline, //
    }, //
};

/// The highest priority.
const MAX_PRIORITY: f64 = 9.0;

inventory::submit! {
    Plugin {
        name: "priority",
        summary: "refuses low priorities first as the instance fills, and what cannot finish",
        point: Point::Shed(decide),
    }
}

/// Refuses when
/// - the queue is full,
/// - waiting and running would end after the deadline, or
/// - the instance is fuller than the request's priority allows.
fn decide(ctx: &context::Shed) -> bool {
    if ctx.queued >= ctx.limit || deadline::is_late(ctx) {
        return true;
    }
    let start = Priority::default().start;
    let rank = f64::from(ctx.priority) / MAX_PRIORITY;
    let allowed = start + (1.0 - start) * rank;
    f64::from(ctx.crowd) > allowed * 1_000.0
}
