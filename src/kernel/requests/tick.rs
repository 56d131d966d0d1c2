//! Timer handling: deadlines, ends of backoffs, stragglers and classification of long-running
//! profiles.

use crate::{
    ids::Millis,
    kernel::requests::{
        Requests,
        request::{
            self,
            Phase, //
        },
        types::{
            AttemptKey,
            Notice,
            RequestKey, //
        },
    },
    wire::caller::Code, //
};

/// Interval at which profiles are classified as long-running or not, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 500;

impl Requests {
    /// Handles the timers that are due. Returns the actions that follow from them or are still
    /// pending.
    pub fn tick(&mut self, now: Millis) -> Vec<Notice> {
        self.worker_stats.readmit(now);
        while let Some(key) = self.deadline_timers.pop_due(now) {
            self.expire(now, key);
        }
        while let Some(key) = self.straggler_timers.pop_due(now) {
            self.mark_straggler(key);
        }
        if now.since(self.last_review) >= REVIEW_INTERVAL_MS {
            self.last_review = now;
            self.classify_long_running();
        }
        self.take_notices()
    }

    /// Queues requests whose backoff is over.
    pub(super) fn requeue_delayed(&mut self, now: Millis) {
        while let Some(key) = self.backoff_timers.pop_due(now) {
            let delayed = |r: &request::Request| r.phase == Phase::Backoff;
            if self.requests.get(key).is_some_and(delayed) {
                self.enqueue(key);
            }
        }
    }

    fn expire(&mut self, now: Millis, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let grace = self.cfg.grace.as_millis() as u64;
        let end = request.deadline.plus(grace * 2);
        if !request.pending.is_empty() && now < end {
            self.deadline_timers.add(end, key);
            return;
        }
        let ran = request.ran();
        let (code, message) = match ran {
            crate::wire::caller::Ran::Unknown => {
                (Code::OutcomeUnknown, "no whole answer came back")
            }
            _ => (Code::Deadline, "the deadline passed"),
        };
        let refusal = request::refusal(code, ran, message, None);
        self.refuse(key, refusal);
    }

    /// Counts an attempt that ran much longer than its profile's requests do as long-running.
    fn mark_straggler(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        let Some(worker) = attempt.worker else {
            return;
        };
        if attempt.long_running {
            return;
        }
        attempt.long_running = true;
        self.worker_stats
            .add_long_slots(worker, attempt.demand.slots);
    }

    /// Classifies profiles as long-running, and sets the number of slots that these leave free.
    fn classify_long_running(&mut self) {
        let known = self.profiles.values().filter(|c| c.estimate.is_known());
        let Some(shortest) = known.map(|c| c.estimate.mean()).min() else {
            return;
        };
        let bound = (shortest as f64 * self.cfg.straggler) as u64;
        let spare = self.cfg.spare;
        for state in self.profiles.values_mut() {
            let known = state.estimate.is_known();
            let long = known && state.estimate.mean() >= bound;
            let declared = state.profile.limits.reserve;
            state.reserve = if long { declared.max(spare) } else { declared };
        }
    }
}
