//! Refuses lower priorities first as the queues of the instance fill up.

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
        summary: "refuses low priorities first as queues fill up, and requests that would be late",
        point: Point::Shed(decide),
    }
}

/// Refuses a request when
/// - the queue of its profile is full,
/// - the request is likely to finish after its deadline, or
/// - the queues of the instance are fuller than the priority allows.
fn decide(ctx: &context::Shed) -> bool {
    if ctx.queued >= ctx.limit || deadline::is_late(ctx) {
        return true;
    }
    let start = Priority::default().start;
    let rank = f64::from(ctx.priority) / MAX_PRIORITY;
    let allowed = start + (1.0 - start) * rank;
    f64::from(ctx.queue_fill) > allowed * 1_000.0
}
