//! Admission: who may wait, and who must make room.

use std::cmp::Reverse;

use crate::{
    context,
    ids::Millis,
    kernel::requests::{
        Requests,
        profile_state::{
            Class,
            ClassKey,
            Place, //
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
            Arrival,
            Notice,
            RequestKey,
            Step, //
        },
    },
    profile,
    wire::caller::{
        Code,
        Ran,
        Refusal, //
    }, //
};

/// The least time after which a refused caller is told to try again, in milliseconds.
const RETRY_AFTER: u64 = 10;

impl Requests {
    /// Admits a request to its profile's queue.
    ///
    /// A request of a higher priority may take the place of a waiting one; [`Requests::notices`]
    /// then holds the other's refusal.
    ///
    /// # Errors
    ///
    /// Returns the refusal to pass to the caller. The request did not run.
    pub fn submit(&mut self, now: Millis, arrival: Arrival) -> Result<RequestKey, Refusal> {
        if self.draining {
            return Err(not_run(Code::Draining, "the instance is shutting down", 0));
        }
        if arrival.profile.kind != profile::Kind::Request {
            let mut refusal = not_run(Code::UnknownProfile, "the profile is not for requests", 0);
            refusal.retry = None;
            return Err(refusal);
        }
        let class = self.class_of(&arrival);
        let deadline = now.plus(arrival.deadline);
        if let Err(refusal) = self.admit(now, class, deadline) {
            self.classes[class].counts.shed += 1;
            return Err(refusal);
        }
        Ok(self.accept(now, class, deadline, arrival))
    }

    /// Steps about requests that were not asked about, since the last call.
    pub fn notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// How long a request of that class would wait for a slot, in milliseconds.
    pub(super) fn expected_wait(&self, key: ClassKey, order: u64) -> u64 {
        let usable = u64::from(self.slots.usable());
        if usable == 0 {
            return 0;
        }
        let class = &self.classes[key];
        let priority = class.profile.priority;
        let taken = self.slots.above(priority);
        let busy = self.busy.iter().map(|key| &self.classes[*key]);
        let ahead = busy.map(|c| work_ahead(c, priority, order));
        let backlog: u64 = ahead.sum();
        if backlog == 0 && self.slots.held < self.slots.total {
            return 0;
        }
        // What more urgent work holds now it will go on holding.
        let left = usable.saturating_sub(taken).max(1);
        (backlog + class.estimate.cost()) / left
    }

    fn admit(&mut self, now: Millis, key: ClassKey, deadline: Millis) -> Result<(), Refusal> {
        let class = &self.classes[key];
        let share = self.teams[class.team].share(self.pace);
        let order = class.order(now, deadline, share);
        let wait = self.expected_wait(key, order);
        let class = &self.classes[key];
        let queued = class.queue.len() as u32;
        let limit = class.profile.limits.queue;
        if queued >= limit {
            return Err(not_run(
                Code::QueueFull,
                "the profile's queue is full",
                wait,
            ));
        }
        let estimate = class.estimate.typical();
        let ctx = context::Shed {
            now,
            deadline,
            estimate,
            tail: class.estimate.likely(),
            wait,
            queued,
            limit,
            priority: class.profile.priority,
            crowd: self.queued * 1_000 / self.cfg.waiting.max(1),
        };
        if (class.deciders.shed)(&ctx) {
            return Err(shed(&ctx));
        }
        if self.queued < self.cfg.waiting {
            return Ok(());
        }
        if self.evict(class.profile.priority) {
            return Ok(());
        }
        Err(not_run(Code::QueueFull, "too many requests wait", wait))
    }

    /// Refuses the waiting request that is worth least, if its priority is below `priority` and it
    /// was never sent.
    fn evict(&mut self, priority: u8) -> bool {
        let lower = |c: &&Class| c.profile.priority < priority && !c.queue.is_empty();
        let busy = self.busy.iter().map(|key| &self.classes[*key]);
        let lowest = busy.filter(lower);
        let Some(class) = lowest.min_by_key(|c| (c.profile.priority, Reverse(c.queue.len())))
        else {
            return false;
        };
        let unsent = |key: &RequestKey| self.requests[*key].is_fresh();
        let mut waiting = class.queue.iter().map(|(_, key)| *key);
        let Some(victim) = waiting.find(unsent) else {
            return false;
        };
        let retry = Some(class.estimate.cost().max(RETRY_AFTER));
        let message = "more urgent work took its place";
        let refusal = request::refusal(Code::QueueFull, Ran::No, message, retry);
        self.refuse(victim, refusal);
        true
    }

    /// Ends a request with a refusal that nobody asked for.
    pub(super) fn refuse(&mut self, key: RequestKey, refusal: Refusal) {
        let Some(request) = self.take_out(key) else {
            return;
        };
        self.classes[request.class].counts.shed += 1;
        self.notices.push(Notice {
            key,
            id: request.id,
            step: Step::Refuse(refusal),
        });
    }

    /// Removes a request from wherever it is. Its attempts stay until they are known to have ended.
    pub(super) fn take_out(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(key)?;
        if let Phase::Queued(place) = request.phase {
            self.dequeue(request.class, place);
        }
        Some(request)
    }

    /// Puts a request into its profile's queue.
    pub(super) fn enqueue(&mut self, key: RequestKey) {
        let request = &mut self.requests[key];
        let class = &mut self.classes[request.class];
        let order = class.order(request.arrived, request.deadline, request.share);
        let place = Place {
            order,
            seq: request.seq,
        };
        request.phase = Phase::Queued(place);
        class.enqueue(place, key);
        self.queued += 1;
        if class.queue.len() == 1 {
            self.busy.push(request.class);
        }
    }

    /// Takes a request out of its profile's queue.
    pub(super) fn dequeue(&mut self, key: ClassKey, place: Place) {
        let class = &mut self.classes[key];
        if !class.dequeue(place) {
            return;
        }
        self.queued -= 1;
        if class.queue.is_empty() {
            self.busy.retain(|k| *k != key);
        }
    }

    fn accept(
        &mut self,
        now: Millis,
        class: ClassKey,
        deadline: Millis,
        arrival: Arrival,
    ) -> RequestKey {
        self.seq += 1;
        let share = self.charge(class);
        let key = self.requests.insert(Request {
            id: arrival.id,
            class,
            profile: arrival.profile,
            key: arrival.key,
            arrived: now,
            deadline,
            forwarded: arrival.forwarded,
            phase: Phase::Delayed,
            seq: self.seq,
            share,
            sent: 0,
            live: Vec::new(),
            unknown: false,
            ran: false,
            avoid: None,
        });
        self.enqueue(key);
        self.deadlines.add(deadline, key);
        key
    }

    /// Charges the expected slot time of a request to its team. Returns the virtual time at which
    /// the request starts.
    fn charge(&mut self, key: ClassKey) -> u64 {
        let class = &self.classes[key];
        let slots = u64::from(class.profile.demand.slots);
        let team = &mut self.teams[class.team];
        let start = team.share(self.pace);
        team.used = start.saturating_add(class.estimate.cost() * slots);
        start
    }

    /// The state of the arrival's profile, with the arrival's version in force.
    fn class_of(&mut self, arrival: &Arrival) -> ClassKey {
        let found = self.names.binary_search_by(|(n, _)| n.cmp(&arrival.name));
        match found {
            Ok(at) => {
                let (_, key) = self.names[at];
                self.update_class(key, arrival);
                key
            }
            Err(at) => {
                let team = self.team_of(arrival);
                let class = Class::new(arrival.name.clone(), team, arrival);
                let key = self.classes.insert(class);
                self.names.insert(at, (arrival.name.clone(), key));
                self.sum_quotas();
                key
            }
        }
    }

    fn update_class(&mut self, key: ClassKey, arrival: &Arrival) {
        if !self.classes[key].is_older(arrival) {
            return;
        }
        let team = self.team_of(arrival);
        self.classes[key].update(team, arrival);
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
        for class in self.classes.values() {
            if let Some(quota) = &class.profile.quota {
                let team = &mut self.teams[class.team];
                team.quota = team.quota.plus(quota);
            }
        }
    }
}

/// Work of a class that goes before a place, in milliseconds of slot time.
fn work_ahead(class: &Class, priority: u8, order: u64) -> u64 {
    if class.profile.priority < priority {
        return 0;
    }
    if class.profile.priority > priority {
        return class.backlog();
    }
    let after = class.queue.partition_point(|(p, _)| p.0.order > order);
    (class.queue.len() - after) as u64 * class.estimate.cost()
}

fn not_run(code: Code, message: &str, wait: u64) -> Refusal {
    let retry = Some(wait.max(RETRY_AFTER));
    request::refusal(code, Ran::No, message, retry)
}

fn shed(ctx: &context::Shed) -> Refusal {
    let end = ctx.now.plus(ctx.wait).plus(ctx.tail);
    if end > ctx.deadline {
        let message = "the deadline cannot be met";
        return not_run(Code::Deadline, message, ctx.wait);
    }
    not_run(Code::QueueFull, "the instance is crowded", ctx.wait)
}
