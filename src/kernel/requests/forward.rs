//! Passing waiting requests on to other entry instances.

use crate::{
    context::Distance,
    ids::Millis,
    kernel::requests::{
        Requests,
        profile_state::ProfileState,
        request::{
            Attempt,
            Phase, //
        },
        types::{
            Forward,
            ForwardTarget,
            RequestKey, //
        },
    },
    profile::Spill,
    resources::Resources, //
};

/// Time that a slot elsewhere must save beyond the trip, in milliseconds.
const MIN_GAIN_MS: u64 = 2;

/// Waiting requests looked at in one call, so that a long queue does not hold up the rest.
const MAX_SCANNED: usize = 64;

/// The least time for a peer's answer, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 50;

impl Requests {
    /// Passes waiting requests on to peers that have room, as far as their profiles allow it and
    /// the wait here is longer than the trip.
    ///
    /// To be called after [`Requests::dispatch`]. A request is passed on once, and never after it was
    /// sent to a worker.
    pub fn forward(&mut self, now: Millis, peers: &[ForwardTarget]) -> Vec<Forward> {
        let mut free: Vec<u32> = peers.iter().map(|p| p.free).collect();
        let mut found = Vec::new();
        if self.queued == 0 || free.iter().all(|f| *f == 0) {
            return found;
        }
        for key in self.forwardable() {
            if free.iter().all(|f| *f == 0) {
                break;
            }
            let Some(peer) = self.best_peer(now, key, peers, &free) else {
                continue;
            };
            free[peer] -= 1;
            found.push(self.record_forward(now, key, peer));
        }
        found
    }

    /// Requests that wait and may be passed on, the most urgent of each profile first.
    fn forwardable(&self) -> Vec<RequestKey> {
        let busy = self.backlogged.iter().map(|key| &self.profiles[*key]);
        let queues = busy.map(|c| c.queue.iter().rev());
        let keys = queues.flatten().map(|(_, key)| *key);
        let unsent = |key: &RequestKey| {
            let request = &self.requests[*key];
            !request.forwarded && request.sends == 0
        };
        keys.filter(unsent).take(MAX_SCANNED).collect()
    }

    /// The nearest peer with room that is worth the trip.
    fn best_peer(
        &self,
        now: Millis,
        key: RequestKey,
        peers: &[ForwardTarget],
        free: &[u32],
    ) -> Option<usize> {
        let request = &self.requests[key];
        let state = &self.profiles[request.profile_key];
        let Phase::Queued(position) = request.phase else {
            return None;
        };
        let wait = match self.slots.usable() {
            0 => u64::MAX,
            _ => self.expected_wait(request.profile_key, position.order),
        };
        let eligible = |i: &usize| {
            let peer = &peers[*i];
            let end = now.plus(peer.rtt).plus(state.estimate.median_or_zero());
            let gain = wait.saturating_sub(peer.rtt);
            free[*i] > 0
                && end <= request.deadline
                && gain >= MIN_GAIN_MS
                && spill_allowed(state, peer, wait, request.remaining(now))
        };
        let candidates = (0..peers.len()).filter(eligible);
        candidates.min_by_key(|i| (peers[*i].distance, peers[*i].rtt, u32::MAX - free[*i]))
    }

    fn record_forward(&mut self, now: Millis, key: RequestKey, peer: usize) -> Forward {
        self.mark_active(key);
        let request = &mut self.requests[key];
        let attempt = self.attempts.insert(Attempt {
            request: key,
            profile_key: request.profile_key,
            team: self.profiles[request.profile_key].team,
            worker: None,
            demand: Resources::default(),
            priority: 0,
            long_running: false,
            counts_in_quota: false,
            sent_at: now,
            overdue: false,
        });
        request.forwarded = true;
        request.pending.push(attempt);
        let remaining = request.remaining(now);
        let longest = remaining + self.cfg.grace.as_millis() as u64;
        let timeout = match request.profile.idempotent {
            true => (remaining / 2).max(MIN_TIMEOUT_MS).min(longest),
            false => longest,
        };
        Forward {
            key,
            attempt,
            id: request.id.clone(),
            peer,
            timeout,
            remaining,
        }
    }
}

/// Whether a profile lets its requests go that far. Traffic between regions is billed, so only a
/// request that would miss its deadline here goes there.
fn spill_allowed(state: &ProfileState, peer: &ForwardTarget, wait: u64, remaining: u64) -> bool {
    let misses_deadline = wait.saturating_add(state.estimate.median_or_zero()) > remaining;
    match (peer.distance, state.profile.spill) {
        (Distance::Zone, _) => true,
        (Distance::Region, spill) => spill != Spill::Zone,
        (Distance::Remote, spill) => spill == Spill::Anywhere && misses_deadline,
    }
}
