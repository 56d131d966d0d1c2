//! Benchmarks of the decision logic, on simulated time and generated arrivals.
//!
//! Each measure runs the scheduler's policies and simple baselines on the same arrivals in the same
//! run. The simulation is a queueing model: a worker is a set of slots, and a request occupies a
//! slot for its run time.

pub mod arrivals;
pub mod cell;
pub mod early_binding;
pub mod late_binding;
pub mod measures;
pub mod pool;
pub mod report;
pub mod sim;
pub mod tally;
pub mod unit_costs;
