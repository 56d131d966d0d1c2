//! Runs the command-line program, offline and against a fake server.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "cli/callers.rs"]
mod callers;
#[path = "cli/fake_server.rs"]
mod fake_server;
#[path = "cli/offline.rs"]
mod offline;
#[path = "cli/profiles.rs"]
mod profiles;
#[path = "cli/program.rs"]
mod program;
