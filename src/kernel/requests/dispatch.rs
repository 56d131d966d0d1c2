//! Dispatch of waiting requests to free slots of workers.

use std::cmp::Reverse;

use crate::{
    context,
    ids::Millis,
    kernel::{
        WorkerKey,
        WorkerPool,
        requests::{
            Requests,
            profile_state::{
                ProfileKey,
                ProfileState, //
            },
            quota::Status,
            request::{
                self,
                Attempt,
                Phase, //
            },
            types::{
                AttemptKind,
                Dispatch,
                RequestKey, //
            },
        }, //
    },
    wire::caller::Code, //
};

/// Number of workers sampled for one decision.
const SAMPLE_SIZE: usize = 8;

/// Number of workers sampled if none of the first sample is usable.
const WIDE_SAMPLE_SIZE: usize = 64;

/// Timeout of an attempt of an idempotent request, as a multiple of the 99th percentile of its
/// profile's run time.
const TIMEOUT_TAIL_FACTOR: u64 = 4;

/// Minimum timeout of an attempt, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 50;

impl Requests {
    /// Assigns waiting requests to free slots, the most urgent first, and returns the attempts to
    /// send.
    pub fn dispatch(&mut self, now: Millis, pool: &mut dyn WorkerPool) -> Vec<Dispatch> {
        self.worker_stats.readmit(now);
        self.requeue_delayed(now);
        self.refresh_slots(pool);
        let mut sends = Vec::new();
        let mut blocked = Vec::new();
        while self.slots.held < self.slots.total {
            let Some(key) = self.next_profile(&blocked) else {
                break;
            };
            if self.drop_infeasible_head(now, key) {
                continue;
            }
            match self.send_head(now, key, pool) {
                Some(dispatch) => sends.push(dispatch),
                None => blocked.push(key),
            }
            self.refresh_slots(pool);
        }
        self.send_hedges(now, pool, &mut sends);
        sends
    }

    /// Profile whose first waiting request is dispatched next.
    fn next_profile(&self, blocked: &[ProfileKey]) -> Option<ProfileKey> {
        let mut best = None;
        for key in self.backlogged.iter().copied() {
            let state = &self.profiles[key];
            let Some((position, _)) = state.head() else {
                continue;
            };
            if state.active >= state.limit.get() || blocked.contains(&key) {
                continue;
            }
            let status = self.quota_status(state);
            if status == Status::Exceeded {
                continue;
            }
            let rank = (Reverse(state.profile.priority), status, position);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn quota_status(&self, state: &ProfileState) -> Status {
        let quota = state.profile.quota.as_ref();
        let demand = &state.profile.demand;
        self.teams[state.team].status(quota, &state.held, demand)
    }

    /// Removes the first request of a queue if it can no longer finish in time. The request is
    /// refused unless the response of an earlier attempt may still arrive. Returns whether it was
    /// removed.
    fn drop_infeasible_head(&mut self, now: Millis, key: ProfileKey) -> bool {
        let state = &self.profiles[key];
        let Some((_, head)) = state.head() else {
            return false;
        };
        let request = &self.requests[head];
        // If other requests wait, a slot is given to a request that almost certainly finishes in
        // time.
        let contested = state.queue.len() > 1 && request.arrived < now;
        let needed = match contested {
            true => state.estimate.p95_or_zero(),
            false => state.estimate.median_or_zero(),
        };
        let end = now.plus(needed);
        if end <= request.deadline {
            return false;
        }
        if !request.pending.is_empty() {
            self.mark_active(head);
            return true;
        }
        let message = "the deadline cannot be met any more";
        let retry = Some(state.estimate.cost());
        let refusal = request::refusal(Code::Deadline, request.ran(), message, retry);
        self.refuse(head, refusal);
        true
    }

    /// Removes a request from its queue; from now on it waits for the response of an attempt.
    pub(super) fn mark_active(&mut self, key: RequestKey) {
        let request = &mut self.requests[key];
        let (profile_key, before) = (request.profile_key, request.phase);
        request.phase = Phase::Active;
        if let Phase::Queued(position) = before {
            self.dequeue(profile_key, position);
        }
    }

    /// Sends the first request of a queue if a worker is available.
    fn send_head(
        &mut self,
        now: Millis,
        key: ProfileKey,
        pool: &mut dyn WorkerPool,
    ) -> Option<Dispatch> {
        let (position, head) = self.profiles[key].head()?;
        let avoid = self.requests[head].avoid_worker;
        let worker = self.reserve_worker(now, key, avoid, pool)?;
        self.dequeue(key, position);
        let kind = match self.requests[head].never_sent() {
            true => AttemptKind::First,
            false => AttemptKind::Retry,
        };
        Some(self.record_send(now, head, worker, kind))
    }

    /// Selects a worker and reserves the request's resources on it.
    pub(super) fn reserve_worker(
        &mut self,
        now: Millis,
        key: ProfileKey,
        avoid: Option<WorkerKey>,
        pool: &mut dyn WorkerPool,
    ) -> Option<WorkerKey> {
        let demand = self.profiles[key].profile.demand;
        for most in [SAMPLE_SIZE, WIDE_SAMPLE_SIZE] {
            self.offers.clear();
            let random = self.next_random();
            pool.sample(now, &demand, random, most, &mut self.offers);
            let exhausted = self.offers.len() < most;
            self.retain_usable_offers(now, key, avoid);
            if let Some(worker) = self.route(key)
                && pool.reserve(worker, &demand)
            {
                return Some(worker);
            }
            if exhausted {
                break;
            }
        }
        None
    }

    /// Keeps only the offers that the profile may use.
    fn retain_usable_offers(&mut self, now: Millis, key: ProfileKey, avoid: Option<WorkerKey>) {
        let state = &self.profiles[key];
        let slots = state.profile.demand.slots;
        let reserve = state.reserve;
        let idempotent = state.profile.idempotent;
        let stats = &self.worker_stats;
        self.offers.retain(|offer| {
            let long = stats.get(offer.worker).long_slots;
            let leaves_reserve = long + slots + reserve <= offer.capacity.slots;
            stats.usable(now, offer.worker, idempotent) && (reserve == 0 || leaves_reserve)
        });
        let others = self.offers.iter().any(|o| Some(o.worker) != avoid);
        if others {
            self.offers.retain(|o| Some(o.worker) != avoid);
        }
    }

    /// Selects one of the offers with the profile's `route` plug-in.
    fn route(&mut self, key: ProfileKey) -> Option<WorkerKey> {
        if self.offers.is_empty() {
            return None;
        }
        self.targets.clear();
        for offer in &self.offers {
            let worker = self.worker_stats.get(offer.worker);
            self.targets.push(context::Target {
                free: offer.free,
                active: worker.active,
                latency: worker.latency,
                errors: worker.errors,
                distance: context::Distance::Zone,
            });
        }
        let random = self.next_random();
        let state = &mut self.profiles[key];
        state.routed += 1;
        let at = (state.plugins.route)(&context::Route {
            targets: &self.targets,
            random,
            turn: state.routed,
        })?;
        self.offers.get(at).map(|o| o.worker)
    }

    /// Creates an attempt whose resources are reserved already.
    pub(super) fn record_send(
        &mut self,
        now: Millis,
        key: RequestKey,
        worker: WorkerKey,
        kind: AttemptKind,
    ) -> Dispatch {
        let request = &mut self.requests[key];
        let state = &mut self.profiles[request.profile_key];
        state.count_send(kind);
        let demand = state.profile.demand;
        let long_running = state.reserve > 0;
        let priority = state.profile.priority;
        let attempt = Attempt {
            request: key,
            profile_key: request.profile_key,
            team: state.team,
            worker: Some(worker),
            demand,
            priority,
            long_running,
            counts_in_quota: state.profile.quota.is_some(),
            sent_at: now,
            overdue: false,
        };
        state.active += 1;
        state.held = state.held.plus(&demand);
        if attempt.counts_in_quota {
            let team = &mut self.teams[state.team];
            team.held = team.held.plus(&demand);
        }
        let outlived = now.plus(state.straggler_after(self.cfg.straggler));
        let hedge_delay = state.hedge_after().filter(|_| request.profile.idempotent);
        let tail = state.estimate.quantile(0.99);
        self.slots.acquire(priority, demand.slots);
        self.worker_stats
            .attempt_started(worker, if long_running { demand.slots } else { 0 });
        let attempt = self.attempts.insert(attempt);
        request.phase = Phase::Active;
        self.virtual_clock = self.virtual_clock.max(request.virtual_time);
        request.sends = request.sends.saturating_add(1);
        request.pending.push(attempt);
        if !long_running {
            self.straggler_timers.add(outlived, attempt);
        }
        if let Some(after) = hedge_delay {
            self.hedge_timers.add(now.plus(after), attempt);
        }
        let remaining = request.remaining(now);
        let longest = remaining + self.cfg.grace.as_millis() as u64;
        let attempt_timeout = (tail * TIMEOUT_TAIL_FACTOR)
            .max(MIN_TIMEOUT_MS)
            .min(longest);
        let last = request.sends >= request.profile.retry.attempts;
        let timeout = match request.profile.idempotent && !last {
            true => attempt_timeout,
            false => longest,
        };
        Dispatch {
            key,
            attempt,
            id: request.id.clone(),
            worker,
            kind,
            timeout,
            remaining,
        }
    }
}
