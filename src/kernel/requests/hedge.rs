//! Hedged requests: a second copy of an idempotent request whose first one is slow.

use crate::{
    ids::Millis,
    kernel::{
        WorkerPool,
        requests::{
            Requests,
            types::{
                AttemptKey,
                Dispatch,
                Kind, //
            },
        }, //
    }, //
};

impl Requests {
    /// Sends the hedged copies that are due. A copy that finds no room at once is not sent.
    pub(super) fn send_hedges(
        &mut self,
        now: Millis,
        room: &mut dyn WorkerPool,
        sends: &mut Vec<Dispatch>,
    ) {
        while let Some(slow) = self.slow.take(now) {
            sends.extend(self.send_hedge(now, slow, room));
        }
    }

    fn send_hedge(
        &mut self,
        now: Millis,
        slow: AttemptKey,
        room: &mut dyn WorkerPool,
    ) -> Option<Dispatch> {
        let attempt = *self.attempts.get(slow)?;
        let request = self.requests.get(attempt.request)?;
        let alone = request.live == [slow] && !attempt.silent;
        if !alone || !request.profile.idempotent || request.left(now) == 0 {
            return None;
        }
        // A copy never takes a slot that a waiting request could have.
        if self.queued > 0 {
            return None;
        }
        let class = &mut self.classes[attempt.class];
        if class.active >= class.limit.get() || !class.hedge.spend() {
            return None;
        }
        let Some(worker) = self.choose(now, attempt.class, attempt.worker, room) else {
            self.classes[attempt.class].hedge.give_back();
            return None;
        };
        Some(self.send(now, attempt.request, worker, Kind::Hedge))
    }
}
