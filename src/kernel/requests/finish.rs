//! Handling of finished attempts: response, retry or refusal of the request.

use rand::Rng;

use crate::{
    ids::Millis,
    kernel::{
        WorkerKey,
        WorkerPool,
        requests::{
            Requests,
            request::{
                self,
                Attempt,
                Phase,
                Request, //
            },
            types::{
                Action,
                AttemptKey,
                Outcome,
                RequestKey, //
            },
        }, //
    },
    wire::caller::{
        Code,
        Ran, //
    }, //
};

/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

impl Requests {
    /// Handles the outcome of an attempt.
    ///
    /// An attempt may be reported twice: first as timed out, then with a late response. The slot of
    /// an attempt that timed out or lost its connection stays reserved until then or until
    /// [`Requests::settle_attempt`].
    pub fn finish_attempt(
        &mut self,
        now: Millis,
        attempt: AttemptKey,
        outcome: Outcome,
        pool: &mut dyn WorkerPool,
    ) -> Action {
        let Some(found) = self.attempts.get(attempt).copied() else {
            return Action::Ignore;
        };
        self.record_outcome(now, &found, outcome);
        match outcome {
            Outcome::Answered { .. } => {
                self.close_attempt(attempt, pool);
                self.complete(found.request)
            }
            Outcome::BackendError { .. } => {
                self.close_attempt(attempt, pool);
                if let Some(request) = self.requests.get_mut(found.request) {
                    request.backend_ran = true;
                }
                self.handle_failure(now, &found)
            }
            Outcome::NotRun => {
                self.close_attempt(attempt, pool);
                self.handle_failure(now, &found)
            }
            Outcome::TimedOut => {
                self.attempts[attempt].overdue = true;
                self.handle_failure(now, &found)
            }
            Outcome::ConnectionLost => {
                self.attempts[attempt].overdue = true;
                self.abandon(attempt, &found, 1, pool);
                self.handle_failure(now, &found)
            }
            Outcome::Unknown => {
                self.abandon(attempt, &found, request::MAX_BROKEN, pool);
                self.handle_failure(now, &found)
            }
        }
    }

    /// Handles the information that an attempt of unknown outcome no longer runs.
    pub fn settle_attempt(
        &mut self,
        now: Millis,
        attempt: AttemptKey,
        pool: &mut dyn WorkerPool,
    ) -> Action {
        let Some(found) = self.attempts.get(attempt).copied() else {
            return Action::Ignore;
        };
        self.mark_unknown(attempt, &found);
        self.close_attempt(attempt, pool);
        self.handle_failure(now, &found)
    }

    /// Removes a worker that restarted or whose placement lease ended for good. Attempts that were
    /// sent to the worker no longer run under this lease; the lease table accounts for their
    /// resources.
    ///
    /// Returns these attempts; the outcome of each is unknown.
    pub fn remove_worker(&mut self, worker: WorkerKey) -> Vec<AttemptKey> {
        self.worker_stats.remove(worker);
        let sent_there = self
            .attempts
            .iter()
            .filter(|(_, a)| a.worker == Some(worker));
        sent_there.map(|(key, _)| key).collect()
    }

    /// Removes a request whose caller disconnected. Returns its open attempts, which may be aborted
    /// but must still be reported.
    pub fn cancel(&mut self, key: RequestKey) -> Vec<AttemptKey> {
        match self.remove_request(key) {
            Some(request) => request.pending,
            None => Vec::new(),
        }
    }

    fn complete(&mut self, key: RequestKey) -> Action {
        match self.remove_request(key) {
            Some(_) => Action::Answer,
            None => Action::Ignore,
        }
    }

    /// Decides how to proceed with a request after a failed attempt.
    fn handle_failure(&mut self, now: Millis, failed: &Attempt) -> Action {
        let key = failed.request;
        if self.requests.get(key).is_some_and(Request::is_suspect) {
            // A retry that waits is not sent any more.
            self.mark_active(key);
        }
        let Some(request) = self.requests.get_mut(key) else {
            return Action::Ignore;
        };
        if request.phase != Phase::Active {
            return Action::Ignore;
        }
        request.avoid_worker = failed.worker;
        let attempts = &self.attempts;
        let in_progress = |a: &AttemptKey| attempts.get(*a).is_some_and(|a| !a.overdue);
        if request.pending.iter().any(in_progress) {
            return Action::Ignore;
        }
        if let Some(action) = self.requeue_returned(now, failed) {
            return action;
        }
        if let Some(at) = self.backoff(now, failed) {
            self.requests[key].phase = Phase::Backoff;
            self.backoff_timers.add(at, key);
            return Action::Retry { at };
        }
        let request = &self.requests[key];
        let end = request.deadline.plus(self.cfg.grace.as_millis() as u64);
        if !request.pending.is_empty() && now < end {
            return Action::Ignore;
        }
        self.give_up(key)
    }

    /// Requeues a request that a peer returned without running it.
    fn requeue_returned(&mut self, now: Millis, failed: &Attempt) -> Option<Action> {
        let request = self.requests.get(failed.request)?;
        if failed.worker.is_some() || request.ran() != Ran::No || request.remaining(now) == 0 {
            return None;
        }
        self.enqueue(failed.request);
        Some(Action::Retry { at: now })
    }

    /// Time at which a failed request may be retried, or `None` if it may not. A retry after a peer
    /// that did not respond is not charged to the retry budget: the request was never sent from
    /// this instance to a worker, and is forwarded only once.
    fn backoff(&mut self, now: Millis, failed: &Attempt) -> Option<Millis> {
        let request = &self.requests[failed.request];
        let state = &mut self.profiles[request.profile_key];
        let retry = &request.profile.retry;
        let allowed = request.is_retry_safe() && !request.is_suspect();
        if !allowed || request.sends >= retry.attempts {
            return None;
        }
        let doublings = u32::from(request.sends.saturating_sub(1)).min(MAX_BACKOFF_DOUBLINGS);
        let base = retry.backoff << doublings;
        let span = self.random.random_range(base / 2..=base);
        let start = now.plus(span);
        if start.plus(state.estimate.median_or_zero()) > request.deadline {
            return None;
        }
        let free = failed.worker.is_none();
        (free || state.retry.spend()).then_some(start)
    }

    /// Finishes a request that will not be retried.
    fn give_up(&mut self, key: RequestKey) -> Action {
        let Some(request) = self.remove_request(key) else {
            return Action::Ignore;
        };
        let ran = request.ran();
        let state = &self.profiles[request.profile_key];
        let retry =
            (ran == Ran::No).then(|| state.estimate.cost().max(request.profile.retry.backoff));
        let (code, message) = match ran {
            Ran::Yes => (Code::Backend, "the backend server failed"),
            Ran::Unknown => (Code::OutcomeUnknown, "no whole answer came back"),
            Ran::No => (Code::NoWorker, "no worker took it"),
        };
        Action::Refuse(request::refusal(code, ran, message, retry))
    }

    /// Releases the resources of an attempt and removes it.
    fn close_attempt(&mut self, key: AttemptKey, pool: &mut dyn WorkerPool) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.pending.retain(|a| *a != key);
        }
        let Some(worker) = attempt.worker else {
            return;
        };
        let demand = &attempt.demand;
        pool.release(worker, demand);
        self.worker_stats.attempt_ended(
            worker,
            if attempt.long_running {
                demand.slots
            } else {
                0
            },
        );
        self.slots.release(attempt.priority, demand.slots);
        let state = &mut self.profiles[attempt.profile_key];
        state.active = state.active.saturating_sub(1);
        state.held = state.held.minus(demand).unwrap_or_default();
        if attempt.counts_in_quota {
            let team = &mut self.teams[attempt.team];
            team.held = team.held.minus(demand).unwrap_or_default();
        }
    }

    /// Marks the outcome of an attempt as unknown for good, after `broken` connections broke. Its
    /// slot on a worker stays reserved.
    fn abandon(
        &mut self,
        key: AttemptKey,
        attempt: &Attempt,
        broken: u8,
        pool: &mut dyn WorkerPool,
    ) {
        if let Some(request) = self.requests.get_mut(attempt.request)
            && request.pending.contains(&key)
        {
            request.broken = request.broken.saturating_add(broken);
        }
        self.mark_unknown(key, attempt);
        if attempt.worker.is_none() {
            self.close_attempt(key, pool);
        }
    }

    fn mark_unknown(&mut self, key: AttemptKey, attempt: &Attempt) {
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        if request.pending.contains(&key) {
            request.pending.retain(|a| *a != key);
            request.unknown = true;
        }
    }

    /// Updates the statistics of the worker and the profile.
    fn record_outcome(&mut self, now: Millis, attempt: &Attempt, outcome: Outcome) {
        let state = &mut self.profiles[attempt.profile_key];
        let Some(worker) = attempt.worker else {
            return;
        };
        match outcome {
            Outcome::Answered { took } => {
                let took = match took {
                    0 => now.since(attempt.sent_at),
                    reported => reported,
                };
                state.estimate.record(took);
                state.limit.record(now, true);
                self.worker_stats.record_success(worker, took);
            }
            _ if attempt.overdue => {}
            _ => {
                state.limit.record(now, false);
                self.worker_stats.record_failure(now, worker, &self.cfg);
            }
        }
    }
}
