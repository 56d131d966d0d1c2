//! A cluster scheduler for mixed workloads that accounts for the outcome of all work.
//!
//! The programs under `src/bin` are thin wrappers around this library. Decisions are pure functions
//! of a state and a clock in [`kernel`] and [`ledger`]; the other modules do input and output.

pub mod admin;
pub mod bench;
pub mod cell;
pub mod cli;
pub mod configs;
pub mod context;
pub mod diff;
pub mod entry;
pub mod findings;
pub mod hints;
pub mod ids;
pub mod json;
pub mod kernel;
pub mod ledger;
pub mod load;
pub mod malformed;
pub mod modules;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod profile;
pub mod program;
pub mod remote;
pub mod report;
pub mod resources;
pub mod settings;
pub mod standin;
pub mod wire;
