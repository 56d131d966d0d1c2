//! Effects of applying a record at its offset in the log.

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

/// The result of applying one record; identical on every reader of the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A profile change was accepted or rejected.
    Profile {
        /// Id of the change.
        change: ChangeId,
        /// Name of the profile.
        name: ProfileName,
        /// The current version after the change.
        version: u32,
        /// Whether the change was accepted and created `version`.
        accepted: bool,
    },
    /// A job was accepted.
    Accepted {
        /// Id of the job; that of an earlier job when the idempotency key was known.
        run: RunId,
        /// Id that the record proposed for the job.
        proposed: RunId,
    },
    /// A claim was granted or rejected.
    Claim {
        /// Author of the claim.
        by: record::Author,
        /// The claimed attempts.
        claim: record::Claim,
        /// Whether the claim took effect. A rejected claim starts no attempt.
        won: bool,
    },
    /// An attempt ended.
    Ended {
        /// The attempt and its outcome.
        finish: record::FinishedAttempt,
        /// The worker to which the attempt was assigned.
        worker: crate::ids::WorkerId,
    },
    /// A job ended, was cancelled or restarts its gang: its running attempts must be stopped.
    Stopped {
        /// Id of the job.
        run: RunId,
        /// State of the job.
        state: crate::wire::caller::JobState,
    },
    /// The holder of an idempotency key was determined.
    Key {
        /// The profile to which the key belongs.
        profile: ProfileName,
        /// The idempotency key.
        key: IdempotencyKey,
        /// The request that wrote the record.
        request: RequestId,
        /// The request that holds the key.
        holder: RequestId,
    },
    /// The response to a key's request was recorded.
    Answer(record::Answer),
    /// The state was replaced by a snapshot; effects of the entries it covers are not reported.
    Restored {
        /// The first offset that is not included in the state.
        next: crate::ids::Offset,
    },
    /// The record was skipped because it is unreadable, of an unknown type or newer format, or has
    /// no effect.
    Skipped(findings::Finding),
}

/// All effects of one entry, in the order of its records.
#[derive(Debug, Clone, PartialEq)]
pub struct Applied {
    /// Offset of the entry.
    pub offset: crate::ids::Offset,
    /// Id of the batch; `None` if the entry was unreadable.
    pub batch: Option<ChangeId>,
    /// The effects; a record may have none or several of them.
    pub effects: Vec<Effect>,
    /// For each effect, the index of its record in the batch.
    pub origins: Vec<usize>,
}
