//! The entry instance: serves callers, holds placement leases and places work.

pub mod exchange;
pub mod rpc;
