//! The decision state that every instance replays from the platform's log.
//!
//! The log's order is the only authority for profiles, jobs and idempotency keys. [`record`] holds
//! what is written, [`effect`] what it did.

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
