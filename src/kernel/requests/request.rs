//! State of a request and its attempts.

use std::sync::Arc;

use crate::{
    ids::{
        IdempotencyKey,
        Millis,
        RequestId, //
    },
    kernel::{
        WorkerKey,
        requests::{
            profile_state::{
                Position,
                ProfileKey, //
            },
            quota::TeamKey,
            types::{
                AttemptKey,
                RequestKey, //
            },
        }, //
    },
    profile::Profile,
    resources::Resources,
    wire::caller::{
        Code,
        Ran,
        Refusal, //
    }, //
};

/// Number of broken connections after which a request is not sent again: it may be what crashes the
/// backend servers.
pub(super) const MAX_BROKEN: u8 = 2;

/// Phase of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The request waits in its profile's queue.
    Queued(Position),
    /// The request waits for the end of a backoff.
    Backoff,
    /// An attempt of the request was sent.
    Active,
}

/// An unfinished request.
#[derive(Debug)]
pub(super) struct Request {
    /// The caller's id of the request.
    pub id: RequestId,
    /// Key of the profile's state.
    pub profile_key: ProfileKey,
    /// Profile version that the request was admitted under.
    pub profile: Arc<Profile>,
    /// Idempotency key from the caller.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Time of arrival.
    pub arrived: Millis,
    /// Time by which the request must have finished.
    pub deadline: Millis,
    /// Whether the request was forwarded before and must not be forwarded again.
    pub forwarded: bool,
    /// Current phase.
    pub phase: Phase,
    /// Sequence number of the arrival.
    pub seq: u64,
    /// Virtual time of the team at the arrival, in milliseconds.
    pub virtual_time: u64,
    /// Number of attempts sent to workers.
    pub sends: u8,
    /// Attempts whose response may still arrive.
    pub pending: Vec<AttemptKey>,
    /// Whether an attempt of unknown outcome may have run.
    pub unknown: bool,
    /// Number of attempts whose connection broke after bytes may have been sent.
    pub broken: u8,
    /// Whether a backend server reported that the request ran.
    pub backend_ran: bool,
    /// Worker of the last failed attempt, which the next attempt avoids.
    pub avoid_worker: Option<WorkerKey>,
}

impl Request {
    /// Returns whether the request ran, as far as is known.
    pub(super) fn ran(&self) -> Ran {
        if self.backend_ran {
            return Ran::Yes;
        }
        if self.unknown || !self.pending.is_empty() {
            return Ran::Unknown;
        }
        Ran::No
    }

    /// Returns whether the request was never sent to a worker, and not run by a peer that it was
    /// forwarded to.
    pub(super) fn never_sent(&self) -> bool {
        self.sends == 0 && self.ran() == Ran::No
    }

    /// Returns whether another attempt cannot cause a second execution of a non-idempotent request.
    pub(super) fn is_retry_safe(&self) -> bool {
        self.profile.idempotent || self.ran() == Ran::No
    }

    /// Returns whether the request may be what crashes the backend servers.
    pub(super) fn is_suspect(&self) -> bool {
        self.broken >= MAX_BROKEN
    }

    /// Time left until the deadline, in milliseconds.
    pub(super) fn remaining(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }
}

/// One attempt of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    /// The request; it may be finished already.
    pub request: RequestKey,
    /// Key of the profile's state.
    pub profile_key: ProfileKey,
    /// Team that the attempt counts for.
    pub team: TeamKey,
    /// The worker, or `None` if the request was forwarded to another entry instance.
    pub worker: Option<WorkerKey>,
    /// Resources that the attempt holds on the worker.
    pub demand: Resources,
    /// Priority that the attempt was sent with.
    pub priority: u8,
    /// Whether the attempt counts as long-running work.
    pub long_running: bool,
    /// Whether the attempt counts against the team's quota.
    pub counts_in_quota: bool,
    /// Time of sending.
    pub sent_at: Millis,
    /// Whether the timeout has passed or the connection broke.
    pub overdue: bool,
}

/// Creates a refusal. `retry` is the time after which the caller may retry, in milliseconds.
pub(super) fn refusal(code: Code, ran: Ran, message: &str, retry: Option<u64>) -> Refusal {
    Refusal {
        code,
        ran,
        message: message.to_owned(),
        retry,
        findings: Vec::new(),
    }
}
