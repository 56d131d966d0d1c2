//! Settings of the programs and plug-ins, with their documented defaults.

pub mod lease;
pub mod log;
pub mod membership;
pub mod priority;
pub mod requests;
pub mod runs;
pub mod zone_aware;
