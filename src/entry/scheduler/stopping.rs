//! Graceful shutdown: no new work, what is in progress ends, leases are given up.

use actix::{
    Context,
    Handler,
    Message,
    MessageResult, //
};

use super::Scheduler;

/// Begins, or goes on with, a graceful shutdown. Sent again until it answers `true`.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "bool")]
pub struct Drain;

impl Handler<Drain> for Scheduler {
    type Result = MessageResult<Drain>;

    fn handle(&mut self, _: Drain, ctx: &mut Context<Self>) -> Self::Result {
        if !self.draining {
            log::info!(requests = self.requests.len(); "draining");
            self.draining = true;
            self.requests.drain();
            self.append_tally(ctx);
        }
        if !self.requests.is_idle() || self.requests.attempts() > 0 {
            return MessageResult(false);
        }
        // Only now: requests in progress need the leases.
        self.members.leave();
        self.append_tally(ctx);
        MessageResult(self.workers.holds_none() && self.tally.is_empty())
    }
}
