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
            StartResult,
            Worker, //
        }, //
    },
    wire::worker::{
        Ack,
        Forget,
        Grant,
        Launch,
        Lease,
        SignalTasks,
        Start,
        StartAnswer,
        Started, //
    }, //
};

/// How long after it was shown as leaving a worker may still be sent work, in milliseconds.
pub const LEAVING_GRACE_MS: u64 = 3_000;

/// A request for a backend server.
#[derive(Debug, Clone)]
pub struct Request {
    /// The token that it carries.
    pub token: Token,
    /// Its id; empty when it carries none.
    pub id: String,
    /// Its profile.
    pub profile: String,
    /// The name that its body gives the work; empty when it gives none.
    pub work: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Whether it must not run twice.
    pub nonidempotent: bool,
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
    pub fn lease(&mut self, now: Millis, worker: usize, lease: &Lease) -> Grant {
        let grant = self.workers[worker].lease(now, lease);
        match &grant {
            Grant::Granted(_) => self.judge.counters.granted += 1,
            Grant::Held { .. } | Grant::Fenced => self.judge.counters.denied += 1,
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
    ) -> StartAnswer {
        let one = |launch| self.start_one(now, arrived, worker, start.token, launch);
        StartAnswer {
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
        request: &Request,
    ) -> Result<u64, Refusal> {
        if self.fenced(now, worker, request.token) {
            return Err(Refusal::Fenced);
        }
        if self.refuses_work(arrived, worker, &request.id) {
            return Err(Refusal::Leaving);
        }
        if self.workers[worker].faults.failing {
            self.check_request(now, worker, request);
            return Err(Refusal::Failing);
        }
        let Some(key) = self.workers[worker].admit(now, &request.demand) else {
            self.record_overcommit(now, worker, &request.id, &request.demand);
            return Err(Refusal::Full);
        };
        self.check_request(now, worker, request);
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
        if !known && self.refuses_work(arrived, worker, &name) {
            return Started::Leaving;
        }
        match self.workers[worker].start(now, launch) {
            StartResult::Begun => self.check_start(now, worker, launch),
            StartResult::Repeated => self.judge.counters.repeats += 1,
            StartResult::Forgotten => self.judge.counters.forgotten += 1,
            StartResult::Full => {
                self.record_overcommit(now, worker, &name, &launch.demand);
                return Started::Full;
            }
        }
        Started::Started
    }

    fn fenced(&mut self, now: Millis, worker: usize, token: Token) -> bool {
        let fenced = !self.workers[worker].is_valid(now, token);
        self.judge.counters.fenced += u64::from(fenced);
        fenced
    }

    /// Whether a worker takes no new work, and accuses who should have known.
    fn refuses_work(&mut self, arrived: Millis, worker: usize, what: &str) -> bool {
        let Some(since) = self.workers[worker].leaving else {
            return false;
        };
        self.judge.counters.leaving += 1;
        let late = arrived.since(since.plus(self.lag).plus(LEAVING_GRACE_MS));
        if late > 0 {
            let id = &self.workers[worker].spec.id;
            let detail = format!("{what} was sent {late} ms too late");
            self.judge.record(Kind::SentToLeaving, arrived, id, detail);
        }
        true
    }

    fn record_overcommit(&mut self, now: Millis, worker: usize, what: &str, demand: &Resources) {
        self.judge.counters.full += 1;
        let spec = &self.workers[worker].spec;
        let held = self.workers[worker].held_resources();
        let total = held.plus(demand);
        let detail = format!(
            "{what} would exceed {}",
            total.excess(&spec.capacity).join(", ")
        );
        self.judge.record(Kind::OverCommit, now, &spec.id, detail);
    }

    /// Judges a task that has just begun.
    fn check_start(&mut self, now: Millis, worker: usize, launch: &Launch) {
        self.judge.counters.starts += 1;
        for (other, id) in self.judge.executions(&launch.id) {
            if !self.workers[other].is_executing(now, &id) {
                self.judge.end_execution(&id, other);
                continue;
            }
            let detail = format!(
                "{}/{} attempt {} while attempt {} executes on {}",
                id.run, id.index, launch.id.attempt, id.attempt, self.workers[other].spec.id
            );
            let here = &self.workers[worker].spec.id;
            self.judge.record(Kind::DoubleExecution, now, here, detail);
        }
        if !self.judge.begin_execution(&launch.id, worker) {
            let id = &launch.id;
            let detail = format!("{}/{} attempt {}", id.run, id.index, id.attempt);
            let here = &self.workers[worker].spec.id;
            self.judge.record(Kind::RepeatedAttempt, now, here, detail);
        }
    }

    /// Judges a request that has just begun to execute.
    fn check_request(&mut self, now: Millis, worker: usize, request: &Request) {
        self.judge.counters.requests += 1;
        if !request.work.is_empty() {
            let here = &self.workers[worker].spec.id;
            self.judge.record_work(&request.work, here);
        }
        if !request.nonidempotent {
            return;
        }
        self.judge.counters.nonidempotent += 1;
        let key = request.key.as_deref();
        if self
            .judge
            .record_nonidempotent(&request.id, &request.profile, key)
        {
            return;
        }
        let detail = format!(
            "request {} of profile {}, key {}",
            request.id,
            request.profile,
            key.unwrap_or("absent")
        );
        let here = &self.workers[worker].spec.id;
        self.judge.record(Kind::RepeatedRequest, now, here, detail);
    }
}
