//! The scheduler of one cell on a platform with a store: one owner at a time decides, every
//! instance takes callers.
//!
//! [`engine`] holds the owner's decisions and [`election`] the rules by which an instance becomes
//! owner; both are pure. [`shell`] moves bytes for them.

pub mod archive;
pub mod cluster;
pub mod election;
pub mod engine;
pub mod job;
pub mod journal;
pub mod model;
pub mod settings;
pub mod shell;
