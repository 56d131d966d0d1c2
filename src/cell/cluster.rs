//! The owner's view of its workers and their runs: capacity, clock, lease and health of each
//! worker.

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::resources::Resources;

use super::{
    fencing::Token,
    job::{
        RunKey,
        TaskKey,
        WorkerKey, //
    },
    journal,
    model,
    shares::usage::{
        Charge,
        Usage, //
    },
    suspicion, //
};

/// Upper bound on how slowly a worker's clock may run: 2 % from the platform's description, with a
/// little more for rounding.
const MAX_CLOCK_SLOWDOWN: f64 = 1.021;

/// Added to every end of a lease, in milliseconds, for the granularity of both clocks and of
/// timers.
const LEASE_MARGIN_MS: u64 = 60;

/// Longest local time in which `lease` milliseconds of a worker's clock pass, in milliseconds.
#[must_use]
pub fn local_duration(lease: u64) -> u64 {
    (lease as f64 * MAX_CLOCK_SLOWDOWN) as u64 + LEASE_MARGIN_MS
}

/// Consecutive failed runs of different jobs after which a worker is suspended: two could be the
/// fault of the jobs.
const SUSPECT_FAILURES: u32 = 3;

/// Time for which a suspected worker gets no new tasks, in milliseconds: the length of a typical
/// fault divided by a few probes.
const SUSPENSION_MS: u64 = 3_000;

/// Time for which a worker that had too little capacity for a start gets no new tasks, in
/// milliseconds: an interval of the lists that show a changed capacity.
const FULL_MS: u64 = 500;

/// State of a run as known to the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The start command is in flight.
    Sent,
    /// The start command was not answered: the run may begin until the command expires.
    Unanswered,
    /// The worker confirmed the run at this local time, in milliseconds.
    Confirmed(u64),
}

/// Run of a task on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Task of the run; `None` when no task needs the result.
    pub task: Option<TaskKey>,
    /// Name of the task.
    pub name: model::TaskName,
    /// Number of the run.
    pub number: u32,
    /// Worker that runs the task.
    pub worker: WorkerKey,
    /// Resources that the run takes on the worker.
    pub demand: Resources,
    /// What the run counts for against the cap and the share of its organisation.
    pub charge: Charge,
    /// State of the run.
    pub state: RunState,
    /// Expiry of the start command on the worker's clock, in milliseconds; 0 until the first
    /// command.
    pub start_expires: u64,
    /// Local time at which the run was placed, in milliseconds.
    pub ordered_at: u64,
    /// Permit to send with the start command; empty for none.
    pub permit: CompactString,
    /// Whether the run is to be stopped.
    pub stopping: bool,
    /// Local time before which no command about the run is sent again, in milliseconds.
    pub retry_after: u64,
    /// Whether a command about the run is in flight.
    pub in_flight: bool,
    /// Whether a start command was not answered: a copy may still be under way.
    pub repeated: bool,
    /// Number of the worker's address to which the last command was sent.
    pub sent_to: u32,
    /// Local time at which the last command was sent, in milliseconds.
    pub sent_at: u64,
    /// Token of the last command.
    pub token: Token,
    /// Whether the run tries a task that is suspected of crashing workers, and shares its worker
    /// with no other job.
    pub trial: bool,
    /// Batch that must be stored before the start command is sent; 0 for none.
    pub after_batch: u64,
}

impl Run {
    /// Whether a copy of the start command may still be carried out.
    #[must_use]
    pub fn may_begin_late(&self) -> bool {
        self.repeated || !self.is_confirmed()
    }

    /// Whether the worker has confirmed the run.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        matches!(self.state, RunState::Confirmed(_))
    }
}

/// Task that was on a worker when the worker crashed or fell silent.
#[derive(Debug, Clone, Copy)]
pub struct Suspect {
    /// Task of the run.
    pub task: TaskKey,
    /// What counts against the task.
    pub crash: suspicion::Crash,
    /// Whether the worker had confirmed the run.
    pub confirmed: bool,
}

/// Worker as known to the owner.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Newest registration of the worker.
    pub registration: model::Registration,
    /// Number of the address in the registration: how often it has changed.
    pub address_number: u32,
    /// Whether the worker is registered now.
    pub registered: bool,
    /// Whether the worker has written its registration since the last complete read of the list.
    pub beat_seen: bool,
    /// Local time of the newest read of the list that showed a heartbeat of the worker, in
    /// milliseconds.
    pub last_beat: u64,
    /// Registration that is stored, or about to be stored, for later owners.
    pub stored_registration: Option<model::Registration>,
    /// Batch that stores the registration; `u64::MAX` until it is part of a batch.
    pub record_batch: u64,
    /// What may run on the worker, as its record says, while it is cordoned: it gets no command that
    /// starts a task or renews a lease.
    pub cordon: Option<journal::Cordon>,
    /// Batch that lifts the last cordon; 0 for none, `u64::MAX` until it is part of a batch.
    pub lifted_batch: u64,
    /// Whether an earlier owner may have started tasks on the worker.
    pub inherited: bool,
    /// Incarnation of the worker; 0 until known.
    pub incarnation: u64,
    /// Token of the commands to the worker.
    pub token: Token,
    /// Incarnation for which the token was chosen; `None` for whichever answers next.
    pub token_for: Option<u64>,
    /// Whether this incarnation has seen the token.
    pub fenced: bool,
    /// Whether another worker has answered at the address since the last registration.
    pub superseded: bool,
    /// Newest clock reading: local time and the worker's clock, in milliseconds.
    pub clock_reading: Option<(u64, u64)>,
    /// Local time of the newest answer with a clock reading, in milliseconds.
    pub last_answer: u64,
    /// Local time of the newest report of this incarnation, in milliseconds.
    pub last_report: u64,
    /// Local time by which all runs on the worker have expired if no command is sent, in
    /// milliseconds.
    pub leases_end: u64,
    /// Runs that take resources of the worker.
    pub runs: Vec<RunKey>,
    /// Resources that the runs take.
    pub used: Resources,
    /// Highest number of an ended run that was applied.
    pub last_outcome: u64,
    /// Lowest number of an ended run that was reported and not applied, if there is one.
    pub unapplied: Option<u64>,
    /// Numbers of the ended runs above it that were applied, sorted.
    pub applied_above: Vec<u64>,
    /// Batch that stores the changes that follow from the ended runs.
    pub outcome_batch: u64,
    /// Highest number of an ended run that was acknowledged to the worker.
    pub acknowledged: u64,
    /// Whether a poll is in flight.
    pub polling: bool,
    /// Local time at which the newest poll was sent, in milliseconds.
    pub poll_sent: u64,
    /// Whether the newest poll renews leases.
    pub renewing: bool,
    /// Token of the newest poll.
    pub poll_token: Token,
    /// Highest number of an ended run that the newest poll acknowledges; 0 for none.
    pub polled_acked: u64,
    /// Local time until which a command that lets runs continue may be carried out without an answer, in
    /// milliseconds.
    pub late_until: u64,
    /// Local time until which an acknowledgement without an answer may be carried out, in milliseconds.
    pub acked_until: u64,
    /// Local time until which this incarnation gets no new tasks, in milliseconds: an acknowledgement
    /// meant for a former one would make it drop ended runs that nobody has read.
    pub quarantined_until: u64,
    /// Number of the address to which the last poll was sent.
    pub polled_at: u32,
    /// Local time before which the worker is not polled, in milliseconds.
    pub poll_after: u64,
    /// Local time since which no command was answered, in milliseconds.
    pub silent_since: Option<u64>,
    /// Local time at which the first silence since the last report began, in milliseconds; 0 for none.
    pub fell_silent: u64,
    /// Newest incarnation that was known to drain; 0 for none.
    pub drained: u64,
    /// Runs that were presumed over while the worker was silent.
    pub lapsed: Vec<Suspect>,
    /// Number of consecutive failed runs.
    pub failures: u32,
    /// Job of the newest failed run.
    pub last_failed_job: CompactString,
    /// Local time until which the worker gets no new tasks, in milliseconds.
    pub suspended_until: u64,
}

impl Worker {
    /// Creates a worker from its registration. No command to a worker of this id has had the token.
    #[must_use]
    pub fn new(registration: model::Registration, token: Token) -> Self {
        Self {
            incarnation: registration.incarnation,
            token,
            token_for: Some(registration.incarnation),
            registration,
            address_number: 0,
            registered: true,
            beat_seen: true,
            last_beat: 0,
            stored_registration: None,
            record_batch: u64::MAX,
            cordon: None,
            lifted_batch: 0,
            inherited: false,
            fenced: false,
            superseded: false,
            clock_reading: None,
            last_answer: 0,
            last_report: 0,
            leases_end: 0,
            runs: Vec::new(),
            used: Resources::default(),
            last_outcome: 0,
            unapplied: None,
            applied_above: Vec::new(),
            outcome_batch: 0,
            acknowledged: 0,
            polling: false,
            poll_sent: 0,
            renewing: false,
            poll_token: token,
            polled_acked: 0,
            late_until: 0,
            acked_until: 0,
            quarantined_until: 0,
            polled_at: 0,
            poll_after: 0,
            silent_since: None,
            fell_silent: 0,
            drained: 0,
            lapsed: Vec::new(),
            failures: 0,
            last_failed_job: CompactString::default(),
            suspended_until: 0,
        }
    }

    /// Local time at which the worker crashed, as far as known at `now`, in milliseconds: when it first
    /// fell silent since its last report.
    #[must_use]
    pub fn crashed_at(&self, now: u64) -> u64 {
        match self.fell_silent > self.last_report {
            true => self.fell_silent,
            false => now,
        }
    }

    /// Notes that an incarnation of the worker drains: its end is no crash.
    pub fn note_draining(&mut self) {
        if self.registration.availability == model::Availability::Draining {
            self.drained = self.drained.max(self.registration.incarnation);
        }
    }

    /// Estimated time on the worker's clock, in milliseconds.
    #[must_use]
    pub fn clock_at(&self, now: u64) -> Option<u64> {
        let (at, clock) = self.clock_reading?;
        Some(clock + now.saturating_sub(at))
    }

    /// Records that a command without an answer which lets runs continue may be carried out until `until`,
    /// a local time in milliseconds.
    pub fn note_late(&mut self, until: u64) {
        self.late_until = self.late_until.max(until);
    }

    /// Records a command that lets runs continue until `expires` on the worker's clock, in
    /// milliseconds.
    pub fn extend_leases(&mut self, expires: u64, now: u64) {
        let Some((at, clock)) = self.clock_reading else {
            return;
        };
        let end = at + local_duration(expires.saturating_sub(clock));
        self.leases_end = self.leases_end.max(end).max(now);
    }

    /// Resources that are free for new tasks.
    #[must_use]
    pub fn free(&self) -> Resources {
        let parts = self.registration.capacity.parts();
        let used = self.used.parts();
        Resources::from_parts(std::array::from_fn(|i| parts[i].saturating_sub(used[i])))
    }

    /// Whether the runs take more than the capacity, which may have shrunk since they were placed.
    #[must_use]
    pub fn is_overbooked(&self) -> bool {
        !self.used.fits(&self.registration.capacity)
    }

    /// Whether the worker can be removed: no registration, no runs, no poll in flight.
    #[must_use]
    pub fn is_removable(&self) -> bool {
        !self.registered && self.runs.is_empty() && !self.polling
    }

    /// Whether the worker is cordoned by a record that is stored or may be.
    #[must_use]
    pub fn is_cordoned(&self, durable: u64) -> bool {
        self.cordon.is_some() || self.lifted_batch > durable
    }

    /// Whether the worker may hold runs of earlier owners that nobody has reported.
    #[must_use]
    pub fn is_unaccounted(&self) -> bool {
        self.inherited && !self.fenced && !self.superseded
    }

    /// Whether new tasks may be placed on the worker.
    #[must_use]
    pub fn is_schedulable(&self, durable: u64, now: u64) -> bool {
        self.registered
            && self.fenced
            // A later owner must know every worker that may run tasks.
            && self.record_batch <= durable
            && !self.is_cordoned(durable)
            && self.silent_since.is_none()
            && self.clock_reading.is_some()
            && self.suspended_until <= now
            // A task that takes no CPU would still work, and take memory, there.
            && !self.is_overbooked()
            && self.quarantined_until <= now
            // A new incarnation may have another capacity and counts only once it has registered.
            && self.registration.incarnation == self.incarnation
            && self.registration.availability == model::Availability::Ready
    }

    /// Whether the worker should be polled.
    #[must_use]
    pub fn is_poll_due(&self, durable: u64, now: u64) -> bool {
        if self.polling || self.superseded || now < self.poll_after {
            return false;
        }
        if !self.fenced {
            return true;
        }
        let pending = self.applied() > self.acknowledged;
        if pending && self.outcome_batch > durable {
            // The ended runs are not stored yet; until then, polls only renew the leases.
            return self
                .clock_reading
                .is_some_and(|(at, _)| now >= at + RENEWAL_INTERVAL_MS);
        }
        // Only a reply ends the silence of a worker.
        pending || !self.runs.is_empty() || self.silent_since.is_some() || self.is_overdue(now)
    }

    /// Whether neither a heartbeat nor a report has shown the worker for some time. Without runs, it
    /// is not polled otherwise.
    fn is_overdue(&self, now: u64) -> bool {
        let seen = self.last_beat.max(self.last_report);
        self.registered && self.last_beat > 0 && now > seen + BEAT_TIMEOUT_MS
    }

    /// Highest number of an ended run up to which all were applied.
    #[must_use]
    pub fn applied(&self) -> u64 {
        let before = self.unapplied.map(|number| number.saturating_sub(1));
        before.map_or(self.last_outcome, |last| last.min(self.last_outcome))
    }

    /// Records a failed run; returns whether the worker is suspended for it.
    pub fn record_failure(&mut self, job: &str, now: u64) -> bool {
        if self.last_failed_job == job {
            return false;
        }
        self.last_failed_job = job.into();
        self.failures += 1;
        if self.failures < SUSPECT_FAILURES {
            return false;
        }
        // One more failure after the suspension is enough to suspend the worker again.
        self.failures = SUSPECT_FAILURES - 1;
        self.suspended_until = now + SUSPENSION_MS;
        true
    }

    /// Records a successful run.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.last_failed_job.clear();
    }

    /// Suspends the worker: it gets no new tasks for `SUSPENSION_MS` milliseconds.
    pub fn suspend(&mut self, now: u64) {
        self.suspended_until = now + SUSPENSION_MS;
    }

    /// Suspends the worker for `FULL_MS` milliseconds, since it has less free capacity than is known.
    pub fn suspend_full(&mut self, now: u64) {
        self.suspended_until = self.suspended_until.max(now + FULL_MS);
    }
}

/// Time after which a worker whose heartbeats cannot be seen in the list is polled, in milliseconds:
/// one heartbeat, a read of the list, and some delay of both.
const BEAT_TIMEOUT_MS: u64 = 2_500;

/// Interval of polls while ended runs wait to be stored, in milliseconds: a tenth of the lease.
const RENEWAL_INTERVAL_MS: u64 = 500;

/// All workers and the runs that may be on them.
#[derive(Debug, Default)]
pub struct Cluster {
    /// Workers.
    pub workers: SlotMap<WorkerKey, Worker>,
    /// Ids and keys of the workers, sorted by id.
    pub index: Vec<(CompactString, WorkerKey)>,
    /// Runs.
    pub runs: SlotMap<RunKey, Run>,
    /// What the runs of each organisation take.
    pub usage: Usage,
    /// Whether all runs of earlier owners are known.
    pub reconciled: bool,
    /// Whether all runs of earlier owners are known but those of cordoned workers, whose tasks are
    /// withheld.
    pub surveyed: bool,
    /// Workers that were removed while an acknowledgement might still be carried out: id, incarnation and
    /// local time until which it may be, in milliseconds; sorted.
    pub late_acks: Vec<(CompactString, u64, u64)>,
}

impl Cluster {
    /// Finds a worker by its id.
    #[must_use]
    pub fn find_worker(&self, id: &str) -> Option<WorkerKey> {
        let at = self
            .index
            .binary_search_by(|(name, _)| name.as_str().cmp(id));
        at.ok().map(|at| self.index[at].1)
    }

    /// Adds a worker. No command to a worker of its id has had the token.
    pub fn add_worker(&mut self, registration: model::Registration, token: Token) -> WorkerKey {
        let id = registration.id.clone();
        let mut worker = Worker::new(registration, token);
        let late = self.late_acks.iter();
        let mut late = late.filter(|(name, life, _)| *name == id && *life != worker.incarnation);
        worker.quarantined_until = late.next_back().map_or(0, |(_, _, until)| *until);
        let key = self.workers.insert(worker);
        match self.index.binary_search_by(|(name, _)| name.cmp(&id)) {
            Ok(at) => self.index[at].1 = key,
            Err(at) => self.index.insert(at, (id, key)),
        }
        key
    }

    /// Workers that can be removed.
    pub fn removable(&self) -> impl Iterator<Item = WorkerKey> {
        let removable = self.workers.iter().filter(|(_, w)| w.is_removable());
        removable.map(|(key, _)| key)
    }

    /// Removes a worker without runs.
    pub fn remove_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.index
                .retain(|(name, _)| *name != worker.registration.id);
            if worker.acked_until > 0 {
                let late = (
                    worker.registration.id,
                    worker.incarnation,
                    worker.acked_until,
                );
                let at = self.late_acks.partition_point(|other| *other < late);
                self.late_acks.insert(at, late);
            }
        }
    }

    /// Tracks a run and takes its resources from the worker.
    pub fn add_run(&mut self, run: Run) -> RunKey {
        let (worker, demand) = (run.worker, run.demand);
        self.usage.add(&run.charge);
        let key = self.runs.insert(run);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.runs.push(key);
            worker.used = worker.used.plus(&demand);
        }
        key
    }

    /// Removes a run and frees its resources.
    pub fn remove_run(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.usage.remove(&run.charge);
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker.runs.retain(|other| *other != key);
            let left = worker.used.minus(&run.demand);
            worker.used = left.unwrap_or_default();
        }
        Some(run)
    }

    /// Finds the run of a task by its number on a worker.
    #[must_use]
    pub fn find_run(
        &self,
        worker: WorkerKey,
        task: &model::TaskName,
        number: u32,
    ) -> Option<RunKey> {
        let worker = self.workers.get(worker)?;
        let same = |key: &&RunKey| {
            let run = self.runs.get(**key);
            run.is_some_and(|run| run.number == number && run.name == *task)
        };
        worker.runs.iter().find(same).copied()
    }
}
