//! Binding of waiting requests to free slots.

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
                Class,
                ClassKey, //
            },
            quota::Standing,
            request::{
                self,
                Attempt,
                Phase, //
            },
            types::{
                Dispatch,
                Kind,
                RequestKey, //
            },
        }, //
    },
    wire::caller::Code, //
};

/// Workers looked at for one decision.
const SAMPLE: usize = 8;

/// Workers looked at when none of the first ones may be used.
const WIDE_SAMPLE: usize = 64;

/// An attempt of a request that may be repeated is given up after this many times the 99th
/// percentile of its profile's run time.
const PATIENCE: u64 = 4;

/// The least time for an attempt, in milliseconds.
const LEAST_TIMEOUT: u64 = 50;

impl Requests {
    /// Binds waiting requests to free slots, the most urgent first.
    pub fn next(&mut self, now: Millis, room: &mut dyn WorkerPool) -> Vec<Dispatch> {
        self.workers.readmit(now);
        self.end_backoffs(now);
        self.note_slots(room);
        let mut sends = Vec::new();
        let mut blocked = Vec::new();
        while self.slots.held < self.slots.total {
            let Some(key) = self.pick(&blocked) else {
                break;
            };
            if self.drop_hopeless(now, key) {
                continue;
            }
            match self.send_head(now, key, room) {
                Some(dispatch) => sends.push(dispatch),
                None => blocked.push(key),
            }
            self.note_slots(room);
        }
        self.send_hedges(now, room, &mut sends);
        sends
    }

    /// The class whose head goes next.
    fn pick(&self, blocked: &[ClassKey]) -> Option<ClassKey> {
        let mut best = None;
        for key in self.busy.iter().copied() {
            let class = &self.classes[key];
            let Some((place, _)) = class.head() else {
                continue;
            };
            if class.active >= class.limit.get() || blocked.contains(&key) {
                continue;
            }
            let standing = self.standing(class);
            if standing == Standing::Exceeded {
                continue;
            }
            let rank = (Reverse(class.profile.priority), standing, place);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn standing(&self, class: &Class) -> Standing {
        let quota = class.profile.quota.as_ref();
        let demand = &class.profile.demand;
        self.teams[class.team].standing(quota, &class.held, demand)
    }

    /// Refuses the head of a queue when it can no longer finish in time.
    fn drop_hopeless(&mut self, now: Millis, key: ClassKey) -> bool {
        let class = &self.classes[key];
        let Some((_, head)) = class.head() else {
            return false;
        };
        let request = &self.requests[head];
        // With others waiting, a slot goes to work that will nearly surely finish in time.
        let contested = class.queue.len() > 1 && request.arrived < now;
        let needed = match contested {
            true => class.estimate.likely(),
            false => class.estimate.typical(),
        };
        let end = now.plus(needed);
        if end <= request.deadline {
            return false;
        }
        if !request.live.is_empty() {
            self.unqueue(head);
            return true;
        }
        let message = "the deadline cannot be met any more";
        let retry = Some(class.estimate.cost());
        let refusal = request::refusal(Code::Deadline, request.ran(), message, retry);
        self.refuse(head, refusal);
        true
    }

    /// Takes a request out of its queue that waits for the answer of an attempt from now on.
    pub(super) fn unqueue(&mut self, key: RequestKey) {
        let request = &mut self.requests[key];
        let (class, before) = (request.class, request.phase);
        request.phase = Phase::Active;
        if let Phase::Queued(place) = before {
            self.dequeue(class, place);
        }
    }

    /// Sends the head of a queue, if a worker can be found.
    fn send_head(
        &mut self,
        now: Millis,
        key: ClassKey,
        room: &mut dyn WorkerPool,
    ) -> Option<Dispatch> {
        let (place, head) = self.classes[key].head()?;
        let avoid = self.requests[head].avoid;
        let worker = self.choose(now, key, avoid, room)?;
        self.dequeue(key, place);
        let kind = match self.requests[head].is_fresh() {
            true => Kind::First,
            false => Kind::Retry,
        };
        Some(self.send(now, head, worker, kind))
    }

    /// Chooses a worker and takes its room.
    pub(super) fn choose(
        &mut self,
        now: Millis,
        key: ClassKey,
        avoid: Option<WorkerKey>,
        room: &mut dyn WorkerPool,
    ) -> Option<WorkerKey> {
        let demand = self.classes[key].profile.demand;
        for most in [SAMPLE, WIDE_SAMPLE] {
            self.offers.clear();
            let random = self.draw();
            room.sample(now, &demand, random, most, &mut self.offers);
            let full = self.offers.len() < most;
            self.keep_allowed(now, key, avoid);
            if let Some(worker) = self.route(key)
                && room.reserve(worker, &demand)
            {
                return Some(worker);
            }
            if full {
                break;
            }
        }
        None
    }

    /// Leaves only the offers that this class may use.
    fn keep_allowed(&mut self, now: Millis, key: ClassKey, avoid: Option<WorkerKey>) {
        let class = &self.classes[key];
        let slots = class.profile.demand.slots;
        let reserve = class.reserve;
        let idempotent = class.profile.idempotent;
        let workers = &self.workers;
        self.offers.retain(|offer| {
            let long = workers.get(offer.worker).long;
            let kept = long + slots + reserve <= offer.capacity.slots;
            workers.usable(now, offer.worker, idempotent) && (reserve == 0 || kept)
        });
        let others = self.offers.iter().any(|o| Some(o.worker) != avoid);
        if others {
            self.offers.retain(|o| Some(o.worker) != avoid);
        }
    }

    /// Asks the class's `route` plug-in.
    fn route(&mut self, key: ClassKey) -> Option<WorkerKey> {
        if self.offers.is_empty() {
            return None;
        }
        self.targets.clear();
        for offer in &self.offers {
            let worker = self.workers.get(offer.worker);
            self.targets.push(context::Target {
                free: offer.free,
                active: worker.active,
                latency: worker.latency,
                errors: worker.errors,
                distance: context::Distance::Zone,
            });
        }
        let random = self.draw();
        let class = &mut self.classes[key];
        class.turn += 1;
        let at = (class.deciders.route)(&context::Route {
            targets: &self.targets,
            random,
            turn: class.turn,
        })?;
        self.offers.get(at).map(|o| o.worker)
    }

    /// Counts a send whose room is taken.
    pub(super) fn send(
        &mut self,
        now: Millis,
        key: RequestKey,
        worker: WorkerKey,
        kind: Kind,
    ) -> Dispatch {
        let request = &mut self.requests[key];
        let class = &mut self.classes[request.class];
        class.count(kind);
        let demand = class.profile.demand;
        let long = class.reserve > 0;
        let priority = class.profile.priority;
        let attempt = Attempt {
            request: key,
            class: request.class,
            team: class.team,
            worker: Some(worker),
            demand,
            priority,
            long,
            counted: class.profile.quota.is_some(),
            sent: now,
            silent: false,
        };
        class.active += 1;
        class.held = class.held.plus(&demand);
        if attempt.counted {
            let team = &mut self.teams[class.team];
            team.held = team.held.plus(&demand);
        }
        let outlived = now.plus(class.outlived(self.cfg.straggler));
        let slow = class.hedge_after().filter(|_| request.profile.idempotent);
        let tail = class.estimate.quantile(0.99);
        self.slots.take(priority, demand.slots);
        self.workers
            .sent(worker, if long { demand.slots } else { 0 });
        let attempt = self.attempts.insert(attempt);
        request.phase = Phase::Active;
        self.pace = self.pace.max(request.share);
        request.sent = request.sent.saturating_add(1);
        request.live.push(attempt);
        if !long {
            self.stragglers.add(outlived, attempt);
        }
        if let Some(after) = slow {
            self.slow.add(now.plus(after), attempt);
        }
        let left = request.left(now);
        let longest = left + self.cfg.grace.as_millis() as u64;
        let patience = (tail * PATIENCE).max(LEAST_TIMEOUT).min(longest);
        let last = request.sent >= request.profile.retry.attempts;
        let timeout = match request.profile.idempotent && !last {
            true => patience,
            false => longest,
        };
        Dispatch {
            key,
            attempt,
            id: request.id.clone(),
            worker,
            kind,
            timeout,
            left,
        }
    }
}
