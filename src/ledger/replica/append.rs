//! Writes of the replica: group commits, retried appends and snapshots.

use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    WrapFuture, //
};
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use super::{
    Replica,
    Unavailable, //
};
use crate::{
    ids::ChangeId,
    ledger::{
        queue::Item,
        reassembly,
        record,
        state::State, //
    },
    remote,
    wire::log, //
};

/// HTTP status with which the log rejects an entry above its size limit.
const TOO_LARGE: u16 = 413;

impl Replica {
    pub(super) fn schedule_append(&mut self, ctx: &mut Context<Self>) {
        if self.appending.is_some() || self.queue.waiting() == 0 {
            return;
        }
        if self.queue.waiting() >= usize::try_from(self.cfg.batch).unwrap_or(1) {
            self.append(ctx);
            return;
        }
        if self.batch_timer.is_none() {
            self.batch_timer = Some(ctx.run_later(self.cfg.gather, Self::append));
        }
    }

    fn append(&mut self, ctx: &mut Context<Self>) {
        if let Some(timer) = self.batch_timer.take() {
            ctx.cancel_future(timer);
        }
        self.send(0, ctx);
    }

    /// Appends the unacknowledged batch or a new one, after a number of consecutive failures.
    fn send(&mut self, failures: u32, ctx: &mut Context<Self>) {
        let Some(outgoing) = self.queue.next_outgoing() else {
            self.appending = None;
            return;
        };
        self.appending = Some(outgoing.id.clone());
        let log = self.log.clone();
        let append = async move {
            let result = log.append(outgoing.text).await;
            (outgoing.id, result)
        };
        let append = append.into_actor(self);
        ctx.spawn(append.map(move |(id, result), actor, ctx| {
            actor.handle_append_result(id, result, failures, ctx);
        }));
    }

    fn handle_append_result(
        &mut self,
        id: ChangeId,
        result: Result<log::Appended, remote::link::Error>,
        failures: u32,
        ctx: &mut Context<Self>,
    ) {
        let e = match result {
            Ok(_) => {
                self.queue.acknowledge(&id);
                self.resume(&id, 0, ctx);
                return;
            }
            Err(e) => e,
        };
        ::log::debug!(error:% = e, batch:% = id; "append failed");
        if e == remote::link::Error::Status(TOO_LARGE) {
            self.reject(&id);
        } else if !e.may_have_applied() {
            self.queue.requeue_unsent(&id);
        }
        let failures = failures.saturating_add(1);
        let pause = remote::log::backoff(self.cfg.backoff, failures);
        ctx.run_later(pause, move |actor, ctx| actor.resume(&id, failures, ctx));
    }

    /// Continues appending, unless the batch was read back from the log in the meantime.
    fn resume(&mut self, id: &ChangeId, failures: u32, ctx: &mut Context<Self>) {
        if self.appending.as_ref() == Some(id) {
            self.send(failures, ctx);
        }
    }

    /// Drops a batch that the log rejects as too large.
    fn reject(&mut self, id: &ChangeId) {
        ::log::error!(batch:% = id; "log rejected a batch as too large; its records are dropped");
        for reply in self.queue.reject(id) {
            let _ = reply.send(Err(Unavailable::Dropped));
        }
    }

    pub(super) fn expire(&mut self) {
        for expired in self.queue.expire(Instant::now()) {
            let error = match expired.pending {
                true => Unavailable::Pending,
                false => Unavailable::Dropped,
            };
            let _ = expired.reply.send(Err(error));
        }
    }

    pub(super) fn schedule_snapshot(&mut self, ctx: &mut Context<Self>) {
        if !self.follower.loaded() {
            return;
        }
        let due = self.follower.read(|state| self.snapshots.schedule(state));
        let Some(pause) = due else {
            return;
        };
        ctx.run_later(pause, Self::append_snapshot);
    }

    /// Appends a snapshot, unless another instance has done so in the meantime.
    fn append_snapshot(&mut self, _: &mut Context<Self>) {
        if !self.follower.read(|state| self.snapshots.confirm(state)) {
            return;
        }
        let snapshot = self.follower.read(State::snapshot);
        let text = snapshot.state.to_string();
        let limit = self.cfg.timeout * 2 + self.log.limit(text.len());
        for part in reassembly::split(snapshot.next, &text, reassembly::MAX_PART_BYTES) {
            let Ok(record) = serde_json::to_value(record::Record::Snapshot(part)) else {
                return;
            };
            // No sender waits for the reply; a lost snapshot becomes due again.
            let (reply, _) = oneshot::channel();
            self.queue.push(Item {
                reply,
                records: vec![record],
                deadline: Instant::now() + limit,
            });
        }
    }
}
