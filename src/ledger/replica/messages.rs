//! The messages of the replica and what answers them.

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
    /// The records were not seen in the log in time.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Unavailable {
        /// They were never sent and will not take effect.
        Dropped {
            display("the log is not available; nothing was written")
        }
        /// They may still take effect.
        Pending {
            display("the log did not confirm in time; the change may still take effect")
        }
    }
}

/// Writes records in one append. Answers with their effects, once they are applied here.
#[derive(Debug, Message)]
#[rtype(result = "Result<Vec<Effect>, Unavailable>")]
pub struct Append {
    /// The records; they stand together in the log.
    pub records: Vec<record::Record>,
    /// Until when the sender waits.
    pub deadline: Instant,
}

/// Asks for everything that is applied from now on.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<Applied>);

impl Message for Applied {
    type Result = ();
}

/// Asks for the committed entries from an offset on, for a peer.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "peer::Tail")]
pub struct GetTail {
    /// The first offset wanted.
    pub from: Offset,
}

/// Brings committed entries from a peer. Answers with the next offset that is wanted.
#[derive(Debug, Message)]
#[rtype(result = "Offset")]
pub struct ApplyTail(pub peer::Tail);

/// Tells how far a peer is, so that a fresh copy knows when it has caught up.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct PeerOffset {
    /// The first offset that the peer has not applied yet.
    pub next: Offset,
}

/// Asks how the copy stands.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "Status")]
pub struct GetStatus;

/// How the copy stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// The first offset that is not applied yet.
    pub next: Offset,
    /// Whether the state was built whole; before that it must not be used.
    pub loaded: bool,
    /// Since when the log has not answered a read; `None` while it does.
    pub silent: Option<Duration>,
}

impl Handler<Append> for Replica {
    type Result = ResponseFuture<Result<Vec<Effect>, Unavailable>>;

    fn handle(&mut self, msg: Append, ctx: &mut Context<Self>) -> Self::Result {
        let (reply, answer) = oneshot::channel();
        let records = msg.records.iter().map(serde_json::to_value);
        // Records hold no map with keys other than text, so none fails.
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
            Err(e) => ::log::warn!(error:% = e; "a peer sent a snapshot of no use"),
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
