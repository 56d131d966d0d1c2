//! Orders waiting work by arrival. Baseline for comparison.

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    }, //
};

inventory::submit! {
    Plugin {
        name: "fifo",
        summary: "first come, first served (baseline)",
        point: Point::Order(decide),
    }
}

/// Sorts by time of arrival.
fn decide(ctx: &context::Order) -> u64 {
    ctx.arrived.0
}
