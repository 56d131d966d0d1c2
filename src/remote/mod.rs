//! HTTP clients of the platform's log, list of instances and workers.

pub mod link;
pub mod list;
pub mod log;
pub mod round_trips;
pub mod uplink;
pub mod worker;
