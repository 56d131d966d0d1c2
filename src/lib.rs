//! A cluster scheduler for unlike workloads that answers for outcomes.
//!
//! The programs under `src/bin` are thin shells over this library. Decisions are pure functions
//! over a state and a clock in [`kernel`] and [`ledger`]; everything else moves bytes.

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
pub mod kernel;
pub mod ledger;
pub mod load;
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
