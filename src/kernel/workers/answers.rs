//! Applies the answers to lease messages to the lease of a worker.

use crate::{
    configs::lease,
    ids::Millis,
    kernel::workers::{
        steps::millis,
        worker::{
            HeldLease,
            LeaseState,
            Worker, //
        }, //
    },
    wire::worker::Report, //
};

/// Handles a granted lease. Returns the report if it was made under the current token.
pub(super) fn granted(
    cfg: &lease::Lease,
    entry: &mut Worker,
    sent: Millis,
    now: Millis,
    report: Report,
) -> Option<Report> {
    let expires = sent.plus(millis(cfg.ttl).saturating_sub(millis(cfg.margin)));
    if report.token <= entry.last_token || report.incarnation < entry.incarnation || now >= expires
    {
        return None;
    }
    let Some(held) = entry.lease.held_mut() else {
        return acquire(entry, sent, now, expires, report);
    };
    if report.token > held.token {
        return acquire(entry, sent, now, expires, report);
    }
    if report.token < held.token || report.incarnation != held.incarnation {
        return None;
    }
    held.expires = held.expires.max(expires);
    if held.sent == sent {
        held.awaiting_answer = false;
    }
    if sent < held.reported {
        return None;
    }
    held.reported = sent;
    entry.apply_report(&report);
    Some(report)
}

/// Starts holding the lease under the token of the report.
fn acquire(
    entry: &mut Worker,
    sent: Millis,
    now: Millis,
    expires: Millis,
    report: Report,
) -> Option<Report> {
    entry.lease = LeaseState::Held(HeldLease {
        token: report.token,
        incarnation: report.incarnation,
        since: now,
        expires,
        requested: sent,
        sent,
        awaiting_answer: false,
        reported: sent,
    });
    entry.apply_first_report(&report);
    Some(report)
}

/// Handles a refusal: another instance holds the lease for another `left` milliseconds.
pub(super) fn refused(
    cfg: &lease::Lease,
    entry: &mut Worker,
    sent: Millis,
    now: Millis,
    left: u64,
) {
    let LeaseState::Requesting {
        sent: requested, ..
    } = entry.lease
    else {
        return;
    };
    if requested != sent {
        return;
    }
    let wait = left.clamp(1, millis(cfg.renew));
    entry.handovers = 0;
    entry.lease = LeaseState::Unheld {
        since: now,
        next: now.plus(wait),
    };
}

/// Handles the rejection of the message sent at `sent`, whose token is not the current token of the
/// worker.
pub(super) fn fenced(entry: &mut Worker, sent: Millis, now: Millis) {
    let lost = entry.lease.held().is_some_and(|t| sent > t.requested);
    if lost {
        entry.end_lease(now, now);
    }
}
