//! Orders to workers: what is sent, and what follows from each answer.

use std::time::Duration;

use compact_str::CompactString;
use log::{
    info,
    warn, //
};

use super::{
    Action,
    Engine, //
};
use crate::cell::{
    cluster::RunState,
    job::{
        RunKey,
        WorkerKey, //
    },
    model::{
        self,
        Verdict, //
    }, //
};

/// How long a start may wait on its way, in milliseconds of the worker's clock: long enough for a
/// busy worker and a repetition, short enough to resolve a lost order soon.
const START_VALIDITY_MS: u64 = 2_500;

/// Time before an unanswered order is repeated, in milliseconds: a round trip to another region
/// with some queueing.
const RETRY_DELAY_MS: u64 = 30;

/// Pause before an order to stop that was refused is repeated, in milliseconds.
const STOP_RETRY_MS: u64 = 250;

/// Wait that a report may take at the worker until something ends: a fifth of the lease.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a report that failed, in milliseconds.
const POLL_RETRY_MS: u64 = 200;

/// Pause after reports that fail for over a lease, in milliseconds.
const SILENT_POLL_RETRY_MS: u64 = 1_000;

/// Shortest time in which a worker can end and start anew, in milliseconds: below any that the
/// platform shows.
const MIN_RESTART_MS: u64 = 1_000;

/// Part of the longest lease that is asked for: the rest covers clocks that differ.
const LEASE_SHARE: f64 = 0.92;

/// Added to the end of an order's span before it is taken as void, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 100;

/// Where an order goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// The worker's id.
    pub worker: CompactString,
    /// `IP:port`.
    pub address: CompactString,
}

/// An order to start.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// Where it goes.
    pub to: Address,
    /// The task.
    pub task: model::TaskName,
    /// Number of the run.
    pub run: u32,
    /// Opaque text of the job.
    pub spec: String,
    /// When it expires on the worker's clock, in milliseconds.
    pub expires_at: u64,
    /// Checkpoint to resume from.
    pub checkpoint: CompactString,
    /// Permit.
    pub permit: CompactString,
}

/// An order to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Where it goes.
    pub to: Address,
    /// The task.
    pub task: model::TaskName,
    /// Number of the run.
    pub run: u32,
}

/// An order to prolong leases and to report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Poll {
    /// Where it goes.
    pub to: Address,
    /// Highest end that need not be listed again.
    pub acknowledged: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end: Option<u64>,
    /// How long the worker may wait.
    pub wait: Duration,
    /// Local time at which it is sent, in milliseconds.
    pub sent_at: u64,
}

/// Why an order has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// Nothing was sent.
    Unsent,
    /// It may have been carried out, or may be later.
    Unknown,
}

impl Engine {
    fn address(&self, key: WorkerKey) -> Option<Address> {
        let worker = self.cluster.workers.get(key)?;
        Some(Address {
            worker: worker.registration.id.clone(),
            address: worker.registration.address.clone(),
        })
    }

    /// The order to start a run, if it is still to be given.
    pub fn start_command(&mut self, key: RunKey, now: u64) -> Option<Start> {
        let run = self.cluster.runs.get_mut(key)?;
        if run.stopping || run.in_flight {
            return None;
        }
        let task = run.task?;
        let worker = self.cluster.workers.get_mut(run.worker)?;
        let clock = worker.clock_at(now)?;
        if run.start_expires == 0 {
            run.start_expires = clock + START_VALIDITY_MS;
        }
        worker.extend_leases(run.start_expires, now);
        run.in_flight = true;
        let job = self.jobs.get(task.step.job)?;
        let saved = job
            .step(task.step)?
            .tasks
            .get(task.index as usize)?
            .checkpoint
            .clone();
        let (name, number, ticket, expires) = (
            run.name.clone(),
            run.number,
            run.permit.clone(),
            run.start_expires,
        );
        Some(Start {
            to: self.address(self.cluster.runs[key].worker)?,
            task: name,
            run: number,
            spec: job.submission.spec.clone(),
            expires_at: expires,
            checkpoint: saved,
            permit: ticket,
        })
    }

    /// Takes the answer to a start in.
    pub fn start_answered(
        &mut self,
        key: RunKey,
        answer: Result<model::Reply, SendError>,
        now: u64,
    ) {
        let Some(run) = self.cluster.runs.get_mut(key) else {
            return;
        };
        run.in_flight = false;
        let worker = run.worker;
        match answer {
            Ok(reply) => {
                self.record_clock(worker, reply.clock, now);
                self.apply_start_reply(key, reply.verdict, now);
            }
            Err(SendError::Unsent) if self.cluster.runs[key].state == RunState::Sent => {
                self.mark_silent(worker, now);
                self.end_run(key, model::Outcome::Lapsed, "", now);
            }
            Err(_) => {
                let run = &mut self.cluster.runs[key];
                run.state = RunState::Unanswered;
                run.retry_after = now + RETRY_DELAY_MS;
                warn!(job = run.name.job.as_str(), step = run.name.step, task = run.name.index, run = run.number,
                    age = now - run.ordered_at; "start not answered");
                self.mark_silent(worker, now);
            }
        }
    }

    fn apply_start_reply(&mut self, key: RunKey, verdict: Verdict, now: u64) {
        let run = &mut self.cluster.runs[key];
        let worker = run.worker;
        if verdict == Verdict::Accepted {
            run.state = RunState::Confirmed(now);
            let unwanted = run.stopping;
            let task = run.task;
            if unwanted {
                self.actions.push(Action::Stop(key));
            }
            if let Some(task) = task {
                self.mark_started(task);
            }
            return;
        }
        let id = &self.cluster.workers[worker].registration.id;
        info!(job = run.name.job.as_str(), step = run.name.step, task = run.name.index, run = run.number,
            worker = id.as_str(), verdict:? = verdict; "start refused");
        match verdict {
            Verdict::Fenced => self.deposed = true,
            Verdict::Reborn => self.mark_superseded(worker, now),
            Verdict::Old | Verdict::Late if run.state != RunState::Sent => {
                // It may have run and ended meanwhile; the worker's lists tell.
                run.retry_after = now + POLL_RETRY_MS;
                if run.state == RunState::Unanswered {
                    run.state = RunState::Confirmed(now);
                }
                self.cluster.workers[worker].poll_after = 0;
            }
            Verdict::Permit => {
                if let Some(task) = run.task {
                    let step = self
                        .jobs
                        .get_mut(task.step.job)
                        .and_then(|j| j.step_mut(task.step));
                    if let Some(step) = step {
                        step.policy.permits.retain(|t| t.worker != worker);
                    }
                }
                self.end_run(key, model::Outcome::Stopped, "", now);
            }
            Verdict::Unwell => {
                self.cluster.workers[worker].suspend(now);
                self.end_run(key, model::Outcome::Stopped, "", now);
            }
            _ => self.end_run(key, model::Outcome::Stopped, "", now),
        }
    }

    /// The order to stop a run, if it is still to be given.
    pub fn stop_command(&mut self, key: RunKey, now: u64) -> Option<Stop> {
        let run = self.cluster.runs.get_mut(key)?;
        if run.in_flight || now < run.retry_after || !run.stopping {
            return None;
        }
        run.in_flight = true;
        let (name, number, worker) = (run.name.clone(), run.number, run.worker);
        Some(Stop {
            to: self.address(worker)?,
            task: name,
            run: number,
        })
    }

    /// Takes the answer to a stop in.
    pub fn stop_answered(
        &mut self,
        key: RunKey,
        answer: Result<model::Reply, SendError>,
        now: u64,
    ) {
        let Some(run) = self.cluster.runs.get_mut(key) else {
            return;
        };
        run.in_flight = false;
        let worker = run.worker;
        match answer {
            Ok(reply) => {
                match reply.verdict {
                    Verdict::Accepted | Verdict::Old => {
                        // A worker that has acknowledged a stop starts the run no more. The first
                        // answer counts: a report that was asked for after it tells all.
                        if !matches!(run.state, RunState::Confirmed(_)) {
                            run.state = RunState::Confirmed(now);
                        }
                        run.retry_after = now + STOP_RETRY_MS.max(self.times.stop * 2);
                    }
                    Verdict::Fenced => self.deposed = true,
                    Verdict::Reborn => return self.mark_superseded(worker, now),
                    _ => run.retry_after = now + STOP_RETRY_MS,
                }
                self.record_clock(worker, reply.clock, now);
            }
            Err(_) => {
                run.retry_after = now + RETRY_DELAY_MS;
                self.mark_silent(worker, now);
            }
        }
    }

    /// The order to report, if one is due.
    pub fn poll_command(&mut self, key: WorkerKey, now: u64) -> Option<Poll> {
        let (durable, confident, ordering) = (
            self.durable_batch,
            self.is_store_fresh(now),
            self.may_order(now),
        );
        let lease = (self.times.lease as f64 * LEASE_SHARE) as u64;
        let to = self.address(key)?;
        let worker = self.cluster.workers.get_mut(key)?;
        // A life of a worker that has seen no token yet would take orders from a former owner.
        if !worker.is_poll_due(durable, now) || !worker.fenced && !confident {
            return None;
        }
        let stored = worker.outcome_batch <= durable;
        // Numbers of a former life would make a new one forget ends that nobody has seen.
        let same = worker.last_report + MIN_RESTART_MS > now && worker.silent_since.is_none();
        let seen = match (same, stored) {
            (false, _) => 0,
            (true, true) => worker.last_outcome,
            (true, false) => worker.acknowledged,
        };
        // A silent worker is only asked: each prolonged lease would put off the time at which its
        // runs have surely lapsed.
        let prolong = ordering && !worker.runs.is_empty() && worker.silent_since.is_none();
        let clock = worker.clock_at(now).filter(|_| prolong);
        let expires = clock.map(|clock| clock + lease);
        if let Some(expires) = expires {
            worker.extend_leases(expires, now);
        }
        worker.polling = true;
        let idle = worker.fenced && expires.is_some() && stored && worker.silent_since.is_none();
        Some(Poll {
            to,
            acknowledged: seen,
            lease_end: expires,
            wait: if idle { POLL_WAIT } else { Duration::ZERO },
            sent_at: now,
        })
    }

    /// Takes a failed report in.
    pub fn poll_failed(&mut self, key: WorkerKey, now: u64) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        worker.polling = false;
        let since = worker.silent_since.unwrap_or(now);
        let long = now.saturating_sub(since) > self.times.lease;
        worker.poll_after = now
            + if long {
                SILENT_POLL_RETRY_MS
            } else {
                POLL_RETRY_MS
            };
        self.mark_silent(key, now);
        self.remove_if_empty(key);
    }

    /// Takes a refused report in.
    pub fn poll_refused(&mut self, key: WorkerKey, reply: model::Reply, now: u64) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        worker.polling = false;
        worker.poll_after = now + POLL_RETRY_MS;
        match reply.verdict {
            Verdict::Fenced => {
                warn!(worker = worker.registration.id.as_str(), token = self.token; "a higher token was seen here");
                self.deposed = true;
            }
            Verdict::Reborn => self.mark_superseded(key, now),
            // Nothing was prolonged, so that what runs there ends with its lease.
            _ => self.mark_silent(key, now),
        }
        self.remove_if_empty(key);
    }

    /// Another worker answers at the address of this one, which has ended with all its runs.
    fn mark_superseded(&mut self, key: WorkerKey, now: u64) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        info!(worker = worker.registration.id.as_str(), address = worker.registration.address.as_str(), runs = worker.runs.len();
            "another worker answers at its address");
        worker.fenced = false;
        worker.superseded = true;
        worker.clock_reading = None;
        worker.leases_end = 0;
        for run in worker.runs.clone() {
            self.end_run(run, model::Outcome::Lapsed, "", now);
        }
        self.pass_needed = true;
    }

    /// Takes a reading of a worker's clock. Only an answer with one ends the worker's silence: others
    /// may come from whoever else has its address.
    pub(super) fn record_clock(&mut self, key: WorkerKey, clock: Option<u64>, now: u64) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        let Some(clock) = clock else {
            return;
        };
        worker.clock_reading = Some((now, clock));
        if let Some(since) = worker.silent_since.take() {
            info!(worker = worker.registration.id.as_str(), after = now - since; "worker answers again");
            self.pass_needed = true;
        }
    }

    fn mark_silent(&mut self, key: WorkerKey, now: u64) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        if worker.silent_since.is_none() {
            info!(worker = worker.registration.id.as_str(), runs = worker.runs.len(), lapses = worker.leases_end.saturating_sub(now);
                "worker does not answer");
            worker.silent_since = Some(now);
        }
    }

    /// Asks for the reports that are due.
    pub(super) fn poll_due_workers(&mut self, now: u64) {
        for (key, worker) in &self.cluster.workers {
            if worker.is_poll_due(self.durable_batch, now) {
                self.actions.push(Action::Poll(key));
            }
        }
    }

    /// Ends what runs on workers whose leases have run out.
    pub(super) fn expire_leases(&mut self, now: u64) {
        let mut over = Vec::new();
        for worker in self.cluster.workers.values() {
            if worker.silent_since.is_some() && worker.leases_end < now && !worker.runs.is_empty() {
                info!(worker = worker.registration.id.as_str(), runs = worker.runs.len(); "leases ran out");
                over.extend(worker.runs.iter().copied());
            }
        }
        for run in over {
            self.end_run(run, model::Outcome::Lapsed, "", now);
        }
    }

    /// Repeats orders without an answer.
    pub(super) fn retry_commands(&mut self, now: u64) {
        for (key, run) in &self.cluster.runs {
            if run.in_flight || now < run.retry_after {
                continue;
            }
            if run.stopping {
                self.actions.push(Action::Stop(key));
                continue;
            }
            if run.state != RunState::Unanswered {
                continue;
            }
            let clock = self.cluster.workers[run.worker].clock_at(now);
            if clock.is_some_and(|clock| clock < run.start_expires) {
                self.actions.push(Action::Start(key));
            }
        }
    }

    /// Whether an order without an answer can no longer take effect, by the worker's clock.
    pub(super) fn is_expired(&self, key: RunKey, clock: u64) -> bool {
        let run = &self.cluster.runs[key];
        run.state == RunState::Unanswered
            && !run.in_flight
            && clock > run.start_expires + EXPIRY_MARGIN_MS
    }
}
