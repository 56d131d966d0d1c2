//! The writing half of the replica: group commits, repeated appends and snapshots.

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
        assembly,
        queue::Item,
        record,
        state::State, //
    },
    remote,
    wire::log, //
};

/// Status by which the log refuses an entry that exceeds its largest size.
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
        if self.gather.is_none() {
            self.gather = Some(ctx.run_later(self.cfg.gather, Self::append));
        }
    }

    fn append(&mut self, ctx: &mut Context<Self>) {
        if let Some(timer) = self.gather.take() {
            ctx.cancel_future(timer);
        }
        self.send(0, ctx);
    }

    /// Appends the open batch or a new one, after a number of failures in a row.
    fn send(&mut self, failures: u32, ctx: &mut Context<Self>) {
        let Some(outgoing) = self.queue.outgoing() else {
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
            actor.take_append(id, result, failures, ctx);
        }));
    }

    fn take_append(
        &mut self,
        id: ChangeId,
        result: Result<log::Appended, remote::link::Error>,
        failures: u32,
        ctx: &mut Context<Self>,
    ) {
        let e = match result {
            Ok(_) => {
                self.queue.taken(&id);
                self.resume(&id, 0, ctx);
                return;
            }
            Err(e) => e,
        };
        ::log::debug!(error:% = e, batch:% = id; "append failed");
        if e == remote::link::Error::Status(TOO_LARGE) {
            self.reject(&id);
        } else if !e.may_have_applied() {
            self.queue.recall(&id);
        }
        let failures = failures.saturating_add(1);
        let pause = remote::log::backoff(self.cfg.backoff, failures);
        ctx.run_later(pause, move |actor, ctx| actor.resume(&id, failures, ctx));
    }

    /// Goes on appending, unless the batch was seen in the log and others have gone since.
    fn resume(&mut self, id: &ChangeId, failures: u32, ctx: &mut Context<Self>) {
        if self.appending.as_ref() == Some(id) {
            self.send(failures, ctx);
        }
    }

    /// Gives up a batch that the log will never take.
    fn reject(&mut self, id: &ChangeId) {
        ::log::error!(batch:% = id; "the log refuses a batch as too large");
        for reply in self.queue.reject(id) {
            let _ = reply.send(Err(Unavailable::Dropped));
        }
    }

    pub(super) fn expire(&mut self) {
        for expired in self.queue.expire(Instant::now()) {
            let verdict = match expired.pending {
                true => Unavailable::Pending,
                false => Unavailable::Dropped,
            };
            let _ = expired.reply.send(Err(verdict));
        }
    }

    pub(super) fn schedule_snapshot(&mut self, ctx: &mut Context<Self>) {
        if !self.follower.loaded() {
            return;
        }
        let due = self.follower.read(|state| self.snapshots.due(state));
        let Some(pause) = due else {
            return;
        };
        ctx.run_later(pause, Self::append_snapshot);
    }

    /// Appends a snapshot, unless another instance has done so meanwhile.
    fn append_snapshot(&mut self, _: &mut Context<Self>) {
        if !self.follower.read(|state| self.snapshots.fire(state)) {
            return;
        }
        let snapshot = self.follower.read(State::snapshot);
        let text = snapshot.state.to_string();
        let limit = self.cfg.timeout * 2 + self.log.limit(text.len());
        for part in assembly::cut(snapshot.next, &text, assembly::PART) {
            let Ok(record) = serde_json::to_value(record::Record::Snapshot(part)) else {
                return;
            };
            // Nobody waits for it; the next one is due anyhow when it is lost.
            let (reply, _) = oneshot::channel();
            self.queue.push(Item {
                reply,
                records: vec![record],
                deadline: Instant::now() + limit,
            });
        }
    }
}
