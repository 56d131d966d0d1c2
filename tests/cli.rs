//! The command line, run as a program: offline, and against a small fake of the servers.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "cli/fake.rs"]
mod fake;
#[path = "cli/offline.rs"]
mod offline;
#[path = "cli/profiles.rs"]
mod profiles;
#[path = "cli/run.rs"]
mod run;
#[path = "cli/work.rs"]
mod work;
