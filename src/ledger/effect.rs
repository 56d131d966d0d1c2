//! What a record did at its place in the log.

use crate::{
    findings,
    ids::{
        ChangeId,
        IdempotencyKey,
        ProfileName,
        RequestId,
        RunId, //
    },
    ledger::record, //
};

/// The result of one record. The same for every reader of the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A profile change was decided.
    Profile {
        /// The change.
        change: ChangeId,
        /// The profile.
        name: ProfileName,
        /// The version that is current afterwards.
        version: u32,
        /// Whether this change made it.
        accepted: bool,
    },
    /// A job was recorded.
    Accepted {
        /// The id under which it goes on; an earlier one when the key was known.
        run: RunId,
        /// The id that the record proposed.
        proposed: RunId,
    },
    /// A claim was decided.
    Claim {
        /// Who made it.
        by: record::Author,
        /// What was claimed.
        claim: record::Claim,
        /// Whether it took effect. A lost claim starts nothing.
        won: bool,
    },
    /// An attempt ended.
    Ended {
        /// The attempt and why.
        finish: record::FinishedAttempt,
        /// The worker that it was claimed on.
        worker: crate::ids::WorkerId,
    },
    /// A job ended as a whole, or is being cancelled: what still runs must be stopped.
    Stopped {
        /// The job.
        run: RunId,
        /// How it stands.
        state: crate::wire::caller::JobState,
    },
    /// A key was decided.
    Key {
        /// The profile.
        profile: ProfileName,
        /// The key.
        key: IdempotencyKey,
        /// The request that made the record.
        request: RequestId,
        /// The request that holds the key.
        holder: RequestId,
    },
    /// An answer was recorded.
    Answer(record::Answer),
    /// The state was replaced by a snapshot: earlier effects were not seen one by one.
    Restored {
        /// The first offset that is not in the state.
        next: crate::ids::Offset,
    },
    /// The record was skipped: unreadable, unknown, of a newer format or without effect.
    Skipped(findings::Finding),
}

/// All effects of one entry, in the order of its records.
#[derive(Debug, Clone, PartialEq)]
pub struct Applied {
    /// The entry's place.
    pub offset: crate::ids::Offset,
    /// The batch, if the entry was readable.
    pub batch: Option<ChangeId>,
    /// The effects; a record may have none or several.
    pub effects: Vec<Effect>,
    /// For each effect, the index in the batch of the record that it comes from.
    pub origins: Vec<usize>,
}
