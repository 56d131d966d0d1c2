//! What goes into the kernel and what comes out of it.

use std::sync::Arc;

use crate::{
    context::Distance,
    ids::{
        IdempotencyKey,
        ProfileName,
        RequestId, //
    },
    kernel::WorkerKey,
    profile::Profile,
    wire::caller, //
};

slotmap::new_key_type! {
    /// A request that has not got its final step yet.
    pub struct RequestKey;
    /// One send of a request. Lives until it is known that it has ended.
    pub struct AttemptKey;
}

/// A request of a caller that asks for admission.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// The profile that the caller named.
    pub name: ProfileName,
    /// The version of the profile in force.
    pub version: u32,
    /// The profile.
    pub profile: Arc<Profile>,
    /// The time left to finish it, in milliseconds.
    pub deadline: u64,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Whether another instance passed it on; it is not passed on again.
    pub forwarded: bool,
}

/// Why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The request was never sent before.
    First,
    /// Earlier attempts failed.
    Retry,
    /// An earlier attempt is slow and still in progress.
    Hedge,
}

/// An attempt that the shell must send now.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The request.
    pub key: RequestKey,
    /// The attempt, to be named in [`super::Requests::finish_attempt`].
    pub attempt: AttemptKey,
    /// The caller's id of the request.
    pub id: RequestId,
    /// Where to send it.
    pub worker: WorkerKey,
    /// Why it is sent.
    pub kind: AttemptKind,
    /// Time after which the attempt is reported as [`Outcome::TimedOut`], in milliseconds.
    pub timeout: u64,
    /// Time left for the request itself, in milliseconds.
    pub remaining: u64,
}

/// A request that the shell must pass on to another entry instance now.
#[derive(Debug, Clone)]
pub struct Forward {
    /// The request.
    pub key: RequestKey,
    /// The attempt, to be named in [`super::Requests::finish_attempt`]. It holds no slot here.
    pub attempt: AttemptKey,
    /// The caller's id of the request.
    pub id: RequestId,
    /// The index of the peer in the list that was given.
    pub peer: usize,
    /// Time after which the attempt is reported as [`Outcome::TimedOut`], in milliseconds.
    pub timeout: u64,
    /// Time left for the request itself, in milliseconds.
    pub remaining: u64,
}

/// Another entry instance that could serve a request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardTarget {
    /// Slots free there, as last heard.
    pub free: u32,
    /// How far it is.
    pub distance: Distance,
    /// Time for a message there and back, in milliseconds.
    pub rtt: u64,
}

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived, also when it is late.
    Answered {
        /// The run time in milliseconds, or zero when the backend server did not report it.
        took: u64,
    },
    /// The whole answer arrived and says that the backend server failed.
    BackendError {
        /// The run time in milliseconds, or zero when the backend server did not report it.
        took: u64,
    },
    /// The backend server says that it did not run, or no byte had left.
    NotRun,
    /// No whole answer within the timeout; the exchange may go on and be reported again.
    TimedOut,
    /// The exchange broke off after a byte may have left.
    ConnectionLost,
}

/// What the shell does about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Final: passes the answer of this attempt to the caller.
    Answer,
    /// The request waits again; ask [`super::Requests::dispatch`] at that time.
    Retry {
        /// On the clock that the kernel is given.
        at: crate::ids::Millis,
    },
    /// Final: refuses the request.
    Refuse(caller::Refusal),
    /// Nothing: the request goes on, or it has got its final step already.
    Ignore,
}

/// A step about a request that was not asked about.
#[derive(Debug, Clone, PartialEq)]
pub struct Notice {
    /// The request.
    pub key: RequestKey,
    /// The caller's id of the request.
    pub id: RequestId,
    /// What to do.
    pub action: Action,
}

/// Figures of one profile, for metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct Stats {
    /// The profile.
    pub name: ProfileName,
    /// Requests that wait.
    pub queued: u32,
    /// Attempts in progress, with those of unknown outcome.
    pub active: u32,
    /// The concurrency limit in force.
    pub limit: u32,
    /// Mean run time, in milliseconds.
    pub mean: u64,
    /// 99th percentile of the run time, in milliseconds.
    pub tail: u64,
    /// First sends since the start.
    pub first: u64,
    /// Retries since the start.
    pub retries: u64,
    /// Hedged copies since the start.
    pub hedges: u64,
    /// Refusals for want of room or time since the start.
    pub shed: u64,
}
