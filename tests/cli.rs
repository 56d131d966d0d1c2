//! The command line, run as a program: offline, and against a small fake of the servers.

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
