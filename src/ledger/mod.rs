//! Replicated state machine that every instance builds by replaying the platform's log.
//!
//! The order of the log is the only authority on profiles, jobs and idempotency keys. [`record`]
//! defines the records in the log, [`effect`] the results of applying them.

pub mod accounting;
pub mod effect;
pub mod follower;
pub mod jobs;
pub mod keys;
pub mod outcomes;
pub mod profiles;
pub mod queue;
pub mod reassembly;
pub mod record;
pub mod recovery;
pub mod replica;
pub mod ring;
pub mod snapshots;
pub mod state;
