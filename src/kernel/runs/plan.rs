//! Plans one round: decides which waiting tasks are claimed on which workers.

use crate::{
    ids::{
        Millis,
        RunId, //
    },
    kernel::{
        WorkerPool,
        members::Members,
        runs::{
            Profiles,
            Runs,
            consolidation,
            pack,
            queue::Waiting, //
        },
        workers::Workers, //
    },
    ledger::{
        jobs::{
            Jobs,
            job::Job, //
        },
        record, //
    },
    profile::{
        Kind,
        Racks,
        Spill, //
    },
    resources::Resources,
    wire::worker::TaskId, //
};

/// Maximum number of jobs examined in a round, which bounds its cost.
const MAX_JOBS_PER_ROUND: usize = 4_096;

/// Maximum number of tasks in one claim, unless a gang has more.
const MAX_TASKS_PER_CLAIM: usize = 512;

/// Milliseconds that a job waits before instances of its home zone claim tasks outside their share.
const STEAL_DELAY_MS: u64 = 200;

/// Milliseconds that a gang waits before it blocks the jobs behind it in the queue.
const GANG_PATIENCE_MS: u64 = 2_000;

/// Milliseconds for which a gang blocks the jobs behind it, alternating with the same time for
/// these jobs.
const GANG_BLOCK_MS: u64 = 5_000;

/// Inputs and intermediate state of a planning round.
pub(super) struct Round<'a, P> {
    pub(super) now: Millis,
    pub(super) jobs: &'a Jobs,
    pub(super) workers: &'a mut Workers,
    pub(super) members: &'a Members,
    pub(super) profiles: &'a P,
    /// Demands that could not be placed in this round; jobs that need at least as much are skipped.
    unplaceable: Vec<Resources>,
    gang_selector: consolidation::GangSelector,
}

/// Result of planning a job.
enum JobPlan {
    /// The job has no waiting tasks and leaves the queue.
    Finished,
    /// The job stays in the queue.
    Deferred,
    /// The job is a gang that blocks the jobs behind it.
    BlocksQueue,
    /// Tasks of the job to claim.
    Claim(record::Claim),
}

impl Runs {
    /// Plans one round and allocates resources for every claim. The caller appends the returned
    /// claims to the log.
    pub fn plan<P: Profiles>(
        &mut self,
        now: Millis,
        jobs: &Jobs,
        workers: &mut Workers,
        members: &Members,
        profiles: &P,
    ) -> Vec<record::Claim> {
        if members.is_leaving() {
            return Vec::new();
        }
        let mut round = Round {
            now,
            jobs,
            workers,
            members,
            profiles,
            unplaceable: Vec::new(),
            gang_selector: consolidation::GangSelector::default(),
        };
        let mut claims = Vec::new();
        let mut done = Vec::new();
        let mut left = self.cfg.round as usize;
        let count = self.queue.len().min(MAX_JOBS_PER_ROUND);
        for at in 0..count {
            if left == 0 {
                break;
            }
            let Some(waiting) = self.queue.starting_at(at).first().cloned() else {
                break;
            };
            match self.plan_job(&mut round, &waiting, left) {
                JobPlan::Finished => done.push(waiting),
                JobPlan::Deferred => {}
                JobPlan::BlocksQueue => break,
                JobPlan::Claim(claim) => {
                    left = left.saturating_sub(claim.tasks.len());
                    claims.push(claim);
                }
            }
        }
        self.queue.remove(&done);
        round.gang_selector.apply(round.workers);
        claims
    }

    fn plan_job<P: Profiles>(
        &mut self,
        round: &mut Round<'_, P>,
        waiting: &Waiting,
        most: usize,
    ) -> JobPlan {
        let Some(job) = round.jobs.get(&waiting.run) else {
            return JobPlan::Finished;
        };
        if job.waiting().is_empty() {
            return JobPlan::Finished;
        }
        if round
            .unplaceable
            .iter()
            .any(|failed| failed.fits(&job.spec.demand))
        {
            return JobPlan::Deferred;
        }
        let waited = round.now.since(waiting.since);
        let Some(rank) = self.claim_rank(round, job, &waiting.run, waited) else {
            return JobPlan::Deferred;
        };
        if job.spec.terms.kind == Kind::Gang {
            return self.plan_gang(round, job, waiting, (rank, waited));
        }
        let most = most
            .min(MAX_TASKS_PER_CLAIM)
            .min(self.quota_left(round, job));
        let indexes = self.eligible_tasks(round, job, &waiting.run, (rank, waited), most);
        let tasks = self.place(round, job, &waiting.run, &indexes);
        if tasks.len() < indexes.len() {
            let demand = job.spec.demand;
            round.unplaceable.push(demand);
            self.reservation
                .note_unplaced(round.now, &waiting.run, &demand, waited, round.workers);
        }
        if !tasks.is_empty() {
            self.reservation.note_placed(&waiting.run);
        }
        claim(&waiting.run, tasks)
    }

    /// Claims either all members of a gang or none.
    fn plan_gang<P: Profiles>(
        &mut self,
        round: &mut Round<'_, P>,
        job: &Job,
        waiting: &Waiting,
        (rank, waited): (usize, u64),
    ) -> JobPlan {
        let away = millis(self.cfg.away);
        let home = job.spec.zone == self.me.zone;
        let clock = round.jobs.clock();
        let wait = (waited, home);
        round.gang_selector.consider(&waiting.run, job, clock, wait);
        if waited < away.saturating_mul(rank as u64) {
            return JobPlan::Deferred;
        }
        let members = job.waiting();
        if self.quota_left(round, job) < members.len() {
            return JobPlan::Deferred;
        }
        let run = &waiting.run;
        let ready = |index: &&u32| self.ready(round.now, job, run, **index);
        if members.iter().filter(ready).count() < members.len() {
            return JobPlan::Deferred;
        }
        let need = u64::from(job.spec.demand.slots) * members.len() as u64;
        let (used, total) = round.workers.slots();
        if need > u64::from(total) {
            return JobPlan::Deferred;
        }
        if need <= u64::from(total - used) {
            let tasks = self.place(round, job, run, members);
            if tasks.len() == members.len() {
                return claim(run, tasks);
            }
            self.release_placements(round.workers, run, &tasks);
        }
        let periods = waited.saturating_sub(GANG_PATIENCE_MS) / GANG_BLOCK_MS;
        if waited >= GANG_PATIENCE_MS && periods.is_multiple_of(2) {
            return JobPlan::BlocksQueue;
        }
        JobPlan::Deferred
    }

    /// Returns the rank of this instance for a job, or `None` while other instances take
    /// precedence.
    fn claim_rank<P: Profiles>(
        &self,
        round: &Round<'_, P>,
        job: &Job,
        run: &RunId,
        waited: u64,
    ) -> Option<usize> {
        let home = &job.spec.zone;
        let rank = round.members.rank(round.now, run.as_str(), &self.me.zone)?;
        if *home == self.me.zone {
            return Some(rank);
        }
        let away = millis(self.cfg.away);
        let same_region = round.members.region(home) == Some(&self.me.region);
        let delay = match job.spec.terms.spill {
            Spill::Zone => return None,
            Spill::Region if !same_region => return None,
            _ if same_region => away,
            _ => away.saturating_mul(2),
        };
        (waited >= delay).then_some(rank)
    }

    /// Returns the waiting tasks that this instance may claim: first those of its own share, then
    /// those of other instances once the job has waited for [`STEAL_DELAY_MS`].
    fn eligible_tasks<P: Profiles>(
        &self,
        round: &Round<'_, P>,
        job: &Job,
        run: &RunId,
        (rank, waited): (usize, u64),
        most: usize,
    ) -> Vec<u32> {
        let waiting = job.waiting();
        let group = round.members.group_size(round.now).max(1);
        let start = rank * waiting.len() / group;
        let end = if waited < STEAL_DELAY_MS {
            (rank + 1) * waiting.len() / group
        } else {
            start + waiting.len()
        };
        let (first, rest) = (&waiting[start.min(waiting.len())..], &waiting[..start]);
        let order = first.iter().chain(rest).take(end - start);
        let ready = order.filter(|index| self.ready(round.now, job, run, **index));
        ready.take(most).copied().collect()
    }

    /// Returns whether this instance may claim a task now.
    fn ready(&self, now: Millis, job: &Job, run: &RunId, index: u32) -> bool {
        let Some(task) = job.tasks.get(index as usize) else {
            return false;
        };
        !self.pending.has(run, index, task.attempt + 1)
            && !self.backoffs.is_waiting(now, run, index)
    }

    fn quota_left<P: Profiles>(&self, round: &Round<'_, P>, job: &Job) -> usize {
        let profile = round.profiles.profile(&job.spec.profile);
        let Some(quota) = profile.and_then(|p| p.quota) else {
            return usize::MAX;
        };
        let left = self
            .quota
            .remaining(&job.spec.profile, &job.spec.demand, &quota);
        usize::try_from(left).unwrap_or(usize::MAX)
    }

    /// Allocates resources for tasks in order until one does not fit.
    fn place<P: Profiles>(
        &mut self,
        round: &mut Round<'_, P>,
        job: &Job,
        run: &RunId,
        indexes: &[u32],
    ) -> Vec<record::Placement> {
        let policy = pack::Policy::new(round.profiles.profile(&job.spec.profile));
        let mut racks = pack::RackCounts::default();
        if job.spec.terms.racks != Racks::Any {
            racks.count_job(job, round.workers);
        }
        let mut tasks = Vec::new();
        for index in indexes {
            self.sample_counter = self.sample_counter.wrapping_add(1);
            let random = pack::hash(self.sample_counter);
            let (health, reservation) = (&self.health, &self.reservation);
            let excluded =
                |worker| health.is_ejected(round.now, worker) || reservation.blocks(run, worker);
            let Some(task) = job.tasks.get(*index as usize) else {
                break;
            };
            let mut offers =
                pack::candidates(round.now, round.workers, job, &racks, random, excluded);
            if task.crashes > 0 {
                pack::prefer_empty(&mut offers);
            }
            let Some(worker) = policy.choose(&offers, job, &racks, round.workers, random) else {
                break;
            };
            let id = TaskId {
                run: run.clone(),
                index: *index,
                attempt: task.attempt + 1,
            };
            let allocated = round
                .workers
                .allocate(round.now, worker, &id, &job.spec.demand);
            let Some((token, boot)) = allocated else {
                break;
            };
            let Some(entry) = round.workers.get(worker) else {
                break;
            };
            racks.add(&entry.rack);
            tasks.push(record::Placement {
                index: *index,
                attempt: id.attempt,
                worker: entry.id.clone(),
                token,
                boot,
            });
            self.pending.add(round.now, id, worker, token);
        }
        tasks
    }

    /// Releases the allocations of a gang that did not fit as a whole.
    fn release_placements(
        &mut self,
        workers: &mut Workers,
        run: &RunId,
        tasks: &[record::Placement],
    ) {
        let claim = record::Claim {
            run: run.clone(),
            tasks: tasks.to_vec(),
        };
        self.release_claim(&claim, workers);
    }
}

fn claim(run: &RunId, tasks: Vec<record::Placement>) -> JobPlan {
    if tasks.is_empty() {
        return JobPlan::Deferred;
    }
    JobPlan::Claim(record::Claim {
        run: run.clone(),
        tasks,
    })
}

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
