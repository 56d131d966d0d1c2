//! What time brings: deadlines, ends of backoffs, stragglers, learned classes.

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

/// Time between looks at which profiles are long work, in milliseconds.
const REVIEW: u64 = 500;

impl Requests {
    /// Ends what has run out of time. Returns all steps that nobody asked about.
    pub fn tick(&mut self, now: Millis) -> Vec<Notice> {
        self.workers.readmit(now);
        while let Some(key) = self.deadlines.take(now) {
            self.expire(now, key);
        }
        while let Some(key) = self.stragglers.take(now) {
            self.lengthen(key);
        }
        if now.since(self.reviewed) >= REVIEW {
            self.reviewed = now;
            self.review();
        }
        self.notices()
    }

    /// Queues requests whose backoff is over.
    pub(super) fn end_backoffs(&mut self, now: Millis) {
        while let Some(key) = self.delayed.take(now) {
            let delayed = |r: &request::Request| r.phase == Phase::Delayed;
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
        if !request.live.is_empty() && now < end {
            self.deadlines.add(end, key);
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

    /// Counts an attempt that outlived its class as long work.
    fn lengthen(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        let Some(worker) = attempt.worker else {
            return;
        };
        if attempt.long {
            return;
        }
        attempt.long = true;
        self.workers.lengthen(worker, attempt.demand.slots);
    }

    /// Learns which profiles are long work.
    fn review(&mut self) {
        let known = self.classes.values().filter(|c| c.estimate.is_known());
        let Some(shortest) = known.map(|c| c.estimate.mean()).min() else {
            return;
        };
        let bound = (shortest as f64 * self.cfg.straggler) as u64;
        let spare = self.cfg.spare;
        for class in self.classes.values_mut() {
            let known = class.estimate.is_known();
            let long = known && class.estimate.mean() >= bound;
            let declared = class.profile.limits.reserve;
            class.reserve = if long { declared.max(spare) } else { declared };
        }
    }
}
