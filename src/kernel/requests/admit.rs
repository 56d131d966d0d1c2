//! Admission control: accepts requests into queues, refuses or evicts them under overload.

use std::cmp::Reverse;

use crate::{
    context,
    ids::Millis,
    kernel::requests::{
        Requests,
        profile_state::{
            Position,
            ProfileKey,
            ProfileState, //
        },
        quota::{
            Team,
            TeamKey, //
        },
        request::{
            self,
            Phase,
            Request, //
        },
        types::{
            Action,
            Arrival,
            Notice,
            RequestKey, //
        },
    },
    profile,
    wire::caller::{
        Code,
        Ran,
        Refusal, //
    }, //
};

/// Minimum retry delay that is sent to a refused caller, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 10;

impl Requests {
    /// Admits a request to its profile's queue.
    ///
    /// A request may evict a waiting one of a lower priority; [`Requests::take_notices`] then
    /// returns the refusal of the evicted request.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller. The request did not run.
    pub fn submit(&mut self, now: Millis, arrival: Arrival) -> Result<RequestKey, Refusal> {
        if self.draining {
            return Err(not_run(Code::Draining, "the instance is shutting down", 0));
        }
        if arrival.profile.kind != profile::Kind::Request {
            let mut refusal = not_run(Code::UnknownProfile, "the profile is not for requests", 0);
            refusal.retry = None;
            return Err(refusal);
        }
        let profile_key = self.profile_of(&arrival);
        let deadline = now.plus(arrival.deadline);
        if let Err(refusal) = self.admit(now, profile_key, deadline) {
            self.profiles[profile_key].counts.shed += 1;
            return Err(refusal);
        }
        Ok(self.accept(now, profile_key, deadline, arrival))
    }

    /// Returns the actions since the last call for requests other than those that were passed in.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Expected time that a request of the profile waits for a slot, in milliseconds.
    pub(super) fn expected_wait(&self, key: ProfileKey, order: u64) -> u64 {
        let usable = u64::from(self.slots.usable());
        if usable == 0 {
            return 0;
        }
        let state = &self.profiles[key];
        let priority = state.profile.priority;
        let taken = self.slots.held_above(priority);
        let backlogged = self.backlogged.iter().map(|key| &self.profiles[*key]);
        let ahead = backlogged.map(|c| work_ahead(c, priority, order));
        let backlog: u64 = ahead.sum();
        if backlog == 0 && self.slots.held < self.slots.total {
            return 0;
        }
        // Slots held by work of a higher priority are assumed to stay held.
        let left = usable.saturating_sub(taken).max(1);
        (backlog + state.estimate.cost()) / left
    }

    fn admit(&mut self, now: Millis, key: ProfileKey, deadline: Millis) -> Result<(), Refusal> {
        let state = &self.profiles[key];
        let virtual_start = self.teams[state.team].virtual_start(self.virtual_clock);
        let order = state.order(now, deadline, virtual_start);
        let wait = self.expected_wait(key, order);
        let state = &self.profiles[key];
        let queued = state.queue.len() as u32;
        let limit = state.profile.limits.queue;
        if queued >= limit {
            return Err(not_run(
                Code::QueueFull,
                "the profile's queue is full",
                wait,
            ));
        }
        let estimate = state.estimate.median_or_zero();
        let ctx = context::Shed {
            now,
            deadline,
            estimate,
            p95: state.estimate.p95_or_zero(),
            wait,
            queued,
            limit,
            priority: state.profile.priority,
            queue_fill: self.queued * 1_000 / self.cfg.waiting.max(1),
        };
        if (state.plugins.shed)(&ctx) {
            return Err(shed(&ctx));
        }
        if self.queued < self.cfg.waiting {
            return Ok(());
        }
        if self.evict(state.profile.priority) {
            return Ok(());
        }
        Err(not_run(Code::QueueFull, "too many requests wait", wait))
    }

    /// Evicts a waiting request of the lowest priority that is below `priority`, from the longest
    /// queue of that priority. Requests that may have run are not evicted. Returns whether one was
    /// evicted.
    fn evict(&mut self, priority: u8) -> bool {
        let lower = |c: &&ProfileState| c.profile.priority < priority && !c.queue.is_empty();
        let backlogged = self.backlogged.iter().map(|key| &self.profiles[*key]);
        let lowest = backlogged.filter(lower);
        let Some(state) = lowest.min_by_key(|c| (c.profile.priority, Reverse(c.queue.len())))
        else {
            return false;
        };
        let unsent = |key: &RequestKey| self.requests[*key].never_sent();
        let mut waiting = state.queue.iter().map(|(_, key)| *key);
        let Some(victim) = waiting.find(unsent) else {
            return false;
        };
        let retry = Some(state.estimate.cost().max(MIN_RETRY_AFTER_MS));
        let message = "more urgent work took its place";
        let refusal = request::refusal(Code::QueueFull, Ran::No, message, retry);
        self.refuse(victim, refusal);
        true
    }

    /// Refuses an admitted request through a notice.
    pub(super) fn refuse(&mut self, key: RequestKey, refusal: Refusal) {
        let Some(request) = self.remove_request(key) else {
            return;
        };
        self.profiles[request.profile_key].counts.shed += 1;
        self.notices.push(Notice {
            key,
            id: request.id,
            action: Action::Refuse(refusal),
        });
    }

    /// Removes a request, also from its queue. Its attempts stay until they are known to have
    /// ended.
    pub(super) fn remove_request(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(key)?;
        if let Phase::Queued(position) = request.phase {
            self.dequeue(request.profile_key, position);
        }
        Some(request)
    }

    /// Puts a request into its profile's queue.
    pub(super) fn enqueue(&mut self, key: RequestKey) {
        let request = &mut self.requests[key];
        let state = &mut self.profiles[request.profile_key];
        let order = state.order(request.arrived, request.deadline, request.virtual_time);
        let position = Position {
            order,
            seq: request.seq,
        };
        request.phase = Phase::Queued(position);
        state.enqueue(position, key);
        self.queued += 1;
        if state.queue.len() == 1 {
            self.backlogged.push(request.profile_key);
        }
    }

    /// Removes a request from its profile's queue.
    pub(super) fn dequeue(&mut self, key: ProfileKey, position: Position) {
        let state = &mut self.profiles[key];
        if !state.dequeue(position) {
            return;
        }
        self.queued -= 1;
        if state.queue.is_empty() {
            self.backlogged.retain(|k| *k != key);
        }
    }

    fn accept(
        &mut self,
        now: Millis,
        profile_key: ProfileKey,
        deadline: Millis,
        arrival: Arrival,
    ) -> RequestKey {
        self.seq += 1;
        let virtual_time = self.charge(profile_key);
        let key = self.requests.insert(Request {
            id: arrival.id,
            profile_key,
            profile: arrival.profile,
            idempotency_key: arrival.idempotency_key,
            arrived: now,
            deadline,
            forwarded: arrival.forwarded,
            phase: Phase::Backoff,
            seq: self.seq,
            virtual_time,
            sends: 0,
            pending: Vec::new(),
            unknown: false,
            broken: 0,
            backend_ran: false,
            avoid_worker: None,
        });
        self.enqueue(key);
        self.deadline_timers.add(deadline, key);
        key
    }

    /// Charges the expected slot time of a request to its team. Returns the virtual start time of
    /// the request.
    fn charge(&mut self, key: ProfileKey) -> u64 {
        let state = &self.profiles[key];
        let slots = u64::from(state.profile.demand.slots);
        let team = &mut self.teams[state.team];
        let start = team.virtual_start(self.virtual_clock);
        team.virtual_time = start.saturating_add(state.estimate.cost() * slots);
        start
    }

    /// Returns the key of the arrival's profile, and updates the profile to the arrival's version
    /// if that is newer.
    fn profile_of(&mut self, arrival: &Arrival) -> ProfileKey {
        let found = self
            .by_name
            .binary_search_by(|(n, _)| n.cmp(&arrival.profile_name));
        match found {
            Ok(at) => {
                let (_, key) = self.by_name[at];
                self.update_profile(key, arrival);
                key
            }
            Err(at) => {
                let team = self.team_of(arrival);
                let state = ProfileState::new(arrival.profile_name.clone(), team, arrival);
                let key = self.profiles.insert(state);
                self.by_name.insert(at, (arrival.profile_name.clone(), key));
                self.sum_quotas();
                key
            }
        }
    }

    fn update_profile(&mut self, key: ProfileKey, arrival: &Arrival) {
        if !self.profiles[key].is_older(arrival) {
            return;
        }
        let team = self.team_of(arrival);
        self.profiles[key].update(team, arrival);
        self.sum_quotas();
    }

    fn team_of(&mut self, arrival: &Arrival) -> TeamKey {
        let id = &arrival.profile.team;
        let found = self.teams.iter().find(|(_, t)| t.id == *id);
        match found {
            Some((key, _)) => key,
            None => self.teams.insert(Team::new(id.clone())),
        }
    }

    fn sum_quotas(&mut self) {
        for team in self.teams.values_mut() {
            team.quota = crate::resources::Resources::default();
        }
        for state in self.profiles.values() {
            if let Some(quota) = &state.profile.quota {
                let team = &mut self.teams[state.team];
                team.quota = team.quota.plus(quota);
            }
        }
    }
}

/// Expected slot time of a profile's requests that are ahead of a request with the given priority
/// and order, in milliseconds.
fn work_ahead(state: &ProfileState, priority: u8, order: u64) -> u64 {
    if state.profile.priority < priority {
        return 0;
    }
    if state.profile.priority > priority {
        return state.backlog();
    }
    let after = state.queue.partition_point(|(p, _)| p.0.order > order);
    (state.queue.len() - after) as u64 * state.estimate.cost()
}

fn not_run(code: Code, message: &str, wait: u64) -> Refusal {
    let retry = Some(wait.max(MIN_RETRY_AFTER_MS));
    request::refusal(code, Ran::No, message, retry)
}

fn shed(ctx: &context::Shed) -> Refusal {
    let end = ctx.now.plus(ctx.wait).plus(ctx.p95);
    if end > ctx.deadline {
        let message = "the deadline cannot be met";
        return not_run(Code::Deadline, message, ctx.wait);
    }
    not_run(Code::QueueFull, "the instance is crowded", ctx.wait)
}
