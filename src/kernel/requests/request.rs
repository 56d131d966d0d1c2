//! A request and its attempts.

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

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// In its profile's queue.
    Queued(Position),
    /// Waiting for the end of a backoff.
    Backoff,
    /// Sent.
    Active,
}

/// A request that has not got its final step.
#[derive(Debug)]
pub(super) struct Request {
    /// The caller's id.
    pub id: RequestId,
    /// Its profile's state.
    pub profile_key: ProfileKey,
    /// The profile version that it was admitted under.
    pub profile: Arc<Profile>,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// When it arrived.
    pub arrived: Millis,
    /// When it must have finished.
    pub deadline: Millis,
    /// Whether it may not be passed on to another instance.
    pub forwarded: bool,
    /// Where it is.
    pub phase: Phase,
    /// Its arrival's number.
    pub seq: u64,
    /// Its team's virtual time at the arrival, in milliseconds.
    pub virtual_time: u64,
    /// Sends to workers.
    pub sends: u8,
    /// Attempts of which a word may still come.
    pub pending: Vec<AttemptKey>,
    /// Whether an attempt of unknown outcome may have run.
    pub unknown: bool,
    /// Whether a backend server said that it ran.
    pub backend_ran: bool,
    /// The worker of the last failed attempt.
    pub avoid_worker: Option<WorkerKey>,
}

impl Request {
    /// Whether the work ran, as far as is known.
    pub(super) fn ran(&self) -> Ran {
        if self.backend_ran {
            return Ran::Yes;
        }
        if self.unknown || !self.pending.is_empty() {
            return Ran::Unknown;
        }
        Ran::No
    }

    /// Whether it was never sent anywhere, or only to a peer that handed it back unrun.
    pub(super) fn never_sent(&self) -> bool {
        self.sends == 0 && self.ran() == Ran::No
    }

    /// Whether another send can do no harm.
    pub(super) fn is_retry_safe(&self) -> bool {
        self.profile.idempotent || self.ran() == Ran::No
    }

    /// The time left, in milliseconds.
    pub(super) fn remaining(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }
}

/// One send of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    /// The request; it may be gone.
    pub request: RequestKey,
    /// Its profile's state.
    pub profile_key: ProfileKey,
    /// The team that it counts for.
    pub team: TeamKey,
    /// The worker, or `None` for another entry instance.
    pub worker: Option<WorkerKey>,
    /// What it holds there.
    pub demand: Resources,
    /// The priority that it was sent with.
    pub priority: u8,
    /// Whether it counts as long work.
    pub long_running: bool,
    /// Whether it counts against the team's quota.
    pub counts_in_quota: bool,
    /// When it was sent.
    pub sent_at: Millis,
    /// Whether its timeout has passed or its exchange broke off.
    pub overdue: bool,
}

/// A refusal. `retry` is the time after which to try again, in milliseconds.
pub(super) fn refusal(code: Code, ran: Ran, message: &str, retry: Option<u64>) -> Refusal {
    Refusal {
        code,
        ran,
        message: message.to_owned(),
        retry,
        findings: Vec::new(),
    }
}
