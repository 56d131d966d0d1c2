//! Commands to workers and the handling of their replies.

use std::time::Duration;

use compact_str::CompactString;
use log::{
    info,
    warn, //
};

use super::{
    Action,
    Engine,
    losses::Loss, //
};
use crate::cell::{
    cluster::{
        RunState,
        Worker, //
    },
    fencing::Token,
    job::{
        Job,
        RunKey,
        WorkerKey, //
    },
    model::{
        self,
        Verdict, //
    }, //
};

/// Time for which a start command stays valid, in milliseconds of the worker's clock: long enough
/// for a busy worker and a retry, short enough to resolve a lost command soon.
const START_VALIDITY_MS: u64 = 2_500;

/// Size of a start command without the job's specification, in bytes.
const START_BYTES: usize = 300;

/// Delay before an unanswered command is retried, in milliseconds: a round trip to another region
/// with some queueing.
const RETRY_DELAY_MS: u64 = 30;

/// Time for which a command without an answer may still be carried out, in milliseconds: the platform
/// speaks of seconds.
pub(super) const LATE_COMMAND_MS: u64 = 13_000;

/// Delay before a refused stop command is retried, in milliseconds.
const STOP_RETRY_MS: u64 = 250;

/// Time for which a worker may hold a poll until a run ends: a fifth of the lease.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Maximum number of polls in flight to workers that have not reported in this term.
const MAX_FIRST_POLLS: usize = 256;

/// Delay after a failed poll, in milliseconds.
pub(super) const POLL_RETRY_MS: u64 = 200;

/// Delay after polls that have failed for longer than a lease, in milliseconds.
const SILENT_POLL_RETRY_MS: u64 = 1_000;

/// Greatest age of a worker's last report at which ended runs are acknowledged, in milliseconds. A worker
/// that has started again meanwhile would forget ends of its own.
const MAX_REPORT_AGE_MS: u64 = 1_000;

/// Share of the longest lease that is requested; the rest covers differences between clocks.
const LEASE_SHARE: f64 = 0.92;

/// Added to the expiry of a start command before it is treated as expired, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 100;

/// Destination of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// Id of the worker.
    pub worker: CompactString,
    /// Address of the worker, as `IP:port`.
    pub address: CompactString,
}

/// Command to start a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// Destination.
    pub to: Address,
    /// Task to run.
    pub task: model::TaskName,
    /// Number of the run.
    pub run: u32,
    /// Opaque text of the job that is passed to the task.
    pub spec: String,
    /// Expiry of the command on the worker's clock, in milliseconds.
    pub expires_at: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: CompactString,
    /// Permit of the placement policy; empty for none.
    pub permit: CompactString,
    /// Fencing token.
    pub token: Token,
}

/// Command to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Destination.
    pub to: Address,
    /// Task of the run.
    pub task: model::TaskName,
    /// Number of the run.
    pub run: u32,
    /// Fencing token.
    pub token: Token,
}

/// Poll of a worker: renews the leases of its runs and requests a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Poll {
    /// Destination.
    pub to: Address,
    /// Highest number of an ended run that the worker need not report again.
    pub acked: u64,
    /// End of the renewed leases on the worker's clock, in milliseconds; `None` renews nothing.
    pub lease_end: Option<u64>,
    /// Time for which the worker may delay its report.
    pub wait: Duration,
    /// Local time at which the poll is sent, in milliseconds.
    pub sent_at: u64,
    /// Fencing token.
    pub token: Token,
}

/// Reason why a command has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// The command was not sent.
    Unsent,
    /// The command may have been carried out, or may still be.
    Unknown,
    /// Like [`SendError::Unknown`], but the path through a relay may be at fault and not the worker.
    Relay,
}

/// Size of a command that starts a task of `job`, in bytes.
pub(super) fn start_size(job: &Job) -> usize {
    START_BYTES + job.submission.spec.len()
}

impl Engine {
    fn address(&self, key: WorkerKey) -> Option<Address> {
        let worker = self.cluster.workers.get(key)?;
        Some(Address {
            worker: worker.registration.id.clone(),
            address: worker.registration.address.clone(),
        })
    }

    /// Size of the command that starts a run, in bytes.
    #[must_use]
    pub fn start_size(&self, key: RunKey) -> usize {
        let task = self.cluster.runs.get(key).and_then(|run| run.task);
        let job = task.and_then(|task| self.jobs.get(task.step.job));
        job.map_or(0, start_size)
    }

    /// The command that starts a run, if it is still needed, the ownership is proven and the worker
    /// still has the capacity. Any time may have passed since the run was placed. The command
    /// expires before the list of registrations is too old.
    pub fn start_command(&mut self, key: RunKey, now: u64) -> Option<Start> {
        let organisation = self.cluster.runs.get(key)?.charge.organisation;
        let may_command = self.may_command(now) && self.may_send(organisation, now);
        let durable = self.durable_batch;
        let validity = START_VALIDITY_MS.min(self.list_validity(now));
        let current = self.is_list_current(now);
        let run = self.cluster.runs.get_mut(key)?;
        if run.stopping || run.in_flight || run.after_batch > durable {
            return None;
        }
        let first = run.start_expires == 0;
        let worker = self.cluster.workers.get(run.worker);
        // The worker may have changed while the start waited for the store.
        let held = first && run.after_batch > 0;
        let cordoned = first && worker.is_some_and(|w| w.is_cordoned(durable));
        let lost = cordoned || held && worker.is_none_or(|w| !w.is_schedulable(durable, now));
        // The run was placed on an incarnation that had seen its token, and by its clock; this is another.
        let restarted = worker.is_some_and(|w| !w.fenced);
        if !may_command
            || lost
            || restarted
            || first && !current
            || worker.is_some_and(Worker::is_overbooked)
        {
            if first {
                self.lose_run(key, Loss::Unsent, now);
            }
            return None;
        }
        let task = run.task?;
        let worker = self.cluster.workers.get_mut(run.worker)?;
        let clock = worker.clock_at(now)?;
        if first {
            run.start_expires = clock + validity;
        }
        worker.extend_leases(run.start_expires, now);
        run.in_flight = true;
        run.sent_to = worker.address_number;
        run.sent_at = now;
        run.token = worker.token;
        let job = self.jobs.get(task.step.job)?;
        let checkpoint = job
            .step(task.step)?
            .tasks
            .get(task.index as usize)?
            .checkpoint
            .clone();
        let (name, number, permit, expires_at, token) = (
            run.name.clone(),
            run.number,
            run.permit.clone(),
            run.start_expires,
            run.token,
        );
        Some(Start {
            to: self.address(self.cluster.runs[key].worker)?,
            task: name,
            run: number,
            spec: job.submission.spec.clone(),
            expires_at,
            checkpoint,
            permit,
            token,
        })
    }

    /// Whether a start command that was not sent yet may still be sent: the run is needed, the
    /// ownership is proven, the worker has the capacity and the command has not expired. Any time may
    /// have passed since [`Engine::start_command`].
    #[must_use]
    pub fn may_still_start(&self, key: RunKey, now: u64) -> bool {
        let Some(run) = self.cluster.runs.get(key) else {
            return false;
        };
        let worker = self.cluster.workers.get(run.worker);
        let worker = worker.filter(|w| w.token == run.token && !w.is_overbooked());
        let clock = worker.and_then(|worker| worker.clock_at(now));
        let expired = clock.is_none_or(|clock| clock >= run.start_expires);
        let may_send = self.may_send(run.charge.organisation, now);
        run.task.is_some() && !run.stopping && !expired && may_send && self.may_command(now)
    }

    /// Applies the reply to a start command.
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
        let (worker, sent) = (run.worker, run.sent_at);
        match answer {
            Ok(reply) => {
                let current = self.is_current(key);
                if current {
                    self.record_clock(worker, reply.clock, sent, now);
                }
                if !self.is_current(key) {
                    // Either incarnation may have answered, and the next one grants the longest lease.
                    self.cluster.runs[key].repeated = true;
                    self.cluster.workers[worker].note_late(now);
                }
                self.apply_start_reply(key, reply.verdict, current, now);
            }
            Err(SendError::Unsent) if self.cluster.runs[key].state == RunState::Sent => {
                self.lose_run(key, Loss::Unsent, now);
                self.mark_silent(worker, now);
            }
            Err(e) => {
                let run = &mut self.cluster.runs[key];
                run.state = RunState::Unanswered;
                run.repeated = true;
                run.retry_after = now + RETRY_DELAY_MS;
                warn!(job = run.name.job.as_str(), step = run.name.step, task = run.name.index, run = run.number,
                    age = now - run.ordered_at, relayed = e == SendError::Relay; "start command not answered");
                if e != SendError::Unsent
                    && let Some(worker) = self.cluster.workers.get_mut(worker)
                {
                    worker.note_late(now + LATE_COMMAND_MS);
                }
                if e != SendError::Relay {
                    self.mark_silent(worker, now);
                }
            }
        }
    }

    /// Applies the verdict on a start command; `current` says whether the worker's token was that of the
    /// command.
    fn apply_start_reply(&mut self, key: RunKey, verdict: Verdict, current: bool, now: u64) {
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
            worker = id.as_str(), verdict:? = verdict, state:? = run.state, age = now - run.ordered_at; "start command refused");
        let retried = run.state != RunState::Sent;
        match verdict {
            Verdict::Fenced if current => self.deposed = true,
            Verdict::Reborn if run.sent_to == self.cluster.workers[worker].address_number => {
                if !retried {
                    // The former worker has not seen the command.
                    run.start_expires = 0;
                }
                self.mark_superseded(worker, now);
            }
            Verdict::Old | Verdict::Late if retried => {
                // The run may have started and ended meanwhile; the worker's report tells.
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
                self.end_refused(key, verdict, retried, now);
            }
            Verdict::Full => {
                self.cluster.workers[worker].suspend_full(now);
                self.end_refused(key, verdict, retried, now);
            }
            Verdict::Unwell => {
                self.cluster.workers[worker].suspend(now);
                self.end_refused(key, verdict, retried, now);
            }
            _ => self.end_refused(key, verdict, retried, now),
        }
    }

    /// Ends a run whose start command was refused. The refusal of a retry says nothing about the
    /// commands before it: the run is kept if its worker has reported it, and stopped otherwise.
    fn end_refused(&mut self, key: RunKey, verdict: Verdict, retried: bool, now: u64) {
        if !retried {
            return self.lose_run(key, Loss::Refused(verdict), now);
        }
        let run = &mut self.cluster.runs[key];
        if run.state != RunState::Unanswered {
            return;
        }
        run.stopping = true;
        run.retry_after = now;
        self.actions.push(Action::Stop(key));
    }

    /// The command that stops a run, if it is still needed.
    pub fn stop_command(&mut self, key: RunKey, now: u64) -> Option<Stop> {
        let run = self.cluster.runs.get_mut(key)?;
        if run.in_flight || now < run.retry_after || !run.stopping {
            return None;
        }
        let worker = self.cluster.workers.get(run.worker)?;
        run.in_flight = true;
        run.sent_to = worker.address_number;
        run.sent_at = now;
        run.token = worker.token;
        let (name, number, token) = (run.name.clone(), run.number, run.token);
        Some(Stop {
            to: self.address(self.cluster.runs[key].worker)?,
            task: name,
            run: number,
            token,
        })
    }

    /// Applies the reply to a stop command.
    pub fn stop_answered(
        &mut self,
        key: RunKey,
        answer: Result<model::Reply, SendError>,
        now: u64,
    ) {
        if !self.cluster.runs.contains_key(key) {
            return;
        }
        let current = self.is_current(key);
        let run = &mut self.cluster.runs[key];
        run.in_flight = false;
        let (worker, sent) = (run.worker, run.sent_at);
        match answer {
            // A former incarnation may have answered.
            Ok(reply) if !current && reply.verdict != Verdict::Reborn => run.retry_after = now,
            Ok(reply) => {
                match reply.verdict {
                    Verdict::Accepted | Verdict::Old => {
                        // A worker that has acknowledged a stop no longer starts the run. The time
                        // of the first acknowledgement is kept: a report that was requested after
                        // it is conclusive.
                        if !matches!(run.state, RunState::Confirmed(_)) {
                            run.state = RunState::Confirmed(now);
                        }
                        run.retry_after = now + STOP_RETRY_MS.max(self.times.stop * 2);
                    }
                    Verdict::Fenced => self.deposed = true,
                    Verdict::Reborn
                        if run.sent_to == self.cluster.workers[worker].address_number =>
                    {
                        return self.mark_superseded(worker, now);
                    }
                    _ => run.retry_after = now + STOP_RETRY_MS,
                }
                self.record_clock(worker, reply.clock, sent, now);
            }
            Err(_) => {
                run.retry_after = now + RETRY_DELAY_MS;
                self.mark_silent(worker, now);
            }
        }
    }

    /// The poll of a worker, if one is due.
    pub fn poll_command(&mut self, key: WorkerKey, now: u64) -> Option<Poll> {
        let (durable, fresh_proof, may_command) = (
            self.durable_batch,
            self.has_fresh_proof(now),
            self.may_command(now),
        );
        let lease = (self.times.lease as f64 * LEASE_SHARE) as u64;
        let to = self.address(key)?;
        let worker = self.cluster.workers.get_mut(key)?;
        // A worker incarnation that has acked no fencing token yet would accept commands from a
        // former owner.
        if !worker.is_poll_due(durable, now) || !worker.fenced && !fresh_proof {
            return None;
        }
        let stored = worker.outcome_batch <= durable;
        // Acknowledging numbers of a former incarnation would make a new one drop ended runs that
        // were never reported.
        let heard = worker.last_report + MAX_REPORT_AGE_MS > now && worker.silent_since.is_none();
        let same = heard && worker.token_for == Some(worker.incarnation);
        let acked = match (same, stored) {
            (false, _) => 0,
            // What was acknowledged is not repeated: such a poll could reach the next incarnation.
            (true, true) if worker.applied() > worker.acknowledged => worker.applied(),
            (true, _) => 0,
        };
        // A silent worker is polled without renewal: each renewed lease would postpone the time at
        // which its runs have certainly expired.
        let reachable = worker.silent_since.is_none() && !worker.is_cordoned(durable);
        let known = worker.token_for.is_some();
        let renew = may_command && !worker.runs.is_empty() && reachable && known;
        let clock = worker.clock_at(now).filter(|_| renew);
        let lease_end = clock.map(|clock| clock + lease);
        if let Some(lease_end) = lease_end {
            worker.extend_leases(lease_end, now);
        }
        worker.polling = true;
        worker.poll_sent = now;
        worker.poll_token = worker.token;
        worker.renewing = lease_end.is_some();
        let token = worker.token;
        worker.polled_acked = acked;
        worker.polled_at = worker.address_number;
        let idle = worker.fenced && lease_end.is_some() && stored && worker.silent_since.is_none();
        Some(Poll {
            to,
            acked,
            lease_end,
            wait: if idle { POLL_WAIT } else { Duration::ZERO },
            sent_at: now,
            token,
        })
    }

    /// Handles a poll without a reply.
    pub fn poll_failed(&mut self, key: WorkerKey, now: u64) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        worker.polling = false;
        if worker.polled_acked > 0 {
            worker.acked_until = now + LATE_COMMAND_MS;
        }
        if worker.renewing {
            worker.note_late(now + LATE_COMMAND_MS);
        }
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

    /// Handles a refused poll.
    pub fn poll_refused(&mut self, key: WorkerKey, reply: model::Reply, now: u64) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        worker.polling = false;
        worker.poll_after = now + POLL_RETRY_MS;
        match reply.verdict {
            // The token was renewed meanwhile.
            Verdict::Fenced if worker.poll_token < worker.token => worker.poll_after = 0,
            Verdict::Fenced => {
                warn!(worker = worker.registration.id.as_str(), token = worker.token; "worker has seen a higher fencing token");
                self.deposed = true;
            }
            // The worker has left the address that was polled.
            Verdict::Reborn if worker.polled_at != worker.address_number => worker.poll_after = 0,
            Verdict::Reborn => self.mark_superseded(key, now),
            // No lease was renewed, so runs on this worker end with their lease.
            _ => self.mark_silent(key, now),
        }
        self.remove_if_empty(key);
    }

    /// Marks a worker as superseded: another worker answers at its address, so this one and all its
    /// runs have ended.
    fn mark_superseded(&mut self, key: WorkerKey, now: u64) {
        if self.cluster.workers.get(key).is_some_and(|w| !w.superseded) {
            self.note_crash(key, u64::MAX, now);
        }
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        info!(worker = worker.registration.id.as_str(), address = worker.registration.address.as_str(), runs = worker.runs.len();
            "another worker answers at this address; runs are lost");
        worker.fenced = false;
        worker.superseded = true;
        // An answer that is still under way is older than this one.
        worker.polling = false;
        worker.clock_reading = None;
        worker.leases_end = 0;
        for run in worker.runs.clone() {
            self.lose_run(run, Loss::Superseded, now);
        }
        self.pass_needed = true;
    }

    /// Records a reading of a worker's clock in reply to a command of local time `sent`, in
    /// milliseconds. Only a reply with a reading ends the worker's
    /// silence: a reply without one may come from another process at the same address.
    pub(super) fn record_clock(&mut self, key: WorkerKey, clock: Option<u64>, sent: u64, now: u64) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        let Some(clock) = clock else {
            return;
        };
        if let Some((at, before)) = worker.clock_reading
            && clock < before
            && sent > at
        {
            warn!(worker = worker.registration.id.as_str(), before, clock, age = now - at, born = worker.incarnation,
                registered = worker.registration.incarnation; "worker clock went back");
            return self.note_clock_reset(key, now);
        }
        worker.clock_reading = Some((now, clock));
        worker.last_answer = now;
        if let Some(since) = worker.silent_since.take() {
            info!(worker = worker.registration.id.as_str(), after = now - since; "worker answers again");
            self.pass_needed = true;
        }
        self.lift_cordon(key);
    }

    fn mark_silent(&mut self, key: WorkerKey, now: u64) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        if worker.silent_since.is_none() {
            info!(worker = worker.registration.id.as_str(), runs = worker.runs.len(), lapses = worker.leases_end.saturating_sub(now),
                born = worker.incarnation, registered = worker.registration.incarnation; "worker does not answer");
            worker.silent_since = Some(now);
            if worker.fell_silent <= worker.last_report {
                // A later silence may be that of the next incarnation.
                worker.fell_silent = now;
            }
            self.note_silence(key, now);
        }
    }

    /// Polls the workers whose poll is due.
    ///
    /// Handles a new owner of thousands of workers: workers that have not reported in this term are
    /// polled some at a time, so that reports, connections and heartbeats do not all queue up.
    pub(super) fn poll_due_workers(&mut self, now: u64) {
        let workers = &self.cluster.workers;
        let polled = workers.values().filter(|w| !w.fenced && w.polling).count();
        let mut left = MAX_FIRST_POLLS.saturating_sub(polled);
        for (key, worker) in workers {
            if !worker.is_poll_due(self.durable_batch, now) {
                continue;
            }
            if !worker.fenced {
                if left == 0 {
                    continue;
                }
                left -= 1;
            }
            self.actions.push(Action::Poll(key));
        }
    }

    /// Ends the runs of silent workers whose leases have expired.
    pub(super) fn expire_leases(&mut self, now: u64) {
        let mut expired = Vec::new();
        let mut silent = Vec::new();
        for (key, worker) in &self.cluster.workers {
            if worker.silent_since.is_none() || worker.leases_end >= now {
                continue;
            }
            let runs = worker.runs.iter().copied();
            let over: Vec<RunKey> = runs.filter(|run| self.run_ends_by(*run) < now).collect();
            if !over.is_empty() {
                info!(worker = worker.registration.id.as_str(), runs = worker.runs.len(), born = worker.incarnation,
                    registered = worker.registration.incarnation, late = worker.late_until.saturating_sub(now);
                    "leases expired on silent worker; runs are lost");
                expired.extend(over);
                silent.push(key);
            }
        }
        for worker in silent {
            self.keep_suspects(worker, now);
        }
        for run in expired {
            self.lose_run(run, Loss::LeaseExpired, now);
        }
    }

    /// Retries unanswered commands.
    pub(super) fn retry_commands(&mut self, now: u64) {
        let may_command = self.may_command(now);
        for (key, run) in &self.cluster.runs {
            if run.in_flight || now < run.retry_after {
                continue;
            }
            if run.stopping {
                self.actions.push(Action::Stop(key));
                continue;
            }
            let may_send = may_command && self.may_send(run.charge.organisation, now);
            let worker = &self.cluster.workers[run.worker];
            if run.state != RunState::Unanswered || !may_send || !worker.fenced {
                continue;
            }
            let clock = worker.clock_at(now).filter(|_| !worker.is_overbooked());
            if clock.is_some_and(|clock| clock < run.start_expires) {
                self.actions.push(Action::Start(key));
            }
        }
    }

    /// Whether the last command about a run had the token that its worker has now.
    fn is_current(&self, key: RunKey) -> bool {
        let run = &self.cluster.runs[key];
        let worker = self.cluster.workers.get(run.worker);
        worker.is_some_and(|worker| worker.token == run.token)
    }

    /// Whether an unanswered start command has expired by the worker's clock and can no longer take
    /// effect.
    pub(super) fn is_expired(&self, key: RunKey, clock: u64) -> bool {
        let run = &self.cluster.runs[key];
        run.state == RunState::Unanswered
            && !run.in_flight
            && clock > run.start_expires + EXPIRY_MARGIN_MS
    }
}
