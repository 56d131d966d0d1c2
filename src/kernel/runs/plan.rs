//! One round of planning: which waiting tasks are claimed on which workers.

use crate::{
    ids::{
        Millis,
        RunId, //
    },
    kernel::{
        Room,
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

/// Jobs looked at in a round, so that its cost has a bound.
const SCAN: usize = 4_096;

/// Tasks in one claim at most, unless a gang has more.
const CLAIM: usize = 512;

/// How long a job waits before other instances of its home take tasks outside their share, in
/// milliseconds.
const STEAL: u64 = 200;

/// How long a gang waits before work behind it is held back, in milliseconds.
const GANG_WAIT: u64 = 2_000;

/// How long work is held back for a gang before it gets a turn again, in milliseconds.
const GANG_HOLD: u64 = 5_000;

/// What a round works on.
pub(super) struct Round<'a, P> {
    pub(super) now: Millis,
    pub(super) jobs: &'a Jobs,
    pub(super) workers: &'a mut Workers,
    pub(super) members: &'a Members,
    pub(super) profiles: &'a P,
    /// Demands that found no room in this round; what asks for more is not tried.
    misses: Vec<Resources>,
    gather: consolidation::Chooser,
}

/// What became of a look at a job.
enum Look {
    /// It waits for nothing any more.
    Done,
    /// It goes on waiting.
    Waits,
    /// It is a gang for which the work behind it is held back.
    Blocks,
    /// Tasks to claim.
    Claim(record::Claim),
}

impl Runs {
    /// Plans one round. Room for every claim is held; the claims are to be appended to the log.
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
            misses: Vec::new(),
            gather: consolidation::Chooser::default(),
        };
        let mut claims = Vec::new();
        let mut done = Vec::new();
        let mut left = self.cfg.round as usize;
        let count = self.queue.len().min(SCAN);
        for at in 0..count {
            if left == 0 {
                break;
            }
            let Some(waiting) = self.queue.from(at).first().cloned() else {
                break;
            };
            match self.look(&mut round, &waiting, left) {
                Look::Done => done.push(waiting),
                Look::Waits => {}
                Look::Blocks => break,
                Look::Claim(claim) => {
                    left = left.saturating_sub(claim.tasks.len());
                    claims.push(claim);
                }
            }
        }
        self.queue.remove(&done);
        round.gather.finish(round.workers);
        claims
    }

    fn look<P: Profiles>(
        &mut self,
        round: &mut Round<'_, P>,
        waiting: &Waiting,
        most: usize,
    ) -> Look {
        let Some(job) = round.jobs.get(&waiting.run) else {
            return Look::Done;
        };
        if job.waiting().is_empty() {
            return Look::Done;
        }
        if round.misses.iter().any(|miss| miss.fits(&job.spec.demand)) {
            return Look::Waits;
        }
        let waited = round.now.since(waiting.since);
        let Some(rank) = self.turn_of(round, job, &waiting.run, waited) else {
            return Look::Waits;
        };
        if job.spec.terms.kind == Kind::Gang {
            return self.look_gang(round, job, waiting, (rank, waited));
        }
        let most = most.min(CLAIM).min(self.quota_left(round, job));
        let indexes = self.share(round, job, &waiting.run, (rank, waited), most);
        let tasks = self.place(round, job, &waiting.run, &indexes);
        if tasks.len() < indexes.len() {
            let demand = job.spec.demand;
            round.misses.push(demand);
            self.hold
                .missed(round.now, &waiting.run, &demand, waited, round.workers);
        }
        if !tasks.is_empty() {
            self.hold.placed(&waiting.run);
        }
        claim(&waiting.run, tasks)
    }

    /// Claims all members of a gang or none.
    fn look_gang<P: Profiles>(
        &mut self,
        round: &mut Round<'_, P>,
        job: &Job,
        waiting: &Waiting,
        (rank, waited): (usize, u64),
    ) -> Look {
        let away = millis(self.cfg.away);
        let home = job.spec.zone == self.me.zone;
        let clock = round.jobs.clock();
        let wait = (waited, home);
        round.gather.offer(&waiting.run, job, clock, wait);
        if waited < away.saturating_mul(rank as u64) {
            return Look::Waits;
        }
        let members = job.waiting();
        if self.quota_left(round, job) < members.len() {
            return Look::Waits;
        }
        let run = &waiting.run;
        let ready = |index: &&u32| self.ready(round.now, job, run, **index);
        if members.iter().filter(ready).count() < members.len() {
            return Look::Waits;
        }
        let need = u64::from(job.spec.demand.slots) * members.len() as u64;
        let (taken, total) = round.workers.slots();
        if need > u64::from(total) {
            return Look::Waits;
        }
        if need <= u64::from(total - taken) {
            let tasks = self.place(round, job, run, members);
            if tasks.len() == members.len() {
                return claim(run, tasks);
            }
            self.give_back(round.workers, run, &tasks);
        }
        let turns = waited.saturating_sub(GANG_WAIT) / GANG_HOLD;
        if waited >= GANG_WAIT && turns.is_multiple_of(2) {
            return Look::Blocks;
        }
        Look::Waits
    }

    /// This instance's rank for a job, or `None` while others go first.
    fn turn_of<P: Profiles>(
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
        let near = round.members.region(home) == Some(&self.me.region);
        let patience = match job.spec.terms.spill {
            Spill::Zone => return None,
            Spill::Region if !near => return None,
            _ if near => away,
            _ => away.saturating_mul(2),
        };
        (waited >= patience).then_some(rank)
    }

    /// The waiting tasks that this instance looks at: its own share first, and those of others once
    /// the job has waited for a while.
    fn share<P: Profiles>(
        &self,
        round: &Round<'_, P>,
        job: &Job,
        run: &RunId,
        (rank, waited): (usize, u64),
        most: usize,
    ) -> Vec<u32> {
        let waiting = job.waiting();
        let group = round.members.group(round.now).max(1);
        let start = rank * waiting.len() / group;
        let end = if waited < STEAL {
            (rank + 1) * waiting.len() / group
        } else {
            start + waiting.len()
        };
        let (low, high) = (&waiting[start.min(waiting.len())..], &waiting[..start]);
        let order = low.iter().chain(high).take(end - start);
        let ready = order.filter(|index| self.ready(round.now, job, run, **index));
        ready.take(most).copied().collect()
    }

    /// Whether a task may be claimed by this instance now.
    fn ready(&self, now: Millis, job: &Job, run: &RunId, index: u32) -> bool {
        let Some(task) = job.tasks.get(index as usize) else {
            return false;
        };
        !self.pending.has(run, index, task.attempt + 1) && !self.rests.rests(now, run, index)
    }

    fn quota_left<P: Profiles>(&self, round: &Round<'_, P>, job: &Job) -> usize {
        let profile = round.profiles.profile(&job.spec.profile);
        let Some(quota) = profile.and_then(|p| p.quota) else {
            return usize::MAX;
        };
        let left = self.quota.left(&job.spec.profile, &job.spec.demand, &quota);
        usize::try_from(left).unwrap_or(usize::MAX)
    }

    /// Holds room for tasks in order, as many as fit.
    fn place<P: Profiles>(
        &mut self,
        round: &mut Round<'_, P>,
        job: &Job,
        run: &RunId,
        indexes: &[u32],
    ) -> Vec<record::Placement> {
        let chooser = pack::Chooser::new(round.profiles.profile(&job.spec.profile));
        let mut racks = pack::Peers::default();
        if job.spec.terms.racks != Racks::Any {
            racks.count(job, round.workers);
        }
        let mut tasks = Vec::new();
        for index in indexes {
            self.turn = self.turn.wrapping_add(1);
            let random = pack::scramble(self.turn);
            let (health, hold) = (&self.health, &self.hold);
            let barred = |worker| health.ejected(round.now, worker) || hold.blocks(run, worker);
            let offers = pack::offers(round.now, round.workers, job, &racks, random, barred);
            let Some(worker) = chooser.choose(&offers, job, &racks, round.workers, random) else {
                break;
            };
            let Some(task) = job.tasks.get(*index as usize) else {
                break;
            };
            let id = TaskId {
                run: run.clone(),
                index: *index,
                attempt: task.attempt + 1,
            };
            let planned = round.workers.plan(round.now, worker, &id, &job.spec.demand);
            let Some((token, boot)) = planned else {
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

    /// Gives back what a gang that did not fit holds.
    fn give_back(&mut self, workers: &mut Workers, run: &RunId, tasks: &[record::Placement]) {
        let claim = record::Claim {
            run: run.clone(),
            tasks: tasks.to_vec(),
        };
        self.dropped(&claim, workers);
    }
}

fn claim(run: &RunId, tasks: Vec<record::Placement>) -> Look {
    if tasks.is_empty() {
        return Look::Waits;
    }
    Look::Claim(record::Claim {
        run: run.clone(),
        tasks,
    })
}

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
