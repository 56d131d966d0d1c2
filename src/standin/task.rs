//! Simulated task on a worker: its progress, and when and how it ends.

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

/// Speed of a task that is not throttled, in thousandths.
const FULL_SPEED: u64 = 1_000;

/// Speed of a throttled task, in thousandths.
const THROTTLED_SPEED: u64 = 500;

/// Default time that a task takes to stop, in milliseconds.
const DEFAULT_STOP_MS: u64 = 50;

/// Options that a task's payload may set. Other fields are ignored.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Options {
    /// Run time at full speed, in milliseconds; absent for the default of the settings.
    pub run_ms: Option<u64>,
    /// Whether the task runs until it is stopped.
    pub forever: bool,
    /// Whether every attempt fails.
    pub fail: bool,
    /// Attempts below this one fail.
    pub fail_until_attempt: u32,
    /// Time that the task takes to stop, in milliseconds.
    pub stop_ms: Option<u64>,
    /// Memory that the task uses, in MiB; above its demand the task fails half-way.
    pub memory: Option<u32>,
}

/// Task that was started on a worker.
#[derive(Debug, Clone)]
pub struct Task {
    /// Id of the task and its attempt.
    pub id: TaskId,
    /// Resources that the task takes.
    pub demand: Resources,
    /// State as of the last [`Task::update`].
    pub state: State,
    /// Time at which the task lapses unless the lease is renewed.
    pub expires: Millis,
    options: Options,
    /// Work done by the time `updated`, in milliseconds of run time.
    done_ms: u64,
    updated: Millis,
    /// Speed set by signals, in thousandths.
    speed: u64,
    /// Slowdown factor of the worker, in hundredths; at least 100.
    slow: u64,
    /// Work at which the task ends, in milliseconds of run time.
    total_ms: u64,
    /// Reason for which the task will fail; empty if it will succeed.
    failure: &'static str,
    stop: Option<Millis>,
    checkpoint: u64,
    reason: CompactString,
}

/// Conditions on the worker under which a task starts.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Run time of a task whose payload sets none, in milliseconds.
    pub default_run_ms: u64,
    /// Slowdown factor, in hundredths; 100 is normal speed.
    pub slow: u64,
    /// Whether every task fails immediately.
    pub failing: bool,
}

impl Task {
    /// Starts a task.
    #[must_use]
    pub fn start(now: Millis, launch: &Launch, conditions: &Conditions) -> Self {
        let options: Options = serde_json::from_value(launch.payload.clone()).unwrap_or_default();
        let run = options.run_ms.unwrap_or(conditions.default_run_ms);
        let failure = failure(&options, launch, conditions);
        let total_ms = match failure {
            "worker fails everything" => launch.resume,
            "out of memory" => run / 2,
            _ => run,
        };
        Self {
            id: launch.id.clone(),
            demand: launch.demand,
            state: State::Running,
            expires: now.plus(launch.ttl),
            options,
            done_ms: launch.resume,
            updated: now,
            speed: FULL_SPEED,
            slow: conditions.slow.max(100),
            total_ms,
            failure,
            stop: None,
            checkpoint: launch.resume,
            reason: CompactString::default(),
        }
    }

    /// Updates the state to the time `now`.
    pub fn update(&mut self, now: Millis) {
        if !self.state.active() {
            return;
        }
        let (end, state) = self.projected_end();
        if end > now {
            return;
        }
        self.advance(end);
        self.state = state;
        self.reason = match state {
            State::Failed => self.failure.into(),
            State::Lapsed => "lease lapsed".into(),
            State::Stopped if self.reason.is_empty() => "stopped".into(),
            _ => self.reason.clone(),
        };
    }

    /// Extends the task's lease to `ttl` milliseconds from `now`.
    pub fn renew(&mut self, now: Millis, ttl: u64) {
        self.expires = now.plus(ttl);
    }

    /// Applies a signal; ignored once the task has ended.
    pub fn signal(&mut self, now: Millis, signal: Signal) {
        self.update(now);
        if !self.state.active() {
            return;
        }
        self.advance(now);
        match signal {
            Signal::Stop => self.begin_stop(now),
            Signal::Checkpoint => self.checkpoint = self.done_ms,
            Signal::Suspend => {
                self.checkpoint = self.done_ms;
                self.begin_stop(now);
                self.reason = "suspended".into();
            }
            Signal::Throttle => self.speed = THROTTLED_SPEED,
        }
    }

    /// Sets the slowdown factor of the worker, in hundredths, from `now` on.
    pub fn set_slow(&mut self, now: Millis, slow: u64) {
        self.update(now);
        self.advance(now);
        self.slow = slow.max(100);
    }

    /// Returns the resources in actual use.
    #[must_use]
    pub fn usage(&self) -> Resources {
        let memory = self.options.memory.unwrap_or(self.demand.memory);
        Resources {
            memory: memory.min(self.demand.memory),
            ..self.demand
        }
    }

    /// Returns the task's entry for the worker's report.
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

    fn begin_stop(&mut self, now: Millis) {
        if self.state == State::Stopping {
            return;
        }
        self.state = State::Stopping;
        self.stop = Some(now.plus(self.options.stop_ms.unwrap_or(DEFAULT_STOP_MS)));
    }

    fn advance(&mut self, now: Millis) {
        let span = now.since(self.updated);
        self.done_ms += span * self.speed * 100 / (self.slow * FULL_SPEED);
        self.updated = now;
    }

    /// Returns when and in which state the task ends unless something changes.
    fn projected_end(&self) -> (Millis, State) {
        let done = match self.failure.is_empty() {
            true => State::Done,
            false => State::Failed,
        };
        let stop = self.stop.unwrap_or(Millis(u64::MAX));
        let ends = [
            (self.completion_time(), done),
            (stop, State::Stopped),
            (self.expires, State::Lapsed),
        ];
        let first = ends.into_iter().min_by_key(|(at, _)| *at);
        first.unwrap_or((self.expires, State::Lapsed))
    }

    /// Returns the time at which all work is done.
    fn completion_time(&self) -> Millis {
        if self.options.forever && self.failure.is_empty() {
            return Millis(u64::MAX);
        }
        let left = self.total_ms.saturating_sub(self.done_ms);
        let span = left * self.slow * FULL_SPEED;
        self.updated.plus(span.div_ceil(self.speed * 100))
    }
}

fn failure(options: &Options, launch: &Launch, conditions: &Conditions) -> &'static str {
    if conditions.failing {
        return "worker fails everything";
    }
    if options.memory.is_some_and(|m| m > launch.demand.memory) {
        return "out of memory";
    }
    if options.fail || launch.id.attempt < options.fail_until_attempt {
        return "task failed";
    }
    ""
}
