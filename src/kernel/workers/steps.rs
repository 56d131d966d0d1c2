//! What is due for one worker's lease.

use std::time::Duration;

use crate::{
    configs::lease,
    ids::Millis,
    kernel::{
        members::{
            Me,
            Members, //
        },
        workers::worker::{
            Life,
            Reason,
            Tenure,
            Worker, //
        }, //
    },
    wire::{
        list,
        worker::Lease, //
    }, //
};

/// How many lease times a worker may stay unheld before the second in line asks for it: the first
/// may be cut off from it.
const PATIENCE: u64 = 4;

/// How many lease times a worker is held at least before it is given up for rebalancing.
const TENURE: u64 = 2;

/// How many times the least tenure may double for a worker that keeps coming back.
const DOUBLINGS: u8 = 6;

/// The message that is due at `now`, if any.
pub(super) fn step(
    cfg: &lease::Lease,
    me: &Me,
    entry: &mut Worker,
    now: Millis,
    members: &Members,
) -> Option<Lease> {
    if let Some(tenure) = entry.life.tenure()
        && now >= tenure.until
    {
        entry.lose(now, now);
    }
    match entry.life {
        Life::Unheld { since, next } if now >= next => ask(cfg, me, entry, now, since, members),
        Life::Asking { sent, .. } if now.since(sent) > millis(cfg.timeout) * 2 => {
            entry.life = Life::Unheld {
                since: now,
                next: now,
            };
            None
        }
        Life::Held(tenure) => hold(cfg, me, entry, now, tenure, members),
        Life::Draining {
            tenure,
            since,
            reason,
        } => drain(cfg, me, entry, now, (tenure, since, reason)),
        _ => None,
    }
}

/// Asks for a worker that this instance should hold.
fn ask(
    cfg: &lease::Lease,
    me: &Me,
    entry: &mut Worker,
    now: Millis,
    since: Millis,
    members: &Members,
) -> Option<Lease> {
    if entry.listed == list::State::Gone {
        return None;
    }
    let rank = members.rank(now, entry.id.as_str(), &entry.zone)?;
    let patience = millis(cfg.ttl) * PATIENCE;
    match rank {
        0 => {}
        1 if now.since(since) >= patience => {}
        _ => return None,
    }
    entry.life = Life::Asking { since, sent: now };
    Some(message(cfg, me, None))
}

/// Renews a lease, or starts to give it up.
fn hold(
    cfg: &lease::Lease,
    me: &Me,
    entry: &mut Worker,
    now: Millis,
    tenure: Tenure,
    members: &Members,
) -> Option<Lease> {
    if members.is_leaving() {
        return start_drain(entry, now, tenure, Reason::Shutdown);
    }
    if !due(cfg, now, &tenure) {
        return None;
    }
    let least = (millis(cfg.ttl) * TENURE) << entry.yields.min(DOUBLINGS);
    let held = now.since(tenure.since);
    if entry.orphaned() && held >= millis(cfg.ttl) {
        return start_drain(entry, now, tenure, Reason::Refresh);
    }
    let rank = members.rank(now, entry.id.as_str(), &entry.zone);
    if rank != Some(0) && held >= least {
        return start_drain(entry, now, tenure, Reason::Rebalance);
    }
    renew(cfg, me, entry, now)
}

fn start_drain(entry: &mut Worker, now: Millis, tenure: Tenure, reason: Reason) -> Option<Lease> {
    entry.life = Life::Draining {
        tenure,
        since: now,
        reason,
    };
    None
}

/// Gives a lease up once no start is on the way, and renews it until then.
fn drain(
    cfg: &lease::Lease,
    me: &Me,
    entry: &mut Worker,
    now: Millis,
    (tenure, since, reason): (Tenure, Millis, Reason),
) -> Option<Lease> {
    let waited = now.since(since) >= millis(cfg.ttl);
    if reason == Reason::Refresh || entry.settled() || waited {
        return give_up(cfg, me, entry, now, tenure, reason);
    }
    if !due(cfg, now, &tenure) {
        return None;
    }
    renew(cfg, me, entry, now)
}

fn give_up(
    cfg: &lease::Lease,
    me: &Me,
    entry: &mut Worker,
    now: Millis,
    tenure: Tenure,
    reason: Reason,
) -> Option<Lease> {
    let next = match reason {
        Reason::Refresh => now.plus(1),
        _ => now.plus(millis(cfg.ttl)),
    };
    if reason == Reason::Rebalance {
        entry.yields = entry.yields.saturating_add(1);
    }
    entry.lose(now, next);
    let mut message = message(cfg, me, Some(tenure));
    message.ttl = 0;
    Some(message)
}

fn renew(cfg: &lease::Lease, me: &Me, entry: &mut Worker, now: Millis) -> Option<Lease> {
    let tenure = entry.life.tenure_mut()?;
    tenure.sent = now;
    tenure.pending = true;
    let tenure = *tenure;
    Some(message(cfg, me, Some(tenure)))
}

/// Whether a renewal is due: the interval has passed and no answer is awaited.
fn due(cfg: &lease::Lease, now: Millis, tenure: &Tenure) -> bool {
    let quiet = now.since(tenure.sent);
    if tenure.pending {
        return quiet > millis(cfg.timeout) * 2;
    }
    quiet >= millis(cfg.renew)
}

fn message(cfg: &lease::Lease, me: &Me, tenure: Option<Tenure>) -> Lease {
    Lease {
        holder: me.id.clone(),
        incarnation: me.incarnation,
        token: tenure.map(|t| t.token),
        ttl: millis(cfg.ttl),
        task_ttl: millis(cfg.task),
    }
}

/// A span in whole milliseconds.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
