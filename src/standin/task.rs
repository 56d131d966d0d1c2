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
const FULL_SPEED: u64 = 1_000;

/// Conditions of a throttled task, in thousandths.
const THROTTLED_SPEED: u64 = 500;

/// How long a task takes to stop by default, in milliseconds.
const DEFAULT_STOP_MS: u64 = 50;

/// What a task's payload may say. Other fields are ignored.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Options {
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
    /// How it stands, as of the last [`Task::update`].
    pub state: State,
    /// When it lapses without renewal.
    pub expires: Millis,
    options: Options,
    /// Work done at `since`, in milliseconds of run time.
    done_ms: u64,
    updated: Millis,
    /// Its speed by its own signals, in thousandths.
    speed: u64,
    /// How many times slower the worker is, in hundredths; at least 100.
    slow: u64,
    /// Work at which it ends.
    total_ms: u64,
    /// Why it will fail; empty if it will not.
    failure: &'static str,
    stop: Option<Millis>,
    checkpoint: u64,
    reason: CompactString,
}

/// How a worker runs what it starts.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Run time of a task whose payload does not say, in milliseconds.
    pub default_run_ms: u64,
    /// How many times slower than normal, in hundredths.
    pub slow: u64,
    /// Whether everything fails at once.
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

    /// Brings the state up to `now`.
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

    /// Goes on for `ttl` milliseconds from `now`, if it still runs.
    pub fn renew(&mut self, now: Millis, ttl: u64) {
        self.expires = now.plus(ttl);
    }

    /// Takes a signal.
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

    /// Sets how many times slower the worker runs it, in hundredths.
    pub fn set_slow(&mut self, now: Millis, slow: u64) {
        self.update(now);
        self.advance(now);
        self.slow = slow.max(100);
    }

    /// What it really uses.
    #[must_use]
    pub fn usage(&self) -> Resources {
        let memory = self.options.memory.unwrap_or(self.demand.memory);
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

    /// When and how it ends if nothing else happens.
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

    /// When its work is done.
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
