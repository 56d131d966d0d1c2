//! Checks whether a job could ever run on the known workers.

use quick_error::quick_error;

use crate::{
    kernel::workers::Workers,
    profile::Kind,
    resources::Resources, //
};

quick_error! {
    /// Reason why a job can never run.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Infeasible {
        /// The demand of a task exceeds the capacity of every known worker.
        Demand(excess: String) {
            display("no worker could ever hold a task: too much of {}", excess)
        }
        /// The gang has more members than the known workers can run at once.
        GangSize(tasks: u32, most: u64) {
            display("a gang of {} never fits: the workers hold {} members at most", tasks, most)
        }
    }
}

/// Checks whether a job could run on the workers of known capacity if they were empty. While no
/// capacity is known, every job is considered feasible.
///
/// # Errors
///
/// Returns the reason why the job can never run.
pub fn check(
    workers: &Workers,
    demand: &Resources,
    tasks: u32,
    kind: Kind,
) -> Result<(), Infeasible> {
    let shapes = workers.shapes();
    if shapes.is_empty() {
        return Ok(());
    }
    if !shapes.iter().any(|shape| demand.fits(&shape.0)) {
        return Err(Infeasible::Demand(excess_dimensions(workers, demand)));
    }
    if kind != Kind::Gang {
        return Ok(());
    }
    let most = max_gang_size(workers, demand);
    if u64::from(tasks) > most {
        return Err(Infeasible::GangSize(tasks, most));
    }
    Ok(())
}

/// Returns the dimensions in which the demand exceeds the best matching worker, which is the one
/// that it exceeds in the fewest dimensions.
fn excess_dimensions(workers: &Workers, demand: &Resources) -> String {
    let excesses = workers.shapes().iter().map(|shape| demand.excess(&shape.0));
    let least = excesses.min_by_key(Vec::len).unwrap_or_default();
    least.join(", ")
}

/// Returns the number of gang members that fit on all workers at once. A worker of unknown capacity
/// counts as the largest known one.
fn max_gang_size(workers: &Workers, demand: &Resources) -> u64 {
    let shapes = workers.shapes();
    let known: u64 = shapes.iter().map(|shape| u64::from(shape.1)).sum();
    let unknown = (workers.len() as u64).saturating_sub(known);
    let fits = |shape: &(Resources, u32)| copies(demand, &shape.0);
    let largest = shapes.iter().map(fits).max().unwrap_or(0);
    let sum: u64 = shapes.iter().map(|s| fits(s) * u64::from(s.1)).sum();
    sum.saturating_add(unknown.saturating_mul(largest))
}

/// Returns how many times a demand fits on an empty worker.
fn copies(demand: &Resources, capacity: &Resources) -> u64 {
    let parts = demand.parts().into_iter().zip(capacity.parts());
    let counts = parts
        .filter(|(need, _)| *need > 0)
        .map(|(need, have)| u64::from(have / need));
    counts.min().unwrap_or(u64::MAX)
}
