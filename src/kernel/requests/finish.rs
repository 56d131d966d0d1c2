//! What becomes of a request when one of its attempts has ended.

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
                Phase, //
            },
            types::{
                AttemptKey,
                Outcome,
                RequestKey,
                Step, //
            },
        }, //
    },
    wire::caller::{
        Code,
        Ran, //
    }, //
};

/// Doublings of the backoff at most.
const MOST_DOUBLINGS: u32 = 6;

impl Requests {
    /// Takes in what became of an attempt.
    ///
    /// An attempt may be reported twice: as silent, then with the answer that came late after all.
    /// The slot of a silent or broken attempt stays taken until then or until
    /// [`Requests::settled`].
    pub fn finished(
        &mut self,
        now: Millis,
        attempt: AttemptKey,
        outcome: Outcome,
        room: &mut dyn WorkerPool,
    ) -> Step {
        let Some(found) = self.attempts.get(attempt).copied() else {
            return Step::Ignore;
        };
        self.learn(now, &found, outcome);
        match outcome {
            Outcome::Answered { .. } => {
                self.close(attempt, room);
                self.answer(found.request)
            }
            Outcome::Backend { .. } => {
                self.close(attempt, room);
                if let Some(request) = self.requests.get_mut(found.request) {
                    request.ran = true;
                }
                self.fail(now, &found)
            }
            Outcome::NotRun => {
                self.close(attempt, room);
                self.fail(now, &found)
            }
            Outcome::Silent => {
                self.attempts[attempt].silent = true;
                self.fail(now, &found)
            }
            Outcome::Cut => {
                self.attempts[attempt].silent = true;
                self.lose(attempt, &found, room);
                self.fail(now, &found)
            }
        }
    }

    /// Takes in that an attempt of unknown outcome does not run any more.
    pub fn settled(&mut self, now: Millis, attempt: AttemptKey, room: &mut dyn WorkerPool) -> Step {
        let Some(found) = self.attempts.get(attempt).copied() else {
            return Step::Ignore;
        };
        self.forget_word(attempt, &found);
        self.close(attempt, room);
        self.fail(now, &found)
    }

    /// Takes in that a worker restarted or its placement lease is gone for good: nothing that was
    /// sent there runs any more under this lease, and its room is the lease table's matter.
    ///
    /// Returns the attempts that were there; each one's outcome is unknown.
    pub fn forget_worker(&mut self, worker: WorkerKey) -> Vec<AttemptKey> {
        self.workers.forget(worker);
        let there = self
            .attempts
            .iter()
            .filter(|(_, a)| a.worker == Some(worker));
        there.map(|(key, _)| key).collect()
    }

    /// Drops a request whose caller went away. Returns its attempts in progress, which the shell
    /// may break off; they are to be reported all the same.
    pub fn cancel(&mut self, key: RequestKey) -> Vec<AttemptKey> {
        match self.take_out(key) {
            Some(request) => request.live,
            None => Vec::new(),
        }
    }

    fn answer(&mut self, key: RequestKey) -> Step {
        match self.take_out(key) {
            Some(_) => Step::Answer,
            None => Step::Ignore,
        }
    }

    /// Decides about a request one of whose attempts has failed.
    fn fail(&mut self, now: Millis, failed: &Attempt) -> Step {
        let key = failed.request;
        let Some(request) = self.requests.get_mut(key) else {
            return Step::Ignore;
        };
        if request.phase != Phase::Active {
            return Step::Ignore;
        }
        request.avoid = failed.worker;
        let attempts = &self.attempts;
        let running = |a: &AttemptKey| attempts.get(*a).is_some_and(|a| !a.silent);
        if request.live.iter().any(running) {
            return Step::Ignore;
        }
        if let Some(step) = self.come_back(now, failed) {
            return step;
        }
        if let Some(at) = self.backoff(now, failed) {
            self.requests[key].phase = Phase::Delayed;
            self.delayed.add(at, key);
            return Step::Retry { at };
        }
        let request = &self.requests[key];
        let end = request.deadline.plus(self.cfg.grace.as_millis() as u64);
        if !request.live.is_empty() && now < end {
            return Step::Ignore;
        }
        self.give_up(key)
    }

    /// Queues a request again that another instance passed back unrun.
    fn come_back(&mut self, now: Millis, failed: &Attempt) -> Option<Step> {
        let request = self.requests.get(failed.request)?;
        if failed.worker.is_some() || request.ran() != Ran::No || request.left(now) == 0 {
            return None;
        }
        self.enqueue(failed.request);
        Some(Step::Retry { at: now })
    }

    /// When a failed request may be sent again, or `None` when it may not.
    /// One that another instance left without an answer costs no retry budget: it was never sent
    /// from here, and is passed on only once.
    fn backoff(&mut self, now: Millis, failed: &Attempt) -> Option<Millis> {
        let request = &self.requests[failed.request];
        let class = &mut self.classes[request.class];
        let retry = &request.profile.retry;
        if !request.may_repeat() || request.sent >= retry.attempts {
            return None;
        }
        let doublings = u32::from(request.sent.saturating_sub(1)).min(MOST_DOUBLINGS);
        let base = retry.backoff << doublings;
        let span = self.random.random_range(base / 2..=base);
        let start = now.plus(span);
        if start.plus(class.estimate.typical()) > request.deadline {
            return None;
        }
        let free = failed.worker.is_none();
        (free || class.retry.spend()).then_some(start)
    }

    /// Ends a request that will not be sent again.
    fn give_up(&mut self, key: RequestKey) -> Step {
        let Some(request) = self.take_out(key) else {
            return Step::Ignore;
        };
        let ran = request.ran();
        let class = &self.classes[request.class];
        let retry =
            (ran == Ran::No).then(|| class.estimate.cost().max(request.profile.retry.backoff));
        let (code, message) = match ran {
            Ran::Yes => (Code::Backend, "the backend server failed"),
            Ran::Unknown => (Code::OutcomeUnknown, "no whole answer came back"),
            Ran::No => (Code::NoWorker, "no worker took it"),
        };
        Step::Refuse(request::refusal(code, ran, message, retry))
    }

    /// Gives an attempt's room back and forgets it.
    fn close(&mut self, key: AttemptKey, room: &mut dyn WorkerPool) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.live.retain(|a| *a != key);
        }
        let Some(worker) = attempt.worker else {
            return;
        };
        let demand = &attempt.demand;
        room.release(worker, demand);
        self.workers
            .ended(worker, if attempt.long { demand.slots } else { 0 });
        self.slots.give(attempt.priority, demand.slots);
        let class = &mut self.classes[attempt.class];
        class.active = class.active.saturating_sub(1);
        class.held = class.held.minus(demand).unwrap_or_default();
        if attempt.counted {
            let team = &mut self.teams[attempt.team];
            team.held = team.held.minus(demand).unwrap_or_default();
        }
    }

    /// Notes that no word will come of an attempt's outcome, while its slot stays taken.
    fn lose(&mut self, key: AttemptKey, attempt: &Attempt, room: &mut dyn WorkerPool) {
        self.forget_word(key, attempt);
        if attempt.worker.is_none() {
            self.close(key, room);
        }
    }

    fn forget_word(&mut self, key: AttemptKey, attempt: &Attempt) {
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        if request.live.contains(&key) {
            request.live.retain(|a| *a != key);
            request.unknown = true;
        }
    }

    /// Learns about the worker and the profile.
    fn learn(&mut self, now: Millis, attempt: &Attempt, outcome: Outcome) {
        let class = &mut self.classes[attempt.class];
        let Some(worker) = attempt.worker else {
            return;
        };
        match outcome {
            Outcome::Answered { took } => {
                let took = match took {
                    0 => now.since(attempt.sent),
                    reported => reported,
                };
                class.estimate.learn(took);
                class.limit.learn(now, true);
                self.workers.succeeded(worker, took);
            }
            _ if attempt.silent => {}
            _ => {
                class.limit.learn(now, false);
                self.workers.failed(now, worker, &self.cfg);
            }
        }
    }
}
