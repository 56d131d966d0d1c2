//! Orders waiting work by priority and deadline, and refuses what cannot finish in time.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

/// Keys of one priority span this many milliseconds.
const PRIORITY_STRIDE_MS: u64 = 1 << 56;

/// The highest priority.
const MAX_PRIORITY: u8 = 9;

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
    let rank = u64::from(MAX_PRIORITY.saturating_sub(ctx.priority));
    let start = ctx.deadline.0.saturating_sub(ctx.estimate);
    rank * PRIORITY_STRIDE_MS + start.min(PRIORITY_STRIDE_MS - 1)
}

/// Refuses when
/// - the queue is full,
/// - running alone would most likely end after the deadline, or
/// - others wait, and the request would be late even if it ran no longer than nearly all do.
fn shed(ctx: &context::Shed) -> bool {
    ctx.queued >= ctx.limit || is_late(ctx)
}

/// Whether a request is likely to end after its deadline. Work that has to wait must leave room for
/// long run times, since the slot could serve other work in time.
pub(super) fn is_late(ctx: &context::Shed) -> bool {
    let typical_end = ctx.now.plus(ctx.wait).plus(ctx.estimate);
    let tail_end = ctx.now.plus(ctx.wait).plus(ctx.tail);
    typical_end > ctx.deadline || (ctx.wait > 0 && tail_end > ctx.deadline)
}
