//! Placement of waiting steps on workers.

use compact_str::CompactString;
use log::info;

use super::{
    Action,
    Engine,
    caution::{
        Allowance,
        Care,
        Purpose, //
    },
    commands, //
};
use crate::{
    cell::{
        job::{
            self,
            Job,
            Phase,
            RunKey,
            StepKey,
            StepState,
            Task,
            TaskKey,
            WorkerKey, //
        },
        model,
        neighbours::preference, //
    },
    resources::Resources, //
};

/// Divisor of the number of schedulable workers that limits those reserved for gangs at a time;
/// reserving more would leave the cell idle.
const GANG_RESERVE_DIVISOR: usize = 5;

/// Multiple of the objective after which a job's completion has no value, from the platform's
/// description of late work.
pub(super) const LATE_FACTOR: u64 = 3;

/// Class of jobs that can still meet their objective.
const ON_TIME: u8 = 0;

/// Class of jobs that are late, but whose completion still has value.
const LATE: u8 = 1;

/// Class of jobs whose completion has no value any more.
const WORTHLESS: u8 = 2;

/// Worker as seen by one placement pass.
pub(super) struct Slot {
    pub(super) worker: WorkerKey,
    pub(super) incarnation: u64,
    /// Free resources of the worker.
    free: Resources,
    /// Resources that other steps have reserved.
    reserved: Resources,
    /// Number of runs on the worker.
    runs: usize,
    /// What the worker is used for.
    purpose: Purpose,
}

impl Slot {
    /// Whether the worker takes tasks that need no caution.
    pub(super) fn is_open(&self) -> bool {
        self.purpose == Purpose::Open
    }

    /// Resources that are free and not reserved.
    pub(super) fn available(&self) -> Resources {
        let free = self.free.parts();
        let reserved = self.reserved.parts();
        Resources::from_parts(std::array::from_fn(|i| free[i].saturating_sub(reserved[i])))
    }
}

/// Sort key of a waiting step: class, priority of the queue, and objective in Unix milliseconds.
type Rank = (u8, u32, u64);

/// Waiting step with its sort key.
pub(super) type Ranked = (Rank, StepKey);

/// Whether a step of this rank can still meet its objective.
pub(super) fn is_on_time(rank: &Rank) -> bool {
    rank.0 == ON_TIME
}

/// Whether the completion of a step of this rank still has value.
pub(super) fn is_timely(rank: &Rank) -> bool {
    rank.0 < WORTHLESS
}

/// Sort key of waiting steps: steps that are on time first, then those that are late but still have
/// value, then the rest; within each class by priority of the queue, then by deadline.
///
/// Handles a burst that exceeds the capacity for some seconds: work that can no longer be on time
/// must not delay work that still can.
fn rank(job: &Job, step: StepKey, unix: u64) -> Rank {
    let rest = job.critical_path_from(step.step as usize);
    let due = job.due_at(
        job.occurrences
            .get(step.occurrence as usize)
            .map_or(0, |o| o.number),
    );
    let objective = match due {
        0 => job.deadline,
        due => due.saturating_add(job.deadline - job.accepted_at),
    };
    let start = due.max(job.accepted_at);
    let slack = objective.saturating_sub(start);
    let last = start.saturating_add(slack.saturating_mul(LATE_FACTOR));
    let finish = unix.saturating_add(rest);
    let class = match finish {
        finish if finish <= objective => ON_TIME,
        finish if finish <= last => LATE,
        _ => WORTHLESS,
    };
    (class, job.queue.priority, objective)
}

/// Number of tasks of `demand` that fit into `free`, at most `most`.
pub(super) fn fit_count(free: &Resources, demand: &Resources, most: u32) -> u32 {
    let fits = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
    fits(free.millicores, demand.millicores)
        .min(fits(free.memory, demand.memory))
        .min(fits(free.accelerators, demand.accelerators))
        .min(most)
}

/// Resources of `tasks` tasks of `demand`; fractions are rounded up.
fn scaled(demand: &Resources, tasks: f64) -> Resources {
    let parts = demand
        .parts()
        .map(|part| (f64::from(part) * tasks).ceil() as u32);
    Resources::from_parts(parts)
}

/// One placement pass over the backlog.
pub(super) struct Pass {
    pub(super) slots: Vec<Slot>,
    /// Bytes of start commands that may still be emitted; the last step may exceed it.
    budget: usize,
    gang_slots: usize,
    /// Workers that may still be set apart.
    allowance: Allowance,
    /// Whether the capacity suffices for all that waits, however it is placed.
    pub(super) is_ample: bool,
    pub(super) now: u64,
}

impl Pass {
    /// Number of workers on which capacity may still be reserved.
    pub(super) fn reservable(&self) -> usize {
        let most = (self.slots.len() / GANG_RESERVE_DIVISOR).max(1);
        most.saturating_sub(self.gang_slots)
    }

    /// Reserves resources of a worker against steps that come later in this pass.
    pub(super) fn reserve(&mut self, slot: usize, demand: &Resources) {
        let slot = &mut self.slots[slot];
        slot.reserved = slot.reserved.plus(demand);
        self.gang_slots += 1;
    }
}

/// Step as seen by a placement pass.
pub(super) struct PendingStep {
    pub(super) key: StepKey,
    demand: Resources,
    /// Number of tasks that wait to be placed.
    pub(super) waiting: u32,
    /// Most tasks of the step on one worker.
    max_per_worker: u32,
    /// Whether a permit of the placement policy is required.
    needs_permit: bool,
    /// Whether the job can still meet its objective.
    on_time: bool,
    /// Restriction on the workers that the step may use.
    care: Care,
    /// Whether tasks that have not run yet wait until other tasks of the job have been tried.
    hold_new: bool,
}

impl PendingStep {
    /// Whether a task of the step is to be placed.
    fn includes(&self, task: &Task) -> bool {
        task.waits()
            && task.awaits_trial() == (self.care == Care::Alone)
            && !(self.hold_new && self.care != Care::Alone && task.last_run == 0)
    }

    /// Number of tasks of the step that are to be placed.
    fn count(&self, step: &StepState) -> u32 {
        step.tasks.iter().filter(|t| self.includes(t)).count() as u32
    }
}

impl Engine {
    /// Places waiting tasks where possible and queries the policy about the rest.
    ///
    /// Handles more starts than the owner's link can carry: steps that do not fit into the budget of
    /// the pass keep waiting here, where their order still follows the current priorities.
    pub fn schedule(&mut self, now: u64) {
        self.pass_needed = false;
        self.last_pass = now;
        let informed = self.may_command(now) && self.is_list_current(now);
        if self.deposed || !informed {
            return;
        }
        if self.backlog.is_empty() {
            return self.note_idle(now);
        }
        let unix = self.unix(now);
        let mut ranked: Vec<Ranked> = Vec::with_capacity(self.backlog.len());
        for key in std::mem::take(&mut self.backlog) {
            let Some(job) = self.jobs.get_mut(key.job) else {
                continue;
            };
            let waits = job
                .step(key)
                .is_some_and(|step| step.left > 0 && step.waiting() > 0);
            if waits && !job.state.is_final() {
                ranked.push((rank(job, key, unix), key));
            } else if let Some(step) = job.step_mut(key) {
                step.queued = false;
            }
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        self.begin_shares(&ranked, now);
        // No worker is set apart for a step that its cap keeps from starting.
        let startable = ranked
            .iter()
            .filter(|(_, key)| self.startable(*key, now) > 0);
        let startable: Vec<&Ranked> = startable.collect();
        let timely = startable.partition_point(|(rank, _)| is_timely(rank));
        let waiting: Vec<StepKey> = startable.iter().map(|(_, key)| *key).collect();
        let mut pass = self.pass(&waiting, timely, now);
        pass.is_ample = self.is_capacity_ample(&pass, &waiting);
        let left = self.place_in_rounds(&mut pass, ranked);
        self.backlog.extend(left.iter().map(|(_, key)| *key));
        let slots = pass.slots.iter();
        let room = slots.map(|slot| (slot.worker, slot.available()));
        self.end_shares(&left, room.collect(), now);
    }

    /// Places at most `most` tasks of a step, and queries the policy about the rest; returns whether
    /// none of its tasks waits any longer.
    pub(super) fn place_ranked(&mut self, pass: &mut Pass, ranked: &Ranked, most: u32) -> bool {
        let (rank, key) = *ranked;
        let most = most.min(self.startable(key, pass.now));
        if most == 0 {
            return false;
        }
        let placed = self.place_step(pass, key, rank.0 == ON_TIME, most);
        self.apply_reservations(pass, key);
        let step = self.jobs[key.job].step_mut(key).filter(|_| placed);
        step.is_some_and(|step| {
            step.queued = false;
            true
        })
    }

    fn pass(&mut self, waiting: &[StepKey], timely: usize, now: u64) -> Pass {
        let schedulable = self
            .cluster
            .workers
            .iter()
            .filter(|(_, w)| w.is_schedulable(self.durable_batch, now));
        let slots = schedulable.map(|(worker, state)| Slot {
            worker,
            incarnation: state.incarnation,
            free: state.free(),
            reserved: Resources::default(),
            runs: state.runs.len(),
            purpose: Purpose::Open,
        });
        let mut slots: Vec<Slot> = slots.collect();
        slots.sort_by_key(|slot| slot.worker);
        let workers: Vec<WorkerKey> = slots.iter().map(|slot| slot.worker).collect();
        let mut allowance = Allowance::default();
        if let Some(apart) = self.set_apart(&workers, waiting, timely, now) {
            allowance = apart.allowance;
            for (slot, purpose) in slots.iter_mut().zip(apart.purposes) {
                slot.purpose = purpose;
            }
        }
        Pass {
            slots,
            budget: self.start_budget,
            gang_slots: 0,
            allowance,
            is_ample: false,
            now,
        }
    }

    /// Places at most `most` tasks of a step; returns whether none of its tasks waits any longer.
    fn place_step(&mut self, pass: &mut Pass, key: StepKey, on_time: bool, most: u32) -> bool {
        let job = &self.jobs[key.job];
        let (Some(definition), Some(step)) = (job.definition(key), job.step(key)) else {
            return true;
        };
        if job.unread || !job::may_start(job, &self.cluster) && !definition.copies {
            return false;
        }
        if step.tasks.iter().any(|t| t.proof_from > self.proven_at) {
            return false;
        }
        let trials = step.trials();
        let queue = job.queue.name.clone();
        let careful = self.caution.is_careful(&queue);
        let mut pending = PendingStep {
            key,
            demand: super::demand(definition),
            waiting: step.waiting() as u32,
            max_per_worker: if definition.max_per_worker == 0 {
                u32::MAX
            } else {
                definition.max_per_worker
            },
            needs_permit: job.queue.policy_cost.is_some(),
            on_time,
            care: match careful {
                true => Care::Apart,
                false => Care::None,
            },
            hold_new: false,
        };
        if definition.gang {
            if step.active() > 0 || step.broken || step.tasks.iter().any(|t| t.withheld) {
                return false;
            }
            return self.place_gang_with_care(pass, pending, trials > 0, &queue);
        }
        if !job.suspected {
            let waiting = pending.waiting;
            pending.waiting = waiting.min(most);
            return self.place_tasks(pass, &pending) && pending.waiting == waiting;
        }
        let steps = job.occurrences.iter().flat_map(|o| &o.steps);
        let on_trial: usize = steps.map(|step| self.trials_under_way(step)).sum();
        pending.hold_new = trials > 0 || self.trials_under_way(step) > 0;
        pending.waiting = pending.count(step).min(most);
        if pending.waiting > 0 {
            self.place_tasks(pass, &pending);
        }
        // Few tasks of a job at a time: if one is convicted, the others need not be tried.
        pending.care = Care::Alone;
        pending.waiting = 1;
        let most = pass.allowance.job_trials.saturating_sub(on_trial);
        for _ in 0..trials.min(most) {
            if !pass.allowance.admits(&queue) || !self.place_tasks(pass, &pending) {
                break;
            }
            pass.allowance.take(&queue);
        }
        let job = self.jobs.get(key.job);
        job.and_then(|job| job.step(key))
            .is_none_or(|step| step.waiting() == 0)
    }

    /// Number of tasks of the step that are being tried.
    fn trials_under_way(&self, step: &StepState) -> usize {
        let tried = |task: &&Task| match task.phase {
            Phase::Active(run) => self.cluster.runs.get(run).is_some_and(|run| run.trial),
            _ => false,
        };
        match step.suspected {
            true => step.tasks.iter().filter(tried).count(),
            false => 0,
        }
    }

    /// Places a gang, on workers without other jobs if it is suspected of crashing workers, unless it
    /// needs more of them than may be set apart.
    fn place_gang_with_care(
        &mut self,
        pass: &mut Pass,
        mut pending: PendingStep,
        suspected: bool,
        queue: &CompactString,
    ) -> bool {
        let widest = pass.slots.iter().map(|slot| {
            let capacity = &self.cluster.workers[slot.worker].registration.capacity;
            fit_count(capacity, &pending.demand, pending.max_per_worker)
        });
        let width = widest.max().unwrap_or(0).max(1);
        let workers = pending.waiting.div_ceil(width) as usize;
        if suspected && workers <= pass.slots.len() / GANG_RESERVE_DIVISOR {
            if !pass.allowance.admits(queue) {
                return false;
            }
            pending.care = Care::Alone;
        } else if workers > pass.allowance.most_apart / 2 {
            pending.care = Care::None;
        }
        let placed = self.place_gang(pass, &pending);
        if placed && pending.care == Care::Alone {
            pass.allowance.take(queue);
        }
        placed
    }

    /// Whether a worker may take the step, given what the worker is used for.
    fn is_apart_enough(slot: &Slot, pending: &PendingStep, allowance: &Allowance) -> bool {
        let free = matches!(slot.purpose, Purpose::Open | Purpose::Vacant);
        let empty = slot.runs == 0 && free;
        match pending.care {
            Care::None => slot.purpose == Purpose::Open,
            Care::Alone => empty || allowance.shared && free,
            Care::Apart => slot.purpose == Purpose::Apart || empty && allowance.apart > 0,
        }
    }

    /// Whether an empty worker may run a task of the step, as far as known without asking the policy.
    pub(super) fn may_run(&self, key: StepKey, worker: WorkerKey) -> bool {
        let job = self.jobs.get(key.job);
        let Some((job, definition, step)) =
            job.and_then(|job| Some((job, job.definition(key)?, job.step(key)?)))
        else {
            return false;
        };
        let capacity = &self.cluster.workers[worker].registration.capacity;
        super::demand(definition).fits(capacity)
            && self.is_eligible(worker, job, definition)
            && step.policy.denied.binary_search(&worker).is_err()
    }

    /// Whether a worker may run tasks of the step, regardless of capacity and permits.
    pub(super) fn is_eligible(
        &self,
        worker: WorkerKey,
        job: &Job,
        definition: &model::Step,
    ) -> bool {
        let entry = &self.cluster.workers[worker].registration;
        let labelled = definition.label.is_empty() || entry.labels.contains(&definition.label);
        entry.service == job.queue.service && labelled
    }

    /// Number of runs of the step that are already on a worker, including runs that are being
    /// stopped.
    pub(super) fn runs_on(&self, key: StepKey, worker: WorkerKey) -> u32 {
        let Some(job) = self.jobs.get(key.job) else {
            return 0;
        };
        let first = job.task_name(TaskKey {
            step: key,
            index: 0,
        });
        let of_step = |run: &&RunKey| {
            let name = &self.cluster.runs[**run].name;
            (&name.job, name.occurrence, name.step) == (&first.job, first.occurrence, first.step)
        };
        let runs = &self.cluster.workers[worker].runs;
        runs.iter().filter(of_step).count() as u32
    }

    /// Number of tasks of the step that each worker of the pass could take, as pairs of slot index
    /// and number.
    fn offers(&self, pass: &Pass, pending: &PendingStep) -> Vec<(usize, u32)> {
        let job = &self.jobs[pending.key.job];
        let Some(definition) = job.definition(pending.key) else {
            return Vec::new();
        };
        let mut offers = Vec::new();
        for (i, slot) in pass.slots.iter().enumerate() {
            let available = slot.available();
            if !pending.demand.fits(&available)
                || !self.is_eligible(slot.worker, job, definition)
                || !Self::is_apart_enough(slot, pending, &pass.allowance)
            {
                continue;
            }
            let mut most = pending.waiting;
            if pending.max_per_worker != u32::MAX {
                most = most.min(
                    pending
                        .max_per_worker
                        .saturating_sub(self.runs_on(pending.key, slot.worker)),
                );
            }
            let count = fit_count(&available, &pending.demand, most);
            if count > 0 {
                offers.push((i, count));
            }
        }
        offers
    }

    /// Places tasks one by one where they leave the least free capacity (best fit).
    ///
    /// Handles gangs that arrive among many small tasks: small tasks that are packed closely leave
    /// whole workers for the gangs.
    fn place_tasks(&mut self, pass: &mut Pass, pending: &PendingStep) -> bool {
        let offers = self.offers(pass, pending);
        let mut usable: Vec<(usize, u32)> = Vec::new();
        for (i, count) in &offers {
            let slot = &pass.slots[*i];
            if !pending.needs_permit || self.permit(pending.key, slot, pass.now).is_some() {
                usable.push((*i, *count));
            }
        }
        let Some(step) = self.jobs[pending.key.job].step(pending.key) else {
            return true;
        };
        let idle = step
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, t)| pending.includes(t))
            .take(pending.waiting as usize);
        let tasks: Vec<(u32, Vec<WorkerKey>)> =
            idle.map(|(i, t)| (i as u32, t.failed_on.clone())).collect();
        if let Some(step) = self.jobs[pending.key.job].step_mut(pending.key) {
            // Reservations of answered queries are used now or dropped.
            step.policy.reservations.retain(|c| c.pending);
        }
        let mut left = pending.waiting;
        let mut held = false;
        for (index, avoid) in tasks {
            if pass.budget == 0 {
                // The permits that are held are used first.
                return false;
            }
            // The cap counts each task that was placed before.
            held = self.startable(pending.key, pass.now) == 0;
            if held {
                break;
            }
            let Some(at) = self.best_offer(pass, pending, &usable, &avoid) else {
                break;
            };
            let slot = usable[at].0;
            usable[at].1 -= 1;
            let task = TaskKey {
                step: pending.key,
                index,
            };
            self.start_task(pass, pending, task, slot);
            left -= 1;
        }
        if left > 0 && pending.needs_permit && !held {
            self.query_for_tasks(pass, pending, &offers, left);
        }
        left == 0
    }

    /// Index of the offer that leaves the least free capacity; workers on which the task has failed
    /// are a last resort, and those on which tasks would slow each other down are avoided.
    fn best_offer(
        &self,
        pass: &Pass,
        pending: &PendingStep,
        usable: &[(usize, u32)],
        avoid: &[WorkerKey],
    ) -> Option<usize> {
        let job = &self.jobs[pending.key.job];
        let rack = job
            .definition(pending.key)
            .map_or("", |definition| definition.data_rack.as_str());
        let view = self.view(pass, pending.key);
        let mut best: Option<((bool, bool, u32, u32), usize)> = None;
        // The choice without regard to the other tasks on the workers.
        let mut plain: Option<((bool, bool, u32), usize)> = None;
        for (at, (i, count)) in usable.iter().enumerate() {
            let slot = &pass.slots[*i];
            if *count == 0
                || !pending.demand.fits(&slot.available())
                || !Self::is_apart_enough(slot, pending, &pass.allowance)
            {
                continue;
            }
            let worker = &self.cluster.workers[slot.worker];
            let failed = avoid.contains(&slot.worker);
            let away = !rack.is_empty() && worker.registration.rack() != rack;
            let left = match pending.care {
                // A crash takes down few tasks where they are spread.
                Care::Alone | Care::Apart => slot.runs as u32,
                _ => slot
                    .free
                    .millicores
                    .saturating_sub(pending.demand.millicores),
            };
            let slowed = view.map_or(0, |view| view.cost(slot.worker));
            let cost = (failed, away, slowed, left);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, at));
            }
            let cost = (failed, away, left);
            if view.is_some() && plain.is_none_or(|(least, _)| cost < least) {
                plain = Some((cost, at));
            }
        }
        let best = best.map(|(_, at)| at);
        if view.is_some() && best != plain.map(|(_, at)| at) {
            self.neighbours.count_moves(1);
        }
        best
    }

    /// Places all members of a gang at once, or reserves capacity for them.
    ///
    /// Handles wide gangs under a steady stream of small tasks, which would take each piece of
    /// capacity as it becomes free.
    fn place_gang(&mut self, pass: &mut Pass, pending: &PendingStep) -> bool {
        let offers = self.offers(pass, pending);
        let need = pending.waiting;
        let mut usable: Vec<(usize, u32)> = Vec::new();
        let mut allowed: Vec<(usize, u32)> = Vec::new();
        for (i, count) in &offers {
            let slot = &pass.slots[*i];
            if !pending.needs_permit || self.permit(pending.key, slot, pass.now).is_some() {
                usable.push((*i, *count));
            }
            if !pending.needs_permit || self.is_allowed(pending.key, slot.worker) {
                allowed.push((*i, *count));
            }
        }
        if let Some(chosen) = self.choose_gang_workers(pass, pending, usable, need) {
            if pass.budget == 0 {
                return false;
            }
            self.start_gang(pass, pending, &chosen);
            return true;
        }
        let enough = pending.needs_permit && self.query_for_gang(pass, pending, &offers);
        if !enough && pending.on_time {
            self.reserve_for_gang(pass, pending, allowed);
        }
        false
    }

    /// Reserves capacity that is not yet enough for a gang against steps that come later in this
    /// pass.
    fn reserve_for_gang(
        &self,
        pass: &mut Pass,
        pending: &PendingStep,
        mut allowed: Vec<(usize, u32)>,
    ) {
        let most = pass.slots.len() / GANG_RESERVE_DIVISOR;
        let mut left = pending.waiting;
        allowed.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        for (i, count) in allowed {
            if left == 0 || pass.gang_slots >= most {
                return;
            }
            let taken = count.min(left);
            let slot = &mut pass.slots[i];
            slot.reserved = slot
                .reserved
                .plus(&scaled(&pending.demand, f64::from(taken)));
            pass.gang_slots += 1;
            left -= taken;
        }
    }

    /// Subtracts the reservations of a step from the capacity for steps that come later in this
    /// pass.
    fn apply_reservations(&self, pass: &mut Pass, key: StepKey) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let (Some(definition), Some(step)) = (job.definition(key), job.step(key)) else {
            return;
        };
        let demand = super::demand(definition);
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
                let reserved = &mut pass.slots[at].reserved;
                *reserved = reserved.plus(&scaled(&demand, claim.expected));
            }
        }
    }

    /// Selects workers for a whole gang, with most members on the fewest workers; within one rack
    /// if that helps and is possible.
    fn choose_gang_workers(
        &self,
        pass: &Pass,
        pending: &PendingStep,
        mut usable: Vec<(usize, u32)>,
        need: u32,
    ) -> Option<Vec<(usize, u32)>> {
        let sum = |usable: &[(usize, u32)]| usable.iter().map(|(_, count)| *count).sum::<u32>();
        if sum(&usable) < need {
            return None;
        }
        let definition = self.jobs[pending.key.job].definition(pending.key)?;
        if definition.compact {
            let rack = |i: usize| {
                self.cluster.workers[pass.slots[i].worker]
                    .registration
                    .rack()
            };
            let mut racks: Vec<&str> = usable.iter().map(|(i, _)| rack(*i)).collect();
            racks.sort_unstable();
            racks.dedup();
            for name in racks {
                let mut inside = usable.clone();
                inside.retain(|(i, _)| rack(*i) == name);
                if sum(&inside) >= need {
                    usable = inside;
                    break;
                }
            }
        }
        usable
            .sort_by_key(|(i, count)| (std::cmp::Reverse(*count), pass.slots[*i].free.millicores));
        let plain = preference::choose(&usable, need, |_| 0);
        let Some(view) = self.view(pass, pending.key) else {
            return Some(plain);
        };
        let chosen = preference::choose(&usable, need, |i| view.cost(pass.slots[i].worker));
        let moved = chosen.iter().filter(|member| !plain.contains(member));
        let moved = moved.map(|(_, count)| u64::from(*count)).sum();
        // Without budget, the gang does not start in this pass.
        if pass.budget > 0 {
            self.neighbours.count_moves(moved);
        }
        Some(chosen)
    }

    fn start_gang(&mut self, pass: &mut Pass, pending: &PendingStep, chosen: &[(usize, u32)]) {
        let Some(step) = self.jobs[pending.key.job].step_mut(pending.key) else {
            return;
        };
        step.policy.reservations.clear();
        // All members of a gang share the run number.
        let highest = step.tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
        for task in &mut step.tasks {
            task.last_run = highest;
        }
        // All members resume from the same checkpoint, or none does.
        let checkpoint = step
            .tasks
            .iter()
            .map(|t| &t.checkpoint)
            .max()
            .cloned()
            .unwrap_or_default();
        for task in &mut step.tasks {
            task.checkpoint = checkpoint.clone();
        }
        let mut index = 0;
        for (slot, count) in chosen {
            for _ in 0..*count {
                let task = TaskKey {
                    step: pending.key,
                    index,
                };
                self.start_task(pass, pending, task, *slot);
                index += 1;
            }
        }
    }

    /// Tracks a run of a task on a worker and emits its start command.
    fn start_task(&mut self, pass: &mut Pass, pending: &PendingStep, task: TaskKey, slot: usize) {
        let slot = &mut pass.slots[slot];
        let worker = slot.worker;
        let permit = self.permit(pending.key, slot, pass.now).unwrap_or_default();
        slot.free = slot.free.minus(&pending.demand).unwrap_or_default();
        if pending.care == Care::Apart && slot.purpose != Purpose::Apart {
            pass.allowance.apart = pass.allowance.apart.saturating_sub(1);
        }
        slot.runs += 1;
        slot.purpose = match pending.care {
            Care::None => Purpose::Open,
            Care::Alone => Purpose::Trial,
            Care::Apart => Purpose::Apart,
        };
        let job = &self.jobs[task.step.job];
        let run = job
            .step(task.step)
            .map_or(0, |s| s.tasks[task.index as usize].last_run);
        let number = self.next_run_number(job, run);
        info!(job = job.id.as_str(), step = task.step.step, task = task.index, run = number,
            worker = self.worker_id(worker), waited = self.unix(pass.now).saturating_sub(job.accepted_at),
            room = slot.free.millicores; "task placed");
        pass.budget = pass.budget.saturating_sub(commands::start_size(job));
        let key = self.add_run(task, worker, number, permit, pass.now);
        self.start_or_hold(key, pending.care == Care::Alone);
    }

    /// Emits the start command of a run. A trial waits until the store has what is known against its
    /// task, and where it runs: a later owner must know it.
    fn start_or_hold(&mut self, key: RunKey, trial: bool) {
        if !trial {
            self.actions.push(Action::Start(key));
            return;
        }
        self.expose(key);
        let run = &mut self.cluster.runs[key];
        run.trial = true;
        run.after_batch = self.open_batch;
        // An empty worker is not polled, and may be down by now.
        self.actions.push(Action::Poll(run.worker));
        self.held_starts.push(key);
    }

    /// Permit for a step on a worker, if one is held and valid.
    fn permit(&self, key: StepKey, slot: &Slot, now: u64) -> Option<CompactString> {
        let step = self.jobs[key.job].step(key)?;
        let permit = step.policy.permit(slot.worker, slot.incarnation, now)?;
        Some(permit.token.clone())
    }

    fn is_allowed(&self, key: StepKey, worker: WorkerKey) -> bool {
        let step = self.jobs[key.job].step(key);
        step.is_some_and(|step| step.policy.allowed.binary_search(&worker).is_ok())
    }
}
