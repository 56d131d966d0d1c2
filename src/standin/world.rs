//! All workers and their judge under one lock.

use crate::{
    ids::{
        Millis,
        Token, //
    },
    resources::Resources,
    standin::{
        judge::{
            Judge,
            Kind, //
        },
        worker::{
            Outcome,
            Worker, //
        }, //
    },
    wire::worker::{
        Ack,
        Forget,
        Launch,
        LeaseRequest,
        LeaseResponse,
        SignalTasks,
        Start,
        StartResponse,
        Started, //
    }, //
};

/// How long after it was shown as leaving a worker may still be sent work, in milliseconds.
pub const LEAVING_GRACE: u64 = 3_000;

/// A request for a backend server.
#[derive(Debug, Clone)]
pub struct Call {
    /// The token that it carries.
    pub token: Token,
    /// Its id; empty when it carries none.
    pub request: String,
    /// Its profile.
    pub profile: String,
    /// The name that its body gives the work; empty when it gives none.
    pub work: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Whether it must not run twice.
    pub once: bool,
    /// What it takes.
    pub demand: Resources,
}

/// Why a request was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The token is not the current one.
    Fenced,
    /// The worker is leaving.
    Leaving,
    /// The worker has no room.
    Full,
    /// The worker fails everything.
    Failing,
}

/// The workers, in the order of their ports, and the judge.
#[derive(Debug)]
pub struct World {
    /// The workers.
    pub workers: Vec<Worker>,
    /// The judge.
    pub judge: Judge,
    /// The lag of the list, in milliseconds.
    pub lag: u64,
}

impl World {
    /// Passes a lease message to a worker.
    pub fn lease(&mut self, now: Millis, worker: usize, ask: &LeaseRequest) -> LeaseResponse {
        let grant = self.workers[worker].lease(now, ask);
        match &grant {
            LeaseResponse::Granted(_) => self.judge.counters.granted += 1,
            LeaseResponse::Held { .. } | LeaseResponse::Fenced => self.judge.counters.denied += 1,
        }
        grant
    }

    /// Passes starts to a worker. `arrived` is when they came in, `now` when they are handled.
    pub fn start(
        &mut self,
        now: Millis,
        arrived: Millis,
        worker: usize,
        start: &Start,
    ) -> StartResponse {
        let one = |launch| self.start_one(now, arrived, worker, start.token, launch);
        StartResponse {
            results: start.tasks.iter().map(one).collect(),
        }
    }

    /// Passes signals to a worker.
    pub fn signal(&mut self, now: Millis, worker: usize, signals: &SignalTasks) -> Ack {
        if self.fenced(now, worker, signals.token) {
            return Ack::Fenced;
        }
        for (id, signal) in &signals.tasks {
            self.workers[worker].signal(now, id, *signal);
        }
        Ack::Ok
    }

    /// Lets a worker drop ended tasks.
    pub fn forget(&mut self, now: Millis, worker: usize, forget: &Forget) -> Ack {
        if self.fenced(now, worker, forget.token) {
            return Ack::Fenced;
        }
        for id in &forget.tasks {
            self.workers[worker].forget(now, id);
        }
        Ack::Ok
    }

    /// Lets a request begin to execute. Returns its key at the worker.
    ///
    /// # Errors
    ///
    /// Returns why it does not execute.
    pub fn admit(
        &mut self,
        now: Millis,
        arrived: Millis,
        worker: usize,
        call: &Call,
    ) -> Result<u64, Refusal> {
        if self.fenced(now, worker, call.token) {
            return Err(Refusal::Fenced);
        }
        if self.refuses(arrived, worker, &call.request) {
            return Err(Refusal::Leaving);
        }
        if self.workers[worker].faults.failing {
            self.executed(now, worker, call);
            return Err(Refusal::Failing);
        }
        let Some(key) = self.workers[worker].admit(now, &call.demand) else {
            self.overcommit(now, worker, &call.request, &call.demand);
            return Err(Refusal::Full);
        };
        self.executed(now, worker, call);
        Ok(key)
    }

    /// Ends a request. Returns whether the worker executed it to its end.
    pub fn finish(&mut self, now: Millis, worker: usize, key: u64) -> bool {
        let whole = self.workers[worker].finish(now, key);
        self.judge.counters.finished += u64::from(whole);
        whole
    }

    fn start_one(
        &mut self,
        now: Millis,
        arrived: Millis,
        worker: usize,
        token: Token,
        launch: &Launch,
    ) -> Started {
        if self.fenced(now, worker, token) {
            return Started::Fenced;
        }
        let name = format!("{}/{}", launch.id.run, launch.id.index);
        let known = self.workers[worker].knows(&launch.id);
        if !known && self.refuses(arrived, worker, &name) {
            return Started::Leaving;
        }
        match self.workers[worker].start(now, launch) {
            Outcome::Begun => self.begun(now, worker, launch),
            Outcome::Repeated => self.judge.counters.repeats += 1,
            Outcome::Forgotten => self.judge.counters.forgotten += 1,
            Outcome::Full => {
                self.overcommit(now, worker, &name, &launch.demand);
                return Started::Full;
            }
        }
        Started::Started
    }

    fn fenced(&mut self, now: Millis, worker: usize, token: Token) -> bool {
        let fenced = !self.workers[worker].holds(now, token);
        self.judge.counters.fenced += u64::from(fenced);
        fenced
    }

    /// Whether a worker takes no new work, and accuses who should have known.
    fn refuses(&mut self, arrived: Millis, worker: usize, what: &str) -> bool {
        let Some(since) = self.workers[worker].leaving else {
            return false;
        };
        self.judge.counters.leaving += 1;
        let late = arrived.since(since.plus(self.lag).plus(LEAVING_GRACE));
        if late > 0 {
            let id = &self.workers[worker].spec.id;
            let detail = format!("{what} was sent {late} ms too late");
            self.judge.accuse(Kind::SentToLeaving, arrived, id, detail);
        }
        true
    }

    fn overcommit(&mut self, now: Millis, worker: usize, what: &str, demand: &Resources) {
        self.judge.counters.full += 1;
        let spec = &self.workers[worker].spec;
        let held = self.workers[worker].held_resources();
        let total = held.plus(demand);
        let detail = format!(
            "{what} would exceed {}",
            total.excess(&spec.capacity).join(", ")
        );
        self.judge.accuse(Kind::OverCommit, now, &spec.id, detail);
    }

    /// Judges a task that has just begun.
    fn begun(&mut self, now: Millis, worker: usize, launch: &Launch) {
        self.judge.counters.starts += 1;
        for (other, id) in self.judge.executions(&launch.id) {
            if !self.workers[other].executes(now, &id) {
                self.judge.end(&id, other);
                continue;
            }
            let detail = format!(
                "{}/{} attempt {} while attempt {} executes on {}",
                id.run, id.index, launch.id.attempt, id.attempt, self.workers[other].spec.id
            );
            let here = &self.workers[worker].spec.id;
            self.judge.accuse(Kind::DoubleExecution, now, here, detail);
        }
        if !self.judge.begin(&launch.id, worker) {
            let id = &launch.id;
            let detail = format!("{}/{} attempt {}", id.run, id.index, id.attempt);
            let here = &self.workers[worker].spec.id;
            self.judge.accuse(Kind::RepeatedAttempt, now, here, detail);
        }
    }

    /// Judges a request that has just begun to execute.
    fn executed(&mut self, now: Millis, worker: usize, call: &Call) {
        self.judge.counters.requests += 1;
        if !call.work.is_empty() {
            let here = &self.workers[worker].spec.id;
            self.judge.execute_work(&call.work, here);
        }
        if !call.once {
            return;
        }
        self.judge.counters.nonidempotent += 1;
        let key = call.key.as_deref();
        if self.judge.execute_once(&call.request, &call.profile, key) {
            return;
        }
        let detail = format!(
            "request {} of profile {}, key {}",
            call.request,
            call.profile,
            key.unwrap_or("absent")
        );
        let here = &self.workers[worker].spec.id;
        self.judge.accuse(Kind::RepeatedRequest, now, here, detail);
    }
}
