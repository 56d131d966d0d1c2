//! Contract and fuzz tests of the ledger: replay, recovery, group commits and the replica.

#![expect(
    clippy::unwrap_used,
    reason = "a test helper that fails is to fail its test"
)]

mod common;
mod fake_log;
mod replay;
mod replica;
