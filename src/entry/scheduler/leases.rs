//! Placement leases and the platform's instance list.

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
    pub(super) fn lease_tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        for message in self.workers.tick(now, &self.members) {
            self.send_lease_message(message, ctx);
        }
        self.send_heartbeats(ctx);
        self.update_gauges();
    }

    /// Sends one lease message and processes the answer.
    fn send_lease_message(&mut self, message: workers::LeaseMessage, ctx: &mut Context<Self>) {
        let Some(link) = self.link(message.worker) else {
            return;
        };
        let limit = self.settings.lease.timeout;
        let body = message.message.clone();
        let request = async move { worker::lease(&link, &body, limit).await };
        self.spawn_then(ctx, request, move |actor, answer, ctx| {
            let now = actor.now();
            let Ok(grant) = answer else {
                actor.workers.on_timeout(message.sent, now, message.worker);
                return;
            };
            let report = actor
                .workers
                .on_answer(message.sent, now, message.worker, grant);
            if let Some(report) = report {
                actor.on_report(message.worker, &report, ctx);
            }
            actor.dispatch_requests();
        });
    }

    /// Reads the platform's instance list.
    pub(super) fn list(&mut self, ctx: &mut Context<Self>) {
        if self.listing_pending {
            return;
        }
        self.listing_pending = true;
        let platform = self.platform.clone();
        let limit = self.settings.log.timeout;
        let read = async move { list::read(&platform, limit).await };
        self.spawn_then(ctx, read, |actor, listing, ctx| {
            actor.listing_pending = false;
            let Ok(listing) = listing else {
                return;
            };
            let now = actor.now();
            actor.members.apply_listing(now, &listing);
            actor.workers.listed(now, &listing);
            actor.on_listing(&listing, ctx);
            actor
                .links
                .retain(|key, _| actor.workers.get(key).is_some());
        });
    }
}
