//! Orders waiting work by priority and deadline, and refuses requests that cannot finish in time.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

/// Range of the sort keys of one priority, in milliseconds.
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
        summary: "refuses requests that cannot meet their deadline, and when the queue is full",
        point: Point::Shed(shed),
    }
}

/// Sorts by priority, then by the latest time at which the work can start.
fn order(ctx: &context::Order) -> u64 {
    let rank = u64::from(MAX_PRIORITY.saturating_sub(ctx.priority));
    let start = ctx.deadline.0.saturating_sub(ctx.estimate);
    rank * PRIORITY_STRIDE_MS + start.min(PRIORITY_STRIDE_MS - 1)
}

/// Refuses a request when
/// - the queue is full,
/// - the request would finish after its deadline with a typical run time, or
/// - the request has to wait and would finish after its deadline with a 95th percentile run time.
fn shed(ctx: &context::Shed) -> bool {
    ctx.queued >= ctx.limit || is_late(ctx)
}

/// Returns whether a request is likely to finish after its deadline. For a request that has to
/// wait, the 95th percentile of the run time counts, since the slot could serve other requests that
/// finish in time.
pub(super) fn is_late(ctx: &context::Shed) -> bool {
    let typical_end = ctx.now.plus(ctx.wait).plus(ctx.estimate);
    let p95_end = ctx.now.plus(ctx.wait).plus(ctx.p95);
    typical_end > ctx.deadline || (ctx.wait > 0 && p95_end > ctx.deadline)
}
