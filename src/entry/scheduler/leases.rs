//! Placement leases: asks, renewals, reports; and the platform's list.

use actix::Context;

use super::Scheduler;
use crate::{
    kernel::workers,
    remote::{
        list,
        worker, //
    }, //
};

impl Scheduler {
    /// Sends the lease messages and heartbeats that are due.
    pub(super) fn beat(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        for action in self.workers.tick(now, &self.members) {
            self.ask(action, ctx);
        }
        self.greet(ctx);
        self.measure();
    }

    /// Sends one lease message.
    fn ask(&mut self, action: workers::LeaseMessage, ctx: &mut Context<Self>) {
        let Some(link) = self.link(action.worker) else {
            return;
        };
        let limit = self.settings.lease.timeout;
        let message = action.message.clone();
        let asked = async move { worker::lease(&link, &message, limit).await };
        self.then(ctx, asked, move |actor, answer, ctx| {
            let now = actor.now();
            let Ok(grant) = answer else {
                actor.workers.on_timeout(action.sent, now, action.worker);
                return;
            };
            let report = actor
                .workers
                .on_answer(action.sent, now, action.worker, grant);
            if let Some(report) = report {
                actor.reported(action.worker, &report, ctx);
            }
            actor.pump();
        });
    }

    /// Reads the platform's list.
    pub(super) fn list(&mut self, ctx: &mut Context<Self>) {
        if self.listing {
            return;
        }
        self.listing = true;
        let platform = self.platform.clone();
        let limit = self.settings.log.timeout;
        let read = async move { list::read(&platform, limit).await };
        self.then(ctx, read, |actor, listing, ctx| {
            actor.listing = false;
            let Ok(listing) = listing else {
                return;
            };
            let now = actor.now();
            actor.members.apply_listing(now, &listing);
            actor.workers.listed(now, &listing);
            actor.bury(&listing, ctx);
            actor
                .links
                .retain(|key, _| actor.workers.get(key).is_some());
        });
    }
}
