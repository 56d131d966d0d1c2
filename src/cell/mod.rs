//! Scheduler of one cell on a platform with a store. One instance at a time owns the cell and
//! decides; every instance serves callers.
//!
//! [`engine`] holds the owner's decisions and [`election`] the rules by which an instance becomes
//! owner; both are free of input and output. [`shell`] does the input and output for them.

pub mod access;
pub mod archive;
pub mod cluster;
pub mod election;
pub mod engine;
pub mod fencing;
pub mod job;
pub mod journal;
pub mod model;
pub mod neighbours;
pub mod outage;
pub mod refusals;
pub mod settings;
pub mod shares;
pub mod shell;
pub mod suspicion;
pub mod waves;
