//! Distributes the tasks of a job over racks and workers.

use std::cmp::Reverse;

use crate::{
    context,
    modules::{
        Plugin,
        Point, //
    },
    profile::Racks, //
};

inventory::submit! {
    Plugin {
        name: "spread",
        summary: "the rack with the fewest tasks of the job, then the emptiest worker",
        point: Point::Pack(decide),
    }
}

/// Selects the node
/// - in the rack with the fewest tasks of the job, or the most when the profile keeps its tasks
///   together,
/// - then with the most free slots, and then with the most free CPU.
fn decide(ctx: &context::Pack<'_>) -> Option<usize> {
    let key = |index: &usize| {
        let node = &ctx.nodes[*index];
        let job_tasks = match ctx.racks {
            Racks::Together => u32::MAX - node.rack_peers,
            Racks::Any | Racks::Spread => node.rack_peers,
        };
        let room = (node.free.slots, node.free.millicores);
        (job_tasks, Reverse(room))
    };
    (0..ctx.nodes.len()).min_by_key(key)
}
