//! One worker: its placement lease, its tasks and the requests in progress.

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
            Speed,
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

/// Where a worker stands and what it has.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Its id.
    pub id: WorkerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// What it has.
    pub capacity: Resources,
}

/// Who holds the placement lease.
#[derive(Debug, Clone)]
struct Holder {
    id: InstanceId,
    incarnation: Incarnation,
    until: Millis,
}

/// A request in progress.
#[derive(Debug, Clone, Copy)]
struct Request {
    key: u64,
    token: Token,
    demand: Resources,
}

/// What became of one start, as the worker knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It began to run just now.
    Begun,
    /// The same task was started before and is still known.
    Repeated,
    /// The same task was started before and forgotten.
    Forgotten,
    /// There is no room for it.
    Full,
}

/// A worker's state.
#[derive(Debug)]
pub struct Worker {
    /// Where it stands and what it has.
    pub spec: Spec,
    /// Its switched faults.
    pub faults: faults::Worker,
    /// Whether its process is alive.
    pub up: bool,
    /// Since when it has been about to leave.
    pub leaving: Option<Millis>,
    /// Its life.
    pub boot: WorkerIncarnation,
    token: Token,
    holder: Option<Holder>,
    /// Sorted by id.
    tasks: Vec<Task>,
    /// Sorted.
    forgotten: Vec<TaskId>,
    /// Requests in progress, sorted by key.
    requests: Vec<Request>,
    next: u64,
    usage: VecDeque<(Millis, Resources)>,
    lag: u64,
    run: u64,
}

impl Worker {
    /// A worker that holds nothing. `lag` is that of its usage reports and `run` the default run
    /// time of a task, both in milliseconds.
    #[must_use]
    pub fn new(spec: Spec, lag: u64, run: u64) -> Self {
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
            next: 0,
            usage: VecDeque::new(),
            lag,
            run,
        }
    }

    /// Whether a token allows its bearer to act at `now`.
    #[must_use]
    pub fn holds(&self, now: Millis, token: Token) -> bool {
        let Some(holder) = &self.holder else {
            return false;
        };
        token == self.token && now < holder.until
    }

    /// Takes, renews or gives up the placement lease.
    pub fn lease(&mut self, now: Millis, ask: &LeaseRequest) -> LeaseResponse {
        self.settle(now);
        match ask.token {
            Some(token) if !self.holds(now, token) => return LeaseResponse::Fenced,
            Some(_) if !self.is_holder(ask) => return LeaseResponse::Fenced,
            Some(_) => {}
            None => {
                if let Some(held) = self.held(now, ask) {
                    return held;
                }
                self.take(now, ask);
            }
        }
        self.extend(now, ask);
        LeaseResponse::Granted(self.report(now))
    }

    /// Starts a task if there is room for it.
    pub fn start(&mut self, now: Millis, launch: &Launch) -> Outcome {
        self.settle(now);
        let Err(at) = self.tasks.binary_search_by(|t| t.id.cmp(&launch.id)) else {
            return Outcome::Repeated;
        };
        if self.forgotten.binary_search(&launch.id).is_ok() {
            return Outcome::Forgotten;
        }
        if !launch.demand.fits(&self.free()) {
            return Outcome::Full;
        }
        let speed = Speed {
            run: self.run,
            slow: self.faults.slow,
            failing: self.faults.failing,
        };
        self.tasks.insert(at, Task::start(now, launch, &speed));
        self.sample(now);
        Outcome::Begun
    }

    /// Whether a task was started before in this life.
    #[must_use]
    pub fn knows(&self, id: &TaskId) -> bool {
        let listed = self.tasks.binary_search_by(|t| t.id.cmp(id));
        listed.is_ok() || self.forgotten.binary_search(id).is_ok()
    }

    /// Signals a task; an unknown one is passed over.
    pub fn signal(&mut self, now: Millis, id: &TaskId, signal: Signal) {
        self.settle(now);
        if let Ok(at) = self.tasks.binary_search_by(|t| t.id.cmp(id)) {
            self.tasks[at].signal(now, signal);
        }
        self.sample(now);
    }

    /// Drops a task that has ended. One that runs, or is unknown, is passed over.
    pub fn forget(&mut self, now: Millis, id: &TaskId) {
        self.settle(now);
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

    /// Takes room for a request. Returns its key, or `None` when there is no room.
    pub fn admit(&mut self, now: Millis, demand: &Resources) -> Option<u64> {
        self.settle(now);
        if !demand.fits(&self.free()) {
            return None;
        }
        self.next += 1;
        self.requests.push(Request {
            key: self.next,
            token: self.token,
            demand: *demand,
        });
        self.sample(now);
        Some(self.next)
    }

    /// Gives the room of a request back. Returns whether the worker still ran it.
    pub fn finish(&mut self, now: Millis, key: u64) -> bool {
        let Ok(at) = self.requests.binary_search_by_key(&key, |r| r.key) else {
            return false;
        };
        self.requests.remove(at);
        self.sample(now);
        true
    }

    /// Whether a request is in progress.
    #[must_use]
    pub fn serves(&self, key: u64) -> bool {
        self.requests.binary_search_by_key(&key, |r| r.key).is_ok()
    }

    /// Whether a task may still execute at `now`.
    pub fn executes(&mut self, now: Millis, id: &TaskId) -> bool {
        self.settle(now);
        let found = self.tasks.binary_search_by(|t| t.id.cmp(id));
        found.is_ok_and(|at| self.tasks[at].state.active())
    }

    /// Ends everything at once: the process is dead until [`Worker::restart`].
    pub fn crash(&mut self, now: Millis) {
        self.settle(now);
        self.up = false;
        self.tasks.clear();
        self.requests.clear();
        self.holder = None;
        self.sample(now);
    }

    /// Begins a new life. Tasks, requests and the lease are lost; the token register is kept.
    pub fn restart(&mut self, now: Millis) {
        self.crash(now);
        self.up = true;
        self.boot = WorkerIncarnation(self.boot.0 + 1);
        self.forgotten.clear();
    }

    /// Sets how many times slower it runs, in hundredths.
    pub fn set_slow(&mut self, now: Millis, slow: u64) {
        self.faults.slow = slow;
        for task in &mut self.tasks {
            task.set_slow(now, slow);
        }
    }

    /// What tasks and requests hold.
    #[must_use]
    pub fn held_resources(&self) -> Resources {
        let running = self.tasks.iter().filter(|t| t.state.active());
        let tasks = running.map(|t| t.demand);
        let requests = self.requests.iter().map(|r| r.demand);
        tasks
            .chain(requests)
            .fold(Resources::default(), |sum, d| sum.plus(&d))
    }

    /// How many tasks may execute and how many requests are in progress at `now`.
    pub fn load(&mut self, now: Millis) -> (usize, usize) {
        self.settle(now);
        let tasks = self.tasks.iter().filter(|t| t.state.active()).count();
        (tasks, self.requests.len())
    }

    fn free(&self) -> Resources {
        let held = self.held_resources();
        self.spec.capacity.minus(&held).unwrap_or_default()
    }

    fn settle(&mut self, now: Millis) {
        for task in &mut self.tasks {
            task.settle(now);
        }
    }

    fn is_holder(&self, ask: &LeaseRequest) -> bool {
        let same = |h: &Holder| h.id == ask.holder && h.incarnation == ask.incarnation;
        self.holder.as_ref().is_some_and(same)
    }

    /// Whether another holder's lease stands in the way. A later life of the holder takes over.
    fn held(&self, now: Millis, ask: &LeaseRequest) -> Option<LeaseResponse> {
        let holder = self.holder.as_ref().filter(|h| now < h.until)?;
        if holder.id == ask.holder && holder.incarnation <= ask.incarnation {
            return None;
        }
        Some(LeaseResponse::Held {
            holder: holder.id.clone(),
            left: holder.until.since(now),
        })
    }

    fn take(&mut self, now: Millis, ask: &LeaseRequest) {
        if self.is_holder(ask) && self.holds(now, self.token) {
            return;
        }
        self.token = Token(self.token.0 + 1);
    }

    fn extend(&mut self, now: Millis, ask: &LeaseRequest) {
        if ask.ttl == 0 {
            self.holder = None;
            return;
        }
        self.holder = Some(Holder {
            id: ask.holder.clone(),
            incarnation: ask.incarnation,
            until: now.plus(ask.ttl),
        });
        for task in &mut self.tasks {
            task.renew(now, ask.task_ttl);
        }
    }

    fn report(&mut self, now: Millis) -> Report {
        self.sample(now);
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

    /// Notes the real usage, and drops what is older than the lag but for the newest such.
    fn sample(&mut self, now: Millis) {
        let running = self.tasks.iter().filter(|t| t.state.active());
        let tasks = running.map(Task::usage);
        let requests = self.requests.iter().map(|r| r.demand);
        let used = tasks
            .chain(requests)
            .fold(Resources::default(), |sum, d| sum.plus(&d));
        if self.usage.back().is_none_or(|last| last.1 != used) {
            self.usage.push_back((now, used));
        }
        let seen = Millis(now.since(Millis(self.lag)));
        while self.usage.get(1).is_some_and(|u| u.0 <= seen) {
            self.usage.pop_front();
        }
    }
}
