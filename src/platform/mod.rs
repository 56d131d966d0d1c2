//! Clients of what the platform provides.

pub mod log;
