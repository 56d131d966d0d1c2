//! Inputs and outputs of the request scheduler.

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
    /// Arena key of an unfinished request.
    pub struct RequestKey;
    /// Arena key of one attempt of a request; valid until the attempt is known to have ended.
    pub struct AttemptKey;
}

/// A caller's request that asks for admission.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id of the request.
    pub id: RequestId,
    /// Name of the profile that the caller chose.
    pub profile_name: ProfileName,
    /// Current version of the profile.
    pub version: u32,
    /// Content of that profile version.
    pub profile: Arc<Profile>,
    /// Time left to finish the request, in milliseconds.
    pub deadline: u64,
    /// Idempotency key from the caller.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether another instance forwarded the request; if so, it is not forwarded again.
    pub forwarded: bool,
}

/// Reason for which an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The request was not sent before.
    First,
    /// Earlier attempts failed.
    Retry,
    /// An earlier attempt is slow and still in progress.
    Hedge,
}

/// An attempt to send to a worker now.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The request.
    pub key: RequestKey,
    /// The attempt, to be named in [`super::Requests::finish_attempt`].
    pub attempt: AttemptKey,
    /// The caller's id of the request.
    pub id: RequestId,
    /// Worker to send the attempt to.
    pub worker: WorkerKey,
    /// Reason for the attempt.
    pub kind: AttemptKind,
    /// Time after which the attempt is reported as [`Outcome::TimedOut`], in milliseconds.
    pub timeout: u64,
    /// Time left for the request itself, in milliseconds.
    pub remaining: u64,
}

/// A request to forward to another entry instance now.
#[derive(Debug, Clone)]
pub struct Forward {
    /// The request.
    pub key: RequestKey,
    /// The attempt, to be named in [`super::Requests::finish_attempt`]. It holds no slot at
    /// this instance.
    pub attempt: AttemptKey,
    /// The caller's id of the request.
    pub id: RequestId,
    /// Index of the peer in the list that [`super::Requests::forward`] was called with.
    pub peer: usize,
    /// Time after which the attempt is reported as [`Outcome::TimedOut`], in milliseconds.
    pub timeout: u64,
    /// Time left for the request itself, in milliseconds.
    pub remaining: u64,
}

/// Another entry instance that requests can be forwarded to.
#[derive(Debug, Clone, Copy)]
pub struct ForwardTarget {
    /// Number of free slots at the peer, as last reported.
    pub free: u32,
    /// Distance of the peer.
    pub distance: Distance,
    /// Round-trip time to the peer, in milliseconds.
    pub rtt: u64,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived, possibly late.
    Answered {
        /// The run time in milliseconds, or zero when the backend server did not report it.
        took: u64,
    },
    /// The complete response arrived and reports a failure of the backend server.
    BackendError {
        /// The run time in milliseconds, or zero when the backend server did not report it.
        took: u64,
    },
    /// The backend server reports that the request did not run, or no byte was sent.
    NotRun,
    /// No complete response within the timeout. The exchange may continue and be reported again.
    TimedOut,
    /// The connection broke after bytes may have been sent.
    ConnectionLost,
    /// The peer that the request was forwarded to gave up on it and does not know the outcome.
    Unknown,
}

/// Action to take for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Final: send the response of this attempt to the caller.
    Answer,
    /// The request waits for a retry; call [`super::Requests::dispatch`] at that time.
    Retry {
        /// Time of the retry, on the clock that is passed to the scheduler.
        at: crate::ids::Millis,
    },
    /// Final: refuse the request.
    Refuse(caller::Refusal),
    /// Nothing: the request is still in progress, or its final action was returned before.
    Ignore,
}

/// An action for a request other than the one that a call was about.
#[derive(Debug, Clone, PartialEq)]
pub struct Notice {
    /// The request.
    pub key: RequestKey,
    /// The caller's id of the request.
    pub id: RequestId,
    /// Action to take.
    pub action: Action,
}

/// Statistics of one profile, for metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct Stats {
    /// Name of the profile.
    pub profile_name: ProfileName,
    /// Number of requests that wait.
    pub queued: u32,
    /// Number of open attempts, including those of unknown outcome.
    pub active: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Mean run time, in milliseconds.
    pub mean: u64,
    /// 99th percentile of the run time, in milliseconds.
    pub tail: u64,
    /// Number of first attempts since the start of the process.
    pub first: u64,
    /// Number of retries since the start of the process.
    pub retries: u64,
    /// Number of hedged attempts since the start of the process.
    pub hedges: u64,
    /// Number of requests that were refused for lack of capacity or time since the start of the
    /// process.
    pub shed: u64,
}
