//! Request hedging: a second attempt of an idempotent request whose first attempt is slow.

use crate::{
    ids::Millis,
    kernel::{
        WorkerPool,
        requests::{
            Requests,
            types::{
                AttemptKey,
                AttemptKind,
                Dispatch, //
            },
        }, //
    }, //
};

impl Requests {
    /// Sends the hedged attempts that are due. A hedged attempt is dropped if no slot is free right
    /// away.
    pub(super) fn send_hedges(
        &mut self,
        now: Millis,
        pool: &mut dyn WorkerPool,
        sends: &mut Vec<Dispatch>,
    ) {
        while let Some(slow) = self.hedge_timers.pop_due(now) {
            sends.extend(self.send_hedge(now, slow, pool));
        }
    }

    fn send_hedge(
        &mut self,
        now: Millis,
        slow: AttemptKey,
        pool: &mut dyn WorkerPool,
    ) -> Option<Dispatch> {
        let attempt = *self.attempts.get(slow)?;
        let request = self.requests.get(attempt.request)?;
        let alone = request.pending == [slow] && !attempt.overdue && request.broken == 0;
        if !alone || !request.profile.idempotent || request.remaining(now) == 0 {
            return None;
        }
        // A hedged attempt must not take a slot from a waiting request.
        if self.queued > 0 {
            return None;
        }
        let state = &mut self.profiles[attempt.profile_key];
        if state.active >= state.limit.get() || !state.hedge.spend() {
            return None;
        }
        let Some(worker) = self.reserve_worker(now, attempt.profile_key, attempt.worker, pool)
        else {
            self.profiles[attempt.profile_key].hedge.refund();
            return None;
        };
        Some(self.record_send(now, attempt.request, worker, AttemptKind::Hedge))
    }
}
