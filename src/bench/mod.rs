//! Experiments on the decision logic, with simulated time and recorded arrivals.
//!
//! Each measure runs our policies and plain baselines on the same arrivals in the same run.

pub mod room;
