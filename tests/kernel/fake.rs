//! A fake worker. It checks fencing tokens but never refuses work for lack of resources, so that
//! only the accounting of the kernel prevents overcommitment.

use bamboolock::{
    ids::{
        InstanceId,
        Token,
        WorkerId, //
        WorkerIncarnation,
    },
    resources::Resources,
    wire::worker::{
        Launch,
        LeaseRequest,
        LeaseResponse,
        Report,
        Signal,
        SignalTasks,
        Start,
        StartResponse,
        Started,
        State,
        Task,
        TaskId, //
    }, //
};

/// The lease as recorded by the worker.
#[derive(Debug, Clone)]
pub(super) struct Register {
    pub(super) holder: InstanceId,
    pub(super) token: Token,
    pub(super) expires: u64,
}

/// A request in progress.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) id: u64,
    pub(super) token: Token,
    pub(super) demand: Resources,
}

/// A fake worker. Times are in milliseconds of the simulation's global clock.
#[derive(Debug, Clone)]
pub(super) struct Worker {
    pub(super) id: WorkerId,
    pub(super) boot: WorkerIncarnation,
    pub(super) register: Option<Register>,
    pub(super) tasks: Vec<Task>,
    pub(super) requests: Vec<Request>,
    pub(super) leaving: Option<u64>,
    pub(super) gone: bool,
    /// Whether the next start is refused as `Full`.
    pub(super) refuse_next: bool,
    /// Time at which the tasks lapse without a lease renewal.
    pub(super) task_expiry: u64,
    last_token: Token,
}

impl Worker {
    pub(super) fn new(id: WorkerId) -> Self {
        Self {
            id,
            boot: WorkerIncarnation(1),
            register: None,
            tasks: Vec::new(),
            requests: Vec::new(),
            leaving: None,
            gone: false,
            refuse_next: false,
            task_expiry: 0,
            last_token: Token(0),
        }
    }

    /// Restarts the worker, which loses everything but the highest token.
    pub(super) fn restart(&mut self) {
        self.boot = WorkerIncarnation(self.boot.0 + 1);
        self.register = None;
        self.tasks.clear();
        self.requests.clear();
    }

    pub(super) fn current(&self, token: Token) -> bool {
        self.register.as_ref().is_some_and(|r| r.token == token)
    }

    /// Lapses active tasks if their time without a renewal has passed.
    pub(super) fn tick(&mut self, t: u64) {
        if t < self.task_expiry {
            return;
        }
        for task in self.tasks.iter_mut().filter(|t| t.state.active()) {
            task.state = State::Lapsed;
        }
    }

    pub(super) fn lease(&mut self, t: u64, message: &LeaseRequest) -> LeaseResponse {
        match message.token {
            None => {
                if let Some(register) = &self.register
                    && register.holder != message.holder
                    && t < register.expires
                {
                    return LeaseResponse::Held {
                        holder: register.holder.clone(),
                        left: register.expires - t,
                    };
                }
                self.last_token = Token(self.last_token.0 + 1);
            }
            Some(token) if !self.current(token) => return LeaseResponse::Fenced,
            Some(token) if message.ttl == 0 => {
                self.register = None;
                return LeaseResponse::Granted(self.report(token));
            }
            Some(_) => {}
        }
        self.register = Some(Register {
            holder: message.holder.clone(),
            token: self.last_token,
            expires: t + message.ttl,
        });
        self.task_expiry = t + message.task_ttl;
        LeaseResponse::Granted(self.report(self.last_token))
    }

    fn report(&self, token: Token) -> Report {
        let earlier = self.requests.iter().filter(|r| r.token < token).count();
        Report {
            token,
            incarnation: self.boot,
            capacity: super::values::capacity(),
            leaving: self.leaving.is_some(),
            tasks: self.tasks.clone(),
            requests: u32::try_from(self.requests.len()).unwrap(),
            earlier: Some(u32::try_from(earlier).unwrap()),
            usage: Resources::default(),
        }
    }

    /// Starts tasks and adds those that began to execute to `started`.
    pub(super) fn start(&mut self, start: &Start, started: &mut Vec<TaskId>) -> StartResponse {
        let refuse = std::mem::take(&mut self.refuse_next);
        let current = self.current(start.token);
        let results = start.tasks.iter().map(|launch| {
            if !current {
                return Started::Fenced;
            }
            if self.tasks.iter().any(|t| t.id == launch.id) {
                return Started::Started;
            }
            if self.leaving.is_some() {
                return Started::Leaving;
            }
            if refuse {
                return Started::Full;
            }
            self.tasks.push(running(launch));
            started.push(launch.id.clone());
            Started::Started
        });
        StartResponse {
            results: results.collect(),
        }
    }

    pub(super) fn signal(&mut self, message: &SignalTasks) {
        if !self.current(message.token) {
            return;
        }
        for (id, signal) in &message.tasks {
            let found = self.tasks.iter_mut().find(|t| t.id == *id);
            let Some(task) = found.filter(|t| t.state.active()) else {
                continue;
            };
            if *signal == Signal::Stop {
                task.state = State::Stopping;
            }
        }
    }

    pub(super) fn forget(&mut self, token: Token, ids: &[TaskId]) {
        if self.current(token) {
            self.tasks
                .retain(|t| t.state.active() || !ids.contains(&t.id));
        }
    }

    /// Ends the `at`-th active task.
    pub(super) fn finish(&mut self, at: usize, failed: bool) {
        let active: Vec<_> = self.tasks.iter_mut().filter(|t| t.state.active()).collect();
        let count = active.len();
        let Some(task) = active.into_iter().nth(at % count.max(1)) else {
            return;
        };
        task.state = match (task.state, failed) {
            (State::Stopping, _) => State::Stopped,
            (_, true) => State::Failed,
            (_, false) => State::Done,
        };
    }
}

fn running(launch: &Launch) -> Task {
    Task {
        id: launch.id.clone(),
        demand: launch.demand,
        state: State::Running,
        checkpoint: launch.resume,
        reason: "".into(),
    }
}
