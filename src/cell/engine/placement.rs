//! Which waiting steps go where.

use compact_str::CompactString;
use log::info;

use super::{
    Action,
    Engine, //
};
use crate::{
    cell::{
        job::{
            self,
            Job,
            Phase,
            RunKey,
            StepKey,
            TaskKey,
            WorkerKey, //
        },
        model, //
    },
    resources::Resources, //
};

/// One in so many open workers may be kept free for gangs at a time; more would idle the cell.
const RESERVED_PART: usize = 5;

/// Times the objective after which a job's completion is worth nothing any more, by the platform's
/// description of late work.
const LATE_FACTOR: u64 = 3;

/// Class of jobs that can still meet their objective.
const TIMELY: u8 = 0;

/// Class of jobs that are late, but not worthless.
const LATE: u8 = 1;

/// Class of jobs whose completion is worth nothing any more.
const HOPELESS: u8 = 2;

/// A worker as one pass sees it.
pub(super) struct Slot {
    pub(super) worker: WorkerKey,
    pub(super) born: u64,
    /// What is free there.
    free: Resources,
    /// What steps are about to use of it.
    held: Resources,
}

impl Slot {
    /// What is free there and nobody is about to use.
    pub(super) fn room(&self) -> Resources {
        let free = self.free.parts();
        let held = self.held.parts();
        Resources::from_parts(std::array::from_fn(|i| free[i].saturating_sub(held[i])))
    }
}

/// The order in which waiting steps are served: what is still in time first, then what is late but
/// not worthless, then the rest; by precedence of the queue, then by deadline.
///
/// Answers the load pattern of a burst that exceeds the room for some seconds: work that cannot be
/// in time any more must not delay work that still can.
fn rank(job: &Job, step: StepKey, unix: u64) -> (u8, u32, u64) {
    let rest = job.critical_path_from(step.step as usize);
    let due = job.due_at(
        job.occurrences
            .get(step.occurrence as usize)
            .map_or(0, |o| o.number),
    );
    let objective = match due {
        0 => job.deadline,
        due => due + (job.deadline - job.accepted_at),
    };
    let start = due.max(job.accepted_at);
    let last = start + (objective - start) * LATE_FACTOR;
    let finish = unix + rest;
    let class = match finish {
        finish if finish <= objective => TIMELY,
        finish if finish <= last => LATE,
        _ => HOPELESS,
    };
    (class, job.queue.priority, objective)
}

/// How many tasks of `demand` fit into `free`, at most `most`.
fn slots(free: &Resources, demand: &Resources, most: u32) -> u32 {
    let fits = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
    fits(free.millicores, demand.millicores)
        .min(fits(free.memory, demand.memory))
        .min(fits(free.accelerators, demand.accelerators))
        .min(most)
}

/// What `tasks` tasks of `demand` take, with a part of a task rounded up.
fn scaled(demand: &Resources, tasks: f64) -> Resources {
    let parts = demand
        .parts()
        .map(|part| (f64::from(part) * tasks).ceil() as u32);
    Resources::from_parts(parts)
}

/// One pass over the waiting steps.
pub(super) struct Pass {
    pub(super) slots: Vec<Slot>,
    reserved: usize,
    pub(super) now: u64,
}

/// A step as a pass sees it.
pub(super) struct Wanted {
    pub(super) key: StepKey,
    demand: Resources,
    /// Tasks that wait.
    pub(super) idle: u32,
    /// Most tasks of the step on one worker.
    spread: u32,
    /// Whether the policy must be asked.
    asks: bool,
    /// Whether the job can still meet its objective.
    timely: bool,
}

impl Engine {
    /// Places what can be placed and asks the policy about what waits.
    pub fn schedule(&mut self, now: u64) {
        self.stale = false;
        self.looked = now;
        if self.ready.is_empty() || self.deposed || !self.may_order(now) {
            return;
        }
        let unix = self.unix(now);
        let mut ranked: Vec<((u8, u32, u64), StepKey)> = Vec::with_capacity(self.ready.len());
        for key in std::mem::take(&mut self.ready) {
            let Some(job) = self.jobs.get_mut(key.job) else {
                continue;
            };
            let waits = job
                .step(key)
                .is_some_and(|step| step.remaining > 0 && step.waiting() > 0);
            if waits && !job.state.is_final() {
                ranked.push((rank(job, key, unix), key));
            } else if let Some(step) = job.step_mut(key) {
                step.queued = false;
            }
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        let mut pass = self.pass(now);
        for (rank, key) in ranked {
            let placed = self.place_step(&mut pass, key, rank.0 == TIMELY);
            self.hold(&mut pass, key);
            if let (true, Some(step)) = (placed, self.jobs[key.job].step_mut(key)) {
                step.queued = false;
            } else {
                self.ready.push(key);
            }
        }
    }

    fn pass(&self, now: u64) -> Pass {
        let open = self
            .books
            .workers
            .iter()
            .filter(|(_, w)| w.is_schedulable(self.durable, now));
        let slots = open.map(|(worker, state)| Slot {
            worker,
            born: state.incarnation,
            free: state.free(),
            held: Resources::default(),
        });
        let mut slots: Vec<Slot> = slots.collect();
        slots.sort_by_key(|slot| slot.worker);
        Pass {
            slots,
            reserved: 0,
            now,
        }
    }

    /// Places tasks of a step; returns whether none of them waits any longer.
    fn place_step(&mut self, pass: &mut Pass, key: StepKey, timely: bool) -> bool {
        let job = &self.jobs[key.job];
        let (Some(plan), Some(step)) = (job.definition(key), job.step(key)) else {
            return true;
        };
        if !job::may_start(job, &self.books) && !plan.copies {
            return false;
        }
        let wanted = Wanted {
            key,
            demand: super::demand(plan),
            idle: step.waiting() as u32,
            spread: if plan.max_per_worker == 0 {
                u32::MAX
            } else {
                plan.max_per_worker
            },
            asks: job.queue.policy_cost.is_some(),
            timely,
        };
        if plan.gang {
            if step.active() > 0 || step.broken {
                return false;
            }
            return self.place_gang(pass, &wanted);
        }
        self.place_tasks(pass, &wanted)
    }

    /// Whether a worker may run tasks of the step, apart from room and permits.
    fn suits(&self, slot: &Slot, job: &Job, plan: &model::Step) -> bool {
        let entry = &self.books.workers[slot.worker].registration;
        let labelled = plan.label.is_empty() || entry.labels.contains(&plan.label);
        entry.service == job.queue.service && labelled
    }

    /// Runs of the step that are on a worker already, wanted or not: one that is being stopped still
    /// counts.
    fn present(&self, key: StepKey, worker: WorkerKey) -> u32 {
        let Some(job) = self.jobs.get(key.job) else {
            return 0;
        };
        let first = job.task_name(TaskKey {
            step: key,
            index: 0,
        });
        let of_step = |run: &&RunKey| {
            let name = &self.books.runs[**run].name;
            (&name.job, name.occurrence, name.step) == (&first.job, first.occurrence, first.step)
        };
        let runs = &self.books.workers[worker].runs;
        runs.iter().filter(of_step).count() as u32
    }

    /// How many tasks of the step each worker of the pass could take: index and number.
    fn offers(&self, pass: &Pass, wanted: &Wanted) -> Vec<(usize, u32)> {
        let job = &self.jobs[wanted.key.job];
        let Some(plan) = job.definition(wanted.key) else {
            return Vec::new();
        };
        let mut offers = Vec::new();
        for (i, slot) in pass.slots.iter().enumerate() {
            let room = slot.room();
            if !wanted.demand.fits(&room) || !self.suits(slot, job, plan) {
                continue;
            }
            let mut most = wanted.idle;
            if wanted.spread != u32::MAX {
                most = most.min(
                    wanted
                        .spread
                        .saturating_sub(self.present(wanted.key, slot.worker)),
                );
            }
            let count = slots(&room, &wanted.demand, most);
            if count > 0 {
                offers.push((i, count));
            }
        }
        offers
    }

    /// Places tasks one by one where they leave the least room unused.
    ///
    /// Answers the load pattern of gangs that arrive among many small tasks: small tasks that are
    /// packed closely leave whole workers for the gangs.
    fn place_tasks(&mut self, pass: &mut Pass, wanted: &Wanted) -> bool {
        let offers = self.offers(pass, wanted);
        let mut open: Vec<(usize, u32)> = Vec::new();
        for (i, count) in &offers {
            let slot = &pass.slots[*i];
            if !wanted.asks || self.permit(wanted.key, slot, pass.now).is_some() {
                open.push((*i, *count));
            }
        }
        let Some(step) = self.jobs[wanted.key.job].step(wanted.key) else {
            return true;
        };
        let idle = step
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, t)| t.phase == Phase::Waiting);
        let tasks: Vec<(u32, Vec<WorkerKey>)> =
            idle.map(|(i, t)| (i as u32, t.failed_on.clone())).collect();
        if let Some(step) = self.jobs[wanted.key.job].step_mut(wanted.key) {
            // What was answered is used now or not at all.
            step.policy.reservations.retain(|c| c.pending);
        }
        let mut left = wanted.idle;
        for (index, avoid) in tasks {
            let Some(at) = self.best(pass, wanted, &open, &avoid) else {
                break;
            };
            let slot = open[at].0;
            open[at].1 -= 1;
            let task = TaskKey {
                step: wanted.key,
                index,
            };
            self.put(pass, wanted, task, slot);
            left -= 1;
        }
        if left > 0 && wanted.asks {
            self.ask(pass, wanted, &offers, left);
        }
        left == 0
    }

    /// The offer that leaves the least room, away from workers on which the task has failed unless
    /// there is no other.
    fn best(
        &self,
        pass: &Pass,
        wanted: &Wanted,
        open: &[(usize, u32)],
        avoid: &[WorkerKey],
    ) -> Option<usize> {
        let job = &self.jobs[wanted.key.job];
        let rack = job
            .definition(wanted.key)
            .map_or("", |plan| plan.data_rack.as_str());
        let mut best: Option<((bool, bool, u32), usize)> = None;
        for (at, (i, count)) in open.iter().enumerate() {
            let slot = &pass.slots[*i];
            if *count == 0 || !wanted.demand.fits(&slot.room()) {
                continue;
            }
            let worker = &self.books.workers[slot.worker];
            let failed = avoid.contains(&slot.worker);
            let away = !rack.is_empty() && worker.registration.rack() != rack;
            let left = slot
                .free
                .millicores
                .saturating_sub(wanted.demand.millicores);
            let cost = (failed, away, left);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Places all members of a gang at once, or keeps room free for them.
    ///
    /// Answers the load pattern of wide gangs under a steady stream of small tasks, which would
    /// take each piece of room as it becomes free.
    fn place_gang(&mut self, pass: &mut Pass, wanted: &Wanted) -> bool {
        let offers = self.offers(pass, wanted);
        let need = wanted.idle;
        let mut open: Vec<(usize, u32)> = Vec::new();
        let mut good: Vec<(usize, u32)> = Vec::new();
        for (i, count) in &offers {
            let slot = &pass.slots[*i];
            if !wanted.asks || self.permit(wanted.key, slot, pass.now).is_some() {
                open.push((*i, *count));
            }
            if !wanted.asks || self.is_good(wanted.key, slot.worker) {
                good.push((*i, *count));
            }
        }
        if let Some(chosen) = self.choose(pass, wanted, open, need) {
            self.put_gang(pass, wanted, &chosen);
            return true;
        }
        let enough = wanted.asks && self.ask_gang(pass, wanted, &offers);
        if !enough && wanted.timely {
            self.reserve(pass, wanted, good);
        }
        false
    }

    /// Keeps room that is too little yet for a gang from those that come after it in this pass.
    fn reserve(&self, pass: &mut Pass, wanted: &Wanted, mut good: Vec<(usize, u32)>) {
        let most = pass.slots.len() / RESERVED_PART;
        let mut left = wanted.idle;
        good.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        for (i, count) in good {
            if left == 0 || pass.reserved >= most {
                return;
            }
            let taken = count.min(left);
            let slot = &mut pass.slots[i];
            slot.held = slot.held.plus(&scaled(&wanted.demand, f64::from(taken)));
            pass.reserved += 1;
            left -= taken;
        }
    }

    /// Keeps the room that a step is about to use from those that come after it in this pass.
    fn hold(&self, pass: &mut Pass, key: StepKey) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let (Some(plan), Some(step)) = (job.definition(key), job.step(key)) else {
            return;
        };
        let demand = super::demand(plan);
        for claim in step
            .policy
            .reservations
            .iter()
            .filter(|c| c.valid_until > pass.now)
        {
            let at = pass
                .slots
                .binary_search_by_key(&claim.worker, |slot| slot.worker);
            if let Ok(at) = at {
                let held = &mut pass.slots[at].held;
                *held = held.plus(&scaled(&demand, claim.expected));
            }
        }
    }

    /// Workers for a whole gang, most members on the fewest; in one rack where that helps and works.
    fn choose(
        &self,
        pass: &Pass,
        wanted: &Wanted,
        mut open: Vec<(usize, u32)>,
        need: u32,
    ) -> Option<Vec<(usize, u32)>> {
        let sum = |open: &[(usize, u32)]| open.iter().map(|(_, count)| *count).sum::<u32>();
        if sum(&open) < need {
            return None;
        }
        let plan = self.jobs[wanted.key.job].definition(wanted.key)?;
        if plan.compact {
            let rack = |i: usize| self.books.workers[pass.slots[i].worker].registration.rack();
            let mut racks: Vec<&str> = open.iter().map(|(i, _)| rack(*i)).collect();
            racks.sort_unstable();
            racks.dedup();
            for name in racks {
                let mut inside = open.clone();
                inside.retain(|(i, _)| rack(*i) == name);
                if sum(&inside) >= need {
                    open = inside;
                    break;
                }
            }
        }
        open.sort_by_key(|(i, count)| (std::cmp::Reverse(*count), pass.slots[*i].free.millicores));
        let mut left = need;
        let mut chosen = Vec::new();
        for (i, count) in open {
            if left == 0 {
                break;
            }
            let taken = count.min(left);
            left -= taken;
            chosen.push((i, taken));
        }
        Some(chosen)
    }

    fn put_gang(&mut self, pass: &mut Pass, wanted: &Wanted, chosen: &[(usize, u32)]) {
        let Some(step) = self.jobs[wanted.key.job].step_mut(wanted.key) else {
            return;
        };
        step.policy.reservations.clear();
        // All members of a run share its number.
        let highest = step.tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
        for task in &mut step.tasks {
            task.last_run = highest;
        }
        // They resume from one checkpoint or not at all.
        let saved = step
            .tasks
            .iter()
            .map(|t| &t.checkpoint)
            .max()
            .cloned()
            .unwrap_or_default();
        for task in &mut step.tasks {
            task.checkpoint = saved.clone();
        }
        let mut index = 0;
        for (slot, count) in chosen {
            for _ in 0..*count {
                let task = TaskKey {
                    step: wanted.key,
                    index,
                };
                self.put(pass, wanted, task, *slot);
                index += 1;
            }
        }
    }

    /// Books a task on a worker and orders its start.
    fn put(&mut self, pass: &mut Pass, wanted: &Wanted, task: TaskKey, slot: usize) {
        let slot = &mut pass.slots[slot];
        let worker = slot.worker;
        let ticket = self.permit(wanted.key, slot, pass.now).unwrap_or_default();
        slot.free = slot.free.minus(&wanted.demand).unwrap_or_default();
        let job = &self.jobs[task.step.job];
        let run = job
            .step(task.step)
            .map_or(0, |s| s.tasks[task.index as usize].last_run);
        let number = self.next_run(job, run);
        info!(job = job.id.as_str(), step = task.step.step, task = task.index, run = number,
            worker = self.worker_id(worker), waited = self.unix(pass.now).saturating_sub(job.accepted_at),
            room = slot.free.millicores; "task placed");
        let key = self.book(task, worker, number, ticket, pass.now);
        self.actions.push(Action::Start(key));
    }

    /// The permit for a step on a worker, if one is needed and valid.
    fn permit(&self, key: StepKey, slot: &Slot, now: u64) -> Option<CompactString> {
        let step = self.jobs[key.job].step(key)?;
        let ticket = step.policy.permit(slot.worker, slot.born, now)?;
        Some(ticket.token.clone())
    }

    fn is_good(&self, key: StepKey, worker: WorkerKey) -> bool {
        let step = self.jobs[key.job].step(key);
        step.is_some_and(|step| step.policy.allowed.binary_search(&worker).is_ok())
    }
}
