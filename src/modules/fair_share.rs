//! Orders waiting work so that teams get equal shares of the slot time.

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
        name: "fair_share",
        summary: "priority first, then the team that has used the least slot time",
        point: Point::Order(decide),
    }
}

/// Sorts by priority, then by the team's virtual start time (start-time fair queueing).
fn decide(ctx: &context::Order) -> u64 {
    let rank = u64::from(MAX_PRIORITY.saturating_sub(ctx.priority));
    rank * PRIORITY_STRIDE_MS + ctx.virtual_start.min(PRIORITY_STRIDE_MS - 1)
}
