//! One task on a worker: how far it is, and when and how it ends.

use compact_str::CompactString;
use serde::Deserialize;

use crate::{
    ids::Millis,
    resources::Resources,
    wire::worker::{
        self,
        Launch,
        Signal,
        State,
        TaskId, //
    }, //
};

/// Full speed, in thousandths.
const FULL: u64 = 1_000;

/// Speed of a throttled task, in thousandths.
const HALF: u64 = 500;

/// How long a task takes to stop by default, in milliseconds.
const STOP: u64 = 50;

/// What a task's payload may say. Other fields are ignored.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Plan {
    /// How long it runs at full speed, in milliseconds; absent for the settings' value.
    pub run_ms: Option<u64>,
    /// Whether it runs until it is stopped.
    pub forever: bool,
    /// Whether every attempt fails.
    pub fail: bool,
    /// Attempts below this one fail.
    pub fail_until_attempt: u32,
    /// How long it takes to stop, in milliseconds.
    pub stop_ms: Option<u64>,
    /// Memory that it really uses, in MiB; above its demand it fails half-way.
    pub memory: Option<u32>,
}

/// A task that was started.
#[derive(Debug, Clone)]
pub struct Task {
    /// Which.
    pub id: TaskId,
    /// What it takes.
    pub demand: Resources,
    /// How it stands, as of the last [`Task::settle`].
    pub state: State,
    /// When it lapses without renewal.
    pub lapse: Millis,
    plan: Plan,
    /// Work done at `since`, in milliseconds of run time.
    work: u64,
    since: Millis,
    /// Its speed by its own signals, in thousandths.
    speed: u64,
    /// How many times slower the worker is, in hundredths; at least 100.
    slow: u64,
    /// Work at which it ends.
    total: u64,
    /// Why it will fail; empty if it will not.
    fault: &'static str,
    stop: Option<Millis>,
    checkpoint: u64,
    reason: CompactString,
}

/// How a worker runs what it starts.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Run time of a task whose payload does not say, in milliseconds.
    pub run: u64,
    /// How many times slower than normal, in hundredths.
    pub slow: u64,
    /// Whether everything fails at once.
    pub failing: bool,
}

impl Task {
    /// Starts a task.
    #[must_use]
    pub fn start(now: Millis, launch: &Launch, speed: &Speed) -> Self {
        let plan: Plan = serde_json::from_value(launch.payload.clone()).unwrap_or_default();
        let run = plan.run_ms.unwrap_or(speed.run);
        let fault = fault(&plan, launch, speed);
        let total = match fault {
            "worker fails everything" => launch.resume,
            "out of memory" => run / 2,
            _ => run,
        };
        Self {
            id: launch.id.clone(),
            demand: launch.demand,
            state: State::Running,
            lapse: now.plus(launch.ttl),
            plan,
            work: launch.resume,
            since: now,
            speed: FULL,
            slow: speed.slow.max(100),
            total,
            fault,
            stop: None,
            checkpoint: launch.resume,
            reason: CompactString::default(),
        }
    }

    /// Brings the state up to `now`.
    pub fn settle(&mut self, now: Millis) {
        if !self.state.active() {
            return;
        }
        let (end, state) = self.end();
        if end > now {
            return;
        }
        self.advance(end);
        self.state = state;
        self.reason = match state {
            State::Failed => self.fault.into(),
            State::Lapsed => "lease lapsed".into(),
            State::Stopped if self.reason.is_empty() => "stopped".into(),
            _ => self.reason.clone(),
        };
    }

    /// Goes on for `ttl` milliseconds from `now`, if it still runs.
    pub fn renew(&mut self, now: Millis, ttl: u64) {
        self.lapse = now.plus(ttl);
    }

    /// Takes a signal.
    pub fn signal(&mut self, now: Millis, signal: Signal) {
        self.settle(now);
        if !self.state.active() {
            return;
        }
        self.advance(now);
        match signal {
            Signal::Stop => self.halt(now),
            Signal::Checkpoint => self.checkpoint = self.work,
            Signal::Suspend => {
                self.checkpoint = self.work;
                self.halt(now);
                self.reason = "suspended".into();
            }
            Signal::Throttle => self.speed = HALF,
        }
    }

    /// Sets how many times slower the worker runs it, in hundredths.
    pub fn set_slow(&mut self, now: Millis, slow: u64) {
        self.settle(now);
        self.advance(now);
        self.slow = slow.max(100);
    }

    /// What it really uses.
    #[must_use]
    pub fn usage(&self) -> Resources {
        let memory = self.plan.memory.unwrap_or(self.demand.memory);
        Resources {
            memory: memory.min(self.demand.memory),
            ..self.demand
        }
    }

    /// How it stands, for the report.
    #[must_use]
    pub fn view(&self) -> worker::Task {
        worker::Task {
            id: self.id.clone(),
            demand: self.demand,
            state: self.state,
            checkpoint: self.checkpoint,
            reason: self.reason.clone(),
        }
    }

    fn halt(&mut self, now: Millis) {
        if self.state == State::Stopping {
            return;
        }
        self.state = State::Stopping;
        self.stop = Some(now.plus(self.plan.stop_ms.unwrap_or(STOP)));
    }

    fn advance(&mut self, now: Millis) {
        let span = now.since(self.since);
        self.work += span * self.speed * 100 / (self.slow * FULL);
        self.since = now;
    }

    /// When and how it ends if nothing else happens.
    fn end(&self) -> (Millis, State) {
        let done = match self.fault.is_empty() {
            true => State::Done,
            false => State::Failed,
        };
        let stop = self.stop.unwrap_or(Millis(u64::MAX));
        let ends = [
            (self.complete(), done),
            (stop, State::Stopped),
            (self.lapse, State::Lapsed),
        ];
        let first = ends.into_iter().min_by_key(|(at, _)| *at);
        first.unwrap_or((self.lapse, State::Lapsed))
    }

    /// When its work is done.
    fn complete(&self) -> Millis {
        if self.plan.forever && self.fault.is_empty() {
            return Millis(u64::MAX);
        }
        let left = self.total.saturating_sub(self.work);
        let span = left * self.slow * FULL;
        self.since.plus(span.div_ceil(self.speed * 100))
    }
}

fn fault(plan: &Plan, launch: &Launch, speed: &Speed) -> &'static str {
    if speed.failing {
        return "worker fails everything";
    }
    if plan.memory.is_some_and(|m| m > launch.demand.memory) {
        return "out of memory";
    }
    if plan.fail || launch.id.attempt < plan.fail_until_attempt {
        return "task failed";
    }
    ""
}
