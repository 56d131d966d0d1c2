//! Passing waiting requests on to other entry instances.

use crate::{
    context::Distance,
    ids::Millis,
    kernel::requests::{
        Requests,
        profile_state::Class,
        request::{
            Attempt,
            Phase, //
        },
        types::{
            Forward,
            Peer,
            RequestKey, //
        },
    },
    profile::Spill,
    resources::Resources, //
};

/// Time that a slot elsewhere must save beyond the trip, in milliseconds.
const LEAST_GAIN: u64 = 2;

/// Waiting requests looked at in one call, so that a long queue does not hold up the rest.
const MOST_LOOKED: usize = 64;

/// The least time for a peer's answer, in milliseconds.
const LEAST_TIMEOUT: u64 = 50;

impl Requests {
    /// Passes waiting requests on to peers that have room, as far as their profiles allow it and
    /// the wait here is longer than the trip.
    ///
    /// To be called after [`Requests::next`]. A request is passed on once, and never after it was
    /// sent to a worker.
    pub fn forward(&mut self, now: Millis, peers: &[Peer]) -> Vec<Forward> {
        let mut free: Vec<u32> = peers.iter().map(|p| p.free).collect();
        let mut found = Vec::new();
        if self.queued == 0 || free.iter().all(|f| *f == 0) {
            return found;
        }
        for key in self.waiting() {
            if free.iter().all(|f| *f == 0) {
                break;
            }
            let Some(peer) = self.peer_for(now, key, peers, &free) else {
                continue;
            };
            free[peer] -= 1;
            found.push(self.pass_on(now, key, peer));
        }
        found
    }

    /// Requests that wait and may be passed on, the most urgent of each profile first.
    fn waiting(&self) -> Vec<RequestKey> {
        let busy = self.busy.iter().map(|key| &self.classes[*key]);
        let queues = busy.map(|c| c.queue.iter().rev());
        let keys = queues.flatten().map(|(_, key)| *key);
        let fresh = |key: &RequestKey| {
            let request = &self.requests[*key];
            !request.forwarded && request.sent == 0
        };
        keys.filter(fresh).take(MOST_LOOKED).collect()
    }

    /// The nearest peer with room that is worth the trip.
    fn peer_for(
        &self,
        now: Millis,
        key: RequestKey,
        peers: &[Peer],
        free: &[u32],
    ) -> Option<usize> {
        let request = &self.requests[key];
        let class = &self.classes[request.class];
        let Phase::Queued(place) = request.phase else {
            return None;
        };
        let wait = match self.slots.usable() {
            0 => u64::MAX,
            _ => self.expected_wait(request.class, place.order),
        };
        let worth = |i: &usize| {
            let peer = &peers[*i];
            let end = now.plus(peer.trip).plus(class.estimate.typical());
            let gain = wait.saturating_sub(peer.trip);
            free[*i] > 0
                && end <= request.deadline
                && gain >= LEAST_GAIN
                && allowed(class, peer, wait, request.left(now))
        };
        let worthy = (0..peers.len()).filter(worth);
        worthy.min_by_key(|i| (peers[*i].distance, peers[*i].trip, u32::MAX - free[*i]))
    }

    fn pass_on(&mut self, now: Millis, key: RequestKey, peer: usize) -> Forward {
        self.unqueue(key);
        let request = &mut self.requests[key];
        let attempt = self.attempts.insert(Attempt {
            request: key,
            class: request.class,
            team: self.classes[request.class].team,
            worker: None,
            demand: Resources::default(),
            priority: 0,
            long: false,
            counted: false,
            sent: now,
            silent: false,
        });
        request.forwarded = true;
        request.live.push(attempt);
        let left = request.left(now);
        let whole = left + self.cfg.grace.as_millis() as u64;
        let timeout = match request.profile.idempotent {
            true => (left / 2).max(LEAST_TIMEOUT).min(whole),
            false => whole,
        };
        Forward {
            key,
            attempt,
            id: request.id.clone(),
            peer,
            timeout,
            left,
        }
    }
}

/// Whether a profile lets its requests go that far. Traffic between regions is billed, so only a
/// request that would miss its deadline here goes there.
fn allowed(class: &Class, peer: &Peer, wait: u64, left: u64) -> bool {
    let lost = wait.saturating_add(class.estimate.typical()) > left;
    match (peer.distance, class.profile.spill) {
        (Distance::Zone, _) => true,
        (Distance::Region, spill) => spill != Spill::Zone,
        (Distance::Remote, spill) => spill == Spill::Anywhere && lost,
    }
}
