//! Clients of the platform: its log, its list of instances and its workers.

pub mod link;
pub mod list;
pub mod log;
pub mod worker;
