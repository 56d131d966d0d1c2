//! Experiments on the decision logic, with simulated time and generated arrivals.
//!
//! Each measure runs our policies and plain baselines on the same arrivals in the same run. The
//! simulation is a queueing experiment: workers are slots that hold a request for its run time.

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
