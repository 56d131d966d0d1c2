//! Forwarding of waiting requests to other entry instances.

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

/// Minimum time that forwarding must save beyond the round trip, in milliseconds.
const MIN_GAIN_MS: u64 = 2;

/// Maximum number of waiting requests that one call examines, so that a long queue does not delay
/// other work.
const MAX_SCANNED: usize = 64;

/// Minimum timeout for a peer's response, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 50;

impl Requests {
    /// Forwards waiting requests to peers with free slots if their profiles allow it and the
    /// expected wait at this instance is longer than the round trip.
    ///
    /// Call this after [`Requests::dispatch`]. A request is forwarded at most once, and never after
    /// it was sent to a worker.
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

    /// Waiting requests that may be forwarded; within a profile, the most urgent come first.
    fn forwardable(&self) -> Vec<RequestKey> {
        let backlogged = self.backlogged.iter().map(|key| &self.profiles[*key]);
        let queues = backlogged.map(|c| c.queue.iter().rev());
        let keys = queues.flatten().map(|(_, key)| *key);
        let unsent = |key: &RequestKey| {
            let request = &self.requests[*key];
            !request.forwarded && request.sends == 0
        };
        keys.filter(unsent).take(MAX_SCANNED).collect()
    }

    /// Index of the nearest peer with a free slot for which forwarding saves time.
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

/// Returns whether a profile allows forwarding over the peer's distance. Traffic between regions is
/// billed, so a request only goes to another region if it would miss its deadline at this instance.
fn spill_allowed(state: &ProfileState, peer: &ForwardTarget, wait: u64, remaining: u64) -> bool {
    let misses_deadline = wait.saturating_add(state.estimate.median_or_zero()) > remaining;
    match (peer.distance, state.profile.spill) {
        (Distance::Zone, _) => true,
        (Distance::Region, spill) => spill != Spill::Zone,
        (Distance::Remote, spill) => spill == Spill::Anywhere && misses_deadline,
    }
}
