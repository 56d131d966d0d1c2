//! Messages of the replica and their handlers.

use std::time::Duration;

use actix::{
    Context,
    Handler,
    Message,
    MessageResult,
    Recipient,
    ResponseFuture, //
};
use quick_error::quick_error;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use super::Replica;
use crate::{
    ids::Offset,
    ledger::{
        effect::{
            Applied,
            Effect, //
        },
        queue::Item,
        record, //
    },
    wire::peer, //
};

quick_error! {
    /// The records were not read back from the log in time.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Unavailable {
        /// The records were not written and will not take effect.
        Dropped {
            display("the log is not available; nothing was written")
        }
        /// The records may still take effect.
        Pending {
            display("the log did not confirm in time; the change may still take effect")
        }
    }
}

/// Writes records in one append. Replies with their effects once this replica has applied them.
#[derive(Debug, Message)]
#[rtype(result = "Result<Vec<Effect>, Unavailable>")]
pub struct Append {
    /// The records; they are written in one log entry.
    pub records: Vec<record::Record>,
    /// Time at which the sender stops waiting.
    pub deadline: Instant,
}

/// Subscribes to the effects of all entries that are applied from now on.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<Applied>);

impl Message for Applied {
    type Result = ();
}

/// Requests the committed entries from an offset on, for a peer.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "peer::Tail")]
pub struct GetTail {
    /// The first requested offset.
    pub from: Offset,
}

/// Applies committed entries from a peer. Replies with the next offset to request.
#[derive(Debug, Message)]
#[rtype(result = "Offset")]
pub struct ApplyTail(pub peer::Tail);

/// Reports the offset of a peer, so that a new replica can tell when it has caught up.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct PeerOffset {
    /// The first offset that the peer has not applied yet.
    pub next: Offset,
}

/// Requests the status of the replica.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "Status")]
pub struct GetStatus;

/// Status of the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// The first offset that is not applied yet.
    pub next: Offset,
    /// Whether the state is complete up to `next`; it must not be used before.
    pub loaded: bool,
    /// Time since the last successful read of the log; `None` while reads succeed.
    pub silent: Option<Duration>,
}

impl Handler<Append> for Replica {
    type Result = ResponseFuture<Result<Vec<Effect>, Unavailable>>;

    fn handle(&mut self, msg: Append, ctx: &mut Context<Self>) -> Self::Result {
        let (reply, answer) = oneshot::channel();
        let records = msg.records.iter().map(serde_json::to_value);
        // Records hold only maps with string keys, so serialisation does not fail.
        let records = records.filter_map(Result::ok).collect();
        self.queue.push(Item {
            reply,
            records,
            deadline: msg.deadline,
        });
        self.schedule_append(ctx);
        Box::pin(async { answer.await.unwrap_or(Err(Unavailable::Pending)) })
    }
}

impl Handler<Subscribe> for Replica {
    type Result = ();

    fn handle(&mut self, msg: Subscribe, _: &mut Context<Self>) {
        self.subscribers.push(msg.0);
    }
}

impl Handler<GetTail> for Replica {
    type Result = MessageResult<GetTail>;

    fn handle(&mut self, msg: GetTail, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.follower.tail(msg.from))
    }
}

impl Handler<ApplyTail> for Replica {
    type Result = MessageResult<ApplyTail>;

    fn handle(&mut self, msg: ApplyTail, ctx: &mut Context<Self>) -> Self::Result {
        match self.follower.apply_tail(msg.0) {
            Ok(all) => all.iter().for_each(|applied| self.publish(applied, ctx)),
            Err(e) => ::log::warn!(error:% = e; "a peer sent an unusable snapshot"),
        }
        MessageResult(self.follower.next())
    }
}

impl Handler<PeerOffset> for Replica {
    type Result = ();

    fn handle(&mut self, msg: PeerOffset, _: &mut Context<Self>) {
        self.catch_up.peer_at(msg.next);
    }
}

impl Handler<GetStatus> for Replica {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Context<Self>) -> Self::Result {
        MessageResult(Status {
            next: self.follower.next(),
            loaded: self.follower.loaded(),
            silent: (self.failures > 0).then(|| self.last_read.elapsed()),
        })
    }
}
