//! Orders waiting work by priority and deadline, and refuses what cannot finish in time.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

/// Keys of one priority span this many milliseconds.
const PRIORITY_SPAN: u64 = 1 << 56;

/// The highest priority.
const TOP: u8 = 9;

inventory::submit! {
    Plugin {
        name: "deadline",
        summary: "priority first, then the earliest deadline",
        point: Point::Order(order),
    }
}

inventory::submit! {
    Plugin {
        name: "deadline",
        summary: "refuses what cannot finish by its deadline, and when the queue is full",
        point: Point::Shed(shed),
    }
}

/// Sorts by priority, then by the latest time at which the work can start.
fn order(ctx: &context::Order) -> u64 {
    let rank = u64::from(TOP.saturating_sub(ctx.priority));
    let start = ctx.deadline.0.saturating_sub(ctx.estimate);
    rank * PRIORITY_SPAN + start.min(PRIORITY_SPAN - 1)
}

/// Refuses when waiting and running would end after the deadline.
fn shed(ctx: &context::Shed) -> bool {
    if ctx.queued >= ctx.limit {
        return true;
    }
    let end = ctx.now.plus(ctx.wait).plus(ctx.estimate);
    end > ctx.deadline
}
