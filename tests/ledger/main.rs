//! Contract and fuzz tests of the ledger: replay, recovery, group commits, the replica and the
//! administration API.

#![expect(
    clippy::unwrap_used,
    reason = "a test helper that fails is to fail its test"
)]

mod admin;
mod common;
mod fake_log;
mod fuzz;
mod oracle;
mod process;
mod recovery;
mod replay;
mod replica;
mod snapshots;
