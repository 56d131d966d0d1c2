//! What the answers to lease messages do to a worker's lease.

use crate::{
    configs::lease,
    ids::Millis,
    kernel::workers::{
        steps::millis,
        worker::{
            Life,
            Tenure,
            Worker, //
        }, //
    },
    wire::worker::Report, //
};

/// Takes in a grant. Returns the report when it is one under the token that is held now.
pub(super) fn granted(
    cfg: &lease::Lease,
    entry: &mut Worker,
    sent: Millis,
    now: Millis,
    report: Report,
) -> Option<Report> {
    let until = sent.plus(millis(cfg.ttl).saturating_sub(millis(cfg.margin)));
    if report.token <= entry.floor || report.boot < entry.boot || now >= until {
        return None;
    }
    let Some(tenure) = entry.life.tenure_mut() else {
        return take(entry, sent, now, until, report);
    };
    if report.token > tenure.token {
        return take(entry, sent, now, until, report);
    }
    if report.token < tenure.token || report.boot != tenure.boot {
        return None;
    }
    tenure.until = tenure.until.max(until);
    if tenure.sent == sent {
        tenure.pending = false;
    }
    if sent < tenure.reported {
        return None;
    }
    tenure.reported = sent;
    entry.take_report(&report);
    Some(report)
}

/// Starts a tenure.
fn take(
    entry: &mut Worker,
    sent: Millis,
    now: Millis,
    until: Millis,
    report: Report,
) -> Option<Report> {
    entry.life = Life::Held(Tenure {
        token: report.token,
        boot: report.boot,
        since: now,
        until,
        asked: sent,
        sent,
        pending: false,
        reported: sent,
    });
    entry.take_over(&report);
    Some(report)
}

/// Notes that another instance holds the lease for `left` milliseconds yet.
pub(super) fn refused(
    cfg: &lease::Lease,
    entry: &mut Worker,
    sent: Millis,
    now: Millis,
    left: u64,
) {
    let Life::Asking { sent: asked, .. } = entry.life else {
        return;
    };
    if asked != sent {
        return;
    }
    let wait = left.clamp(1, millis(cfg.renew));
    entry.yields = 0;
    entry.life = Life::Unheld {
        since: now,
        next: now.plus(wait),
    };
}

/// Notes that the token of the message sent at `sent` is not the current one.
pub(super) fn fenced(entry: &mut Worker, sent: Millis, now: Millis) {
    let lost = entry.life.tenure().is_some_and(|t| sent > t.asked);
    if lost {
        entry.lose(now, now);
    }
}
