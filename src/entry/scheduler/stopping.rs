//! Graceful shutdown: refuses new work, waits for the work in progress and gives up the leases.

use actix::{
    Context,
    Handler,
    Message,
    MessageResult, //
};

use super::Scheduler;

/// Message that starts or continues a graceful shutdown. The sender repeats it until the answer is
/// `true`.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "bool")]
pub struct Drain;

impl Handler<Drain> for Scheduler {
    type Result = MessageResult<Drain>;

    fn handle(&mut self, _: Drain, ctx: &mut Context<Self>) -> Self::Result {
        if !self.draining {
            log::info!(requests = self.requests.len(); "graceful shutdown started");
            self.draining = true;
            self.requests.drain();
            self.append_tally(ctx);
        }
        if !self.requests.is_idle() || self.requests.attempts() > 0 {
            return MessageResult(false);
        }
        // The leases are given up last, because requests in progress need them.
        self.members.leave();
        self.append_tally(ctx);
        MessageResult(self.workers.holds_none() && self.tally.is_empty())
    }
}
