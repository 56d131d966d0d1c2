//! Simulated worker: its placement lease, its tasks and the requests in progress.

use std::collections::VecDeque;

use crate::{
    ids::{
        Incarnation,
        InstanceId,
        Millis,
        RegionId,
        Token,
        WorkerId,
        WorkerIncarnation,
        ZoneId, //
    },
    resources::Resources,
    standin::{
        faults,
        task::{
            Conditions,
            Task, //
        }, //
    },
    wire::worker::{
        Launch,
        LeaseRequest,
        LeaseResponse,
        Report,
        Signal,
        TaskId, //
    }, //
};

/// Id, location and capacity of a worker.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Id of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Region of the worker.
    pub region: RegionId,
    /// Total resources of the worker.
    pub capacity: Resources,
}

/// Holder of the placement lease.
#[derive(Debug, Clone)]
struct Holder {
    id: InstanceId,
    incarnation: Incarnation,
    expires: Millis,
}

/// Request in progress.
#[derive(Debug, Clone, Copy)]
struct Request {
    key: u64,
    token: Token,
    demand: Resources,
}

/// Result of a start, as the worker sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartResult {
    /// The task started.
    Begun,
    /// The same attempt was started before and is still listed.
    Repeated,
    /// The same attempt was started before and has been forgotten.
    Forgotten,
    /// The free capacity is too small for the task.
    Full,
}

/// Simulated worker.
#[derive(Debug)]
pub struct Worker {
    /// Id, location and capacity.
    pub spec: Spec,
    /// Active faults.
    pub faults: faults::Worker,
    /// Whether the process is alive.
    pub up: bool,
    /// Time since which the worker has been about to leave.
    pub leaving: Option<Millis>,
    /// Incarnation of the worker.
    pub boot: WorkerIncarnation,
    token: Token,
    holder: Option<Holder>,
    /// Tasks, sorted by id.
    tasks: Vec<Task>,
    /// Attempts that the worker was told to forget, sorted.
    forgotten: Vec<TaskId>,
    /// Requests in progress, sorted by key.
    requests: Vec<Request>,
    /// Key of the latest request.
    last_key: u64,
    /// Changes of the actual usage, in order of time.
    usage: VecDeque<(Millis, Resources)>,
    /// Lag of the reported usage, in milliseconds.
    usage_lag: u64,
    /// Run time of a task whose payload sets none, in milliseconds.
    default_run_ms: u64,
}

impl Worker {
    /// Creates an idle worker. `usage_lag` is the lag of its usage reports, in milliseconds.
    #[must_use]
    pub fn new(spec: Spec, usage_lag: u64, default_run_ms: u64) -> Self {
        Self {
            spec,
            faults: faults::Worker::default(),
            up: true,
            leaving: None,
            boot: WorkerIncarnation(1),
            token: Token(0),
            holder: None,
            tasks: Vec::new(),
            forgotten: Vec::new(),
            requests: Vec::new(),
            last_key: 0,
            usage: VecDeque::new(),
            usage_lag,
            default_run_ms,
        }
    }

    /// Whether `token` is that of the lease that holds at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Millis, token: Token) -> bool {
        let Some(holder) = &self.holder else {
            return false;
        };
        token == self.token && now < holder.expires
    }

    /// Grants, renews or releases the placement lease.
    pub fn lease(&mut self, now: Millis, lease: &LeaseRequest) -> LeaseResponse {
        self.update(now);
        match lease.token {
            Some(token) if !self.is_valid(now, token) => return LeaseResponse::Fenced,
            Some(_) if !self.is_holder(lease) => return LeaseResponse::Fenced,
            Some(_) => {}
            None => {
                if let Some(held) = self.held_by_other(now, lease) {
                    return held;
                }
                self.grant(now, lease);
            }
        }
        self.extend(now, lease);
        LeaseResponse::Granted(self.report(now))
    }

    /// Starts a task if its demand fits into the free capacity.
    pub fn start(&mut self, now: Millis, launch: &Launch) -> StartResult {
        self.update(now);
        let Err(at) = self.tasks.binary_search_by(|t| t.id.cmp(&launch.id)) else {
            return StartResult::Repeated;
        };
        if self.forgotten.binary_search(&launch.id).is_ok() {
            return StartResult::Forgotten;
        }
        if !launch.demand.fits(&self.free()) {
            return StartResult::Full;
        }
        let conditions = Conditions {
            default_run_ms: self.default_run_ms,
            slow: self.faults.slow,
            failing: self.faults.failing,
        };
        self.tasks.insert(at, Task::start(now, launch, &conditions));
        self.record_usage(now);
        StartResult::Begun
    }

    /// Whether this incarnation of the worker has started the task before.
    #[must_use]
    pub fn knows(&self, id: &TaskId) -> bool {
        let listed = self.tasks.binary_search_by(|t| t.id.cmp(id));
        listed.is_ok() || self.forgotten.binary_search(id).is_ok()
    }

    /// Signals a task; an unknown task is ignored.
    pub fn signal(&mut self, now: Millis, id: &TaskId, signal: Signal) {
        self.update(now);
        if let Ok(at) = self.tasks.binary_search_by(|t| t.id.cmp(id)) {
            self.tasks[at].signal(now, signal);
        }
        self.record_usage(now);
    }

    /// Forgets a task that has ended; a running or unknown task is ignored.
    pub fn forget(&mut self, now: Millis, id: &TaskId) {
        self.update(now);
        let Ok(at) = self.tasks.binary_search_by(|t| t.id.cmp(id)) else {
            return;
        };
        if self.tasks[at].state.active() {
            return;
        }
        let task = self.tasks.remove(at);
        if let Err(at) = self.forgotten.binary_search(&task.id) {
            self.forgotten.insert(at, task.id);
        }
    }

    /// Reserves resources for a request. Returns its key, or `None` if the demand does not fit.
    pub fn admit(&mut self, now: Millis, demand: &Resources) -> Option<u64> {
        self.update(now);
        if !demand.fits(&self.free()) {
            return None;
        }
        self.last_key += 1;
        self.requests.push(Request {
            key: self.last_key,
            token: self.token,
            demand: *demand,
        });
        self.record_usage(now);
        Some(self.last_key)
    }

    /// Releases the resources of a request. Returns whether the request was still in progress.
    pub fn finish(&mut self, now: Millis, key: u64) -> bool {
        let Ok(at) = self.requests.binary_search_by_key(&key, |r| r.key) else {
            return false;
        };
        self.requests.remove(at);
        self.record_usage(now);
        true
    }

    /// Whether a request is in progress.
    #[must_use]
    pub fn has_request(&self, key: u64) -> bool {
        self.requests.binary_search_by_key(&key, |r| r.key).is_ok()
    }

    /// Whether a task may still be executing at `now`.
    pub fn is_executing(&mut self, now: Millis, id: &TaskId) -> bool {
        self.update(now);
        let found = self.tasks.binary_search_by(|t| t.id.cmp(id));
        found.is_ok_and(|at| self.tasks[at].state.active())
    }

    /// Crashes the process, which ends all work; the worker stays down until [`Worker::restart`].
    pub fn crash(&mut self, now: Millis) {
        self.update(now);
        self.up = false;
        self.tasks.clear();
        self.requests.clear();
        self.holder = None;
        self.record_usage(now);
    }

    /// Starts a new incarnation. Tasks, requests and the lease are lost; the token counter is kept.
    pub fn restart(&mut self, now: Millis) {
        self.crash(now);
        self.up = true;
        self.boot = WorkerIncarnation(self.boot.0 + 1);
        self.forgotten.clear();
    }

    /// Sets the slowdown factor, in hundredths.
    pub fn set_slow(&mut self, now: Millis, slow: u64) {
        self.faults.slow = slow;
        for task in &mut self.tasks {
            task.set_slow(now, slow);
        }
    }

    /// Returns the resources that tasks and requests hold.
    #[must_use]
    pub fn held_resources(&self) -> Resources {
        let running = self.tasks.iter().filter(|t| t.state.active());
        let tasks = running.map(|t| t.demand);
        let requests = self.requests.iter().map(|r| r.demand);
        tasks
            .chain(requests)
            .fold(Resources::default(), |sum, d| sum.plus(&d))
    }

    /// Returns the number of tasks that may be executing and of requests in progress at `now`.
    pub fn load(&mut self, now: Millis) -> (usize, usize) {
        self.update(now);
        let tasks = self.tasks.iter().filter(|t| t.state.active()).count();
        (tasks, self.requests.len())
    }

    fn free(&self) -> Resources {
        let held = self.held_resources();
        self.spec.capacity.minus(&held).unwrap_or_default()
    }

    fn update(&mut self, now: Millis) {
        for task in &mut self.tasks {
            task.update(now);
        }
    }

    fn is_holder(&self, lease: &LeaseRequest) -> bool {
        let same = |h: &Holder| h.id == lease.holder && h.incarnation == lease.incarnation;
        self.holder.as_ref().is_some_and(same)
    }

    /// Returns the refusal if another holder's lease is valid. A later incarnation of the same
    /// holder takes the lease over.
    fn held_by_other(&self, now: Millis, lease: &LeaseRequest) -> Option<LeaseResponse> {
        let holder = self.holder.as_ref().filter(|h| now < h.expires)?;
        if holder.id == lease.holder && holder.incarnation <= lease.incarnation {
            return None;
        }
        Some(LeaseResponse::Held {
            holder: holder.id.clone(),
            left: holder.expires.since(now),
        })
    }

    fn grant(&mut self, now: Millis, lease: &LeaseRequest) {
        if self.is_holder(lease) && self.is_valid(now, self.token) {
            return;
        }
        self.token = Token(self.token.0 + 1);
    }

    fn extend(&mut self, now: Millis, lease: &LeaseRequest) {
        if lease.ttl == 0 {
            self.holder = None;
            return;
        }
        self.holder = Some(Holder {
            id: lease.holder.clone(),
            incarnation: lease.incarnation,
            expires: now.plus(lease.ttl),
        });
        for task in &mut self.tasks {
            task.renew(now, lease.task_ttl);
        }
    }

    fn report(&mut self, now: Millis) -> Report {
        self.record_usage(now);
        let earlier = self.requests.iter().filter(|r| r.token < self.token);
        let earlier = u32::try_from(earlier.count()).unwrap_or(u32::MAX);
        Report {
            token: self.token,
            incarnation: self.boot,
            capacity: self.spec.capacity,
            leaving: self.leaving.is_some(),
            tasks: self.tasks.iter().map(Task::view).collect(),
            requests: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            earlier: Some(earlier),
            usage: self.usage.front().map(|u| u.1).unwrap_or_default(),
        }
    }

    /// Records the actual usage. Drops records older than the lag, except the newest of these,
    /// which is the one to report.
    fn record_usage(&mut self, now: Millis) {
        let running = self.tasks.iter().filter(|t| t.state.active());
        let tasks = running.map(Task::usage);
        let requests = self.requests.iter().map(|r| r.demand);
        let used = tasks
            .chain(requests)
            .fold(Resources::default(), |sum, d| sum.plus(&d));
        if self.usage.back().is_none_or(|last| last.1 != used) {
            self.usage.push_back((now, used));
        }
        let seen = Millis(now.since(Millis(self.usage_lag)));
        while self.usage.get(1).is_some_and(|u| u.0 <= seen) {
            self.usage.pop_front();
        }
    }
}
