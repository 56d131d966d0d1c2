//! All workers and the judge, which share one lock.

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
        Launch,
        LeaseRequest,
        LeaseResponse,
        SignalTasks,
        Start,
        StartResponse,
        Started, //
    }, //
};

/// Time after the list shows a worker as leaving in which work may still be sent, in milliseconds.
pub const LEAVING_GRACE_MS: u64 = 3_000;

/// Request to a backend server.
#[derive(Debug, Clone)]
pub struct Request {
    /// Token of the placement lease under which the request is sent.
    pub token: Token,
    /// Id of the request; empty if it carries none.
    pub id: String,
    /// Profile of the request.
    pub profile: String,
    /// Name of the work from the body; empty if the body gives none.
    pub work: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the request must not run twice.
    pub nonidempotent: bool,
    /// Resources that the request takes.
    pub demand: Resources,
}

/// Reason for which a request was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The token is stale, or the lease has lapsed.
    Fenced,
    /// The worker is leaving.
    Leaving,
    /// The worker's free capacity is too small.
    Full,
    /// A fault makes every request fail.
    Failing,
}

/// Workers, in the order of their ports, and the judge.
#[derive(Debug)]
pub struct World {
    /// Workers, in the order of their ports.
    pub workers: Vec<Worker>,
    /// Judge that records executions and violations.
    pub judge: Judge,
    /// Lag of the list of instances, in milliseconds.
    pub lag: u64,
}

impl World {
    /// Handles a lease message to a worker.
    pub fn lease(&mut self, now: Millis, worker: usize, lease: &LeaseRequest) -> LeaseResponse {
        let grant = self.workers[worker].lease(now, lease);
        match &grant {
            LeaseResponse::Granted(_) => self.judge.counters.granted += 1,
            LeaseResponse::Held { .. } | LeaseResponse::Fenced => self.judge.counters.denied += 1,
        }
        grant
    }

    /// Handles starts on a worker. `arrived` is the time of their arrival, `now` that of handling.
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

    /// Handles signals to tasks of a worker.
    pub fn signal(&mut self, now: Millis, worker: usize, signals: &SignalTasks) -> Ack {
        if self.fenced(now, worker, signals.token) {
            return Ack::Fenced;
        }
        for (id, signal) in &signals.tasks {
            self.workers[worker].signal(now, id, *signal);
        }
        Ack::Ok
    }

    /// Makes a worker forget ended tasks.
    pub fn forget(&mut self, now: Millis, worker: usize, forget: &Forget) -> Ack {
        if self.fenced(now, worker, forget.token) {
            return Ack::Fenced;
        }
        for id in &forget.tasks {
            self.workers[worker].forget(now, id);
        }
        Ack::Ok
    }

    /// Starts the execution of a request. Returns its key on the worker.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is not executed.
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

    /// Ends a request. Returns whether the worker executed the request to its end.
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

    /// Whether a worker refuses new work because it is leaving. Records a violation if the sender
    /// had enough time to learn of it.
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

    /// Checks a task that has just started for a double or repeated execution.
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

    /// Checks a request that has just started for a repeated execution.
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
