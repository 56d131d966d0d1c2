//! Which waiting steps go where, and what the placement policy is asked.

use compact_str::{
    CompactString,
    format_compact, //
};
use log::info;

use super::{
    Action,
    Engine,
    Question, //
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
            Ticket,
            WorkerKey, //
        },
        model, //
    },
    resources::Resources, //
};

/// Share of workers that the policy is taken to find good before it has answered once.
pub(super) const GOOD_SHARE: f64 = 0.5;

/// Weight of the newest answer in the learned share of good workers: ten answers count.
const GOOD_WEIGHT: f64 = 0.1;

/// Room asked for, as a multiple of what a step needs: answers vary around the learned share.
const ASK_MARGIN: f64 = 1.3;

/// Fewest workers named in a question: a smaller one saves little time.
const ASK_LEAST: usize = 4;

/// Most workers named in a question: what the objective of a job allows for.
const ASK_MOST: usize = 30;

/// Time by which a permit is given up before it ends, in milliseconds: the way to the worker.
const PERMIT_MARGIN: u64 = 150;

/// Pause after a question that failed, in milliseconds.
const ASK_PAUSE: u64 = 100;

/// One in so many open workers may be kept free for gangs at a time; more would idle the cell.
const RESERVED_PART: usize = 3;

/// Room asked for a gang, as a multiple of what it needs: others take some of it meanwhile.
const GANG_MARGIN: f64 = 1.5;

/// Questions about one gang that may be out at a time, each through another instance.
const GANG_QUESTIONS: u32 = 4;

/// Fewest workers in a question about a gang when there are several: the fixed part of a question
/// costs more than so many workers.
const GANG_CHUNK: usize = 25;

/// Most workers named for a gang at a time: what all its questions may hold.
const GANG_MOST: usize = 200;

/// Times the objective after which a job's completion is worth nothing any more, by the platform's
/// description of late work.
const LATE_FACTOR: u64 = 3;

/// A worker as one pass sees it.
struct Slot {
    worker: WorkerKey,
    born: u64,
    free: Resources,
    reserved: bool,
}

/// The order in which waiting steps are served: what is still in time first, then what is late but
/// not worthless, then the rest; by precedence of the queue, then by deadline.
///
/// Answers the load pattern of a burst that exceeds the room for some seconds: work that cannot be
/// in time any more must not delay work that still can.
fn rank(job: &Job, step: StepKey, unix: u64) -> (u8, u32, u64) {
    let rest = job.chain(step.step as usize);
    let due = job.due(
        job.occurrences
            .get(step.occurrence as usize)
            .map_or(0, |o| o.number),
    );
    let objective = match due {
        0 => job.objective,
        due => due + (job.objective - job.accepted),
    };
    let start = due.max(job.accepted);
    let last = start + (objective - start) * LATE_FACTOR;
    let finish = unix + rest;
    let class = match finish {
        finish if finish <= objective => 0,
        finish if finish <= last => 1,
        _ => 2,
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

/// One pass over the waiting steps.
struct Pass {
    slots: Vec<Slot>,
    reserved: usize,
    now: u64,
}

/// A step as a pass sees it.
struct Wanted {
    key: StepKey,
    demand: Resources,
    /// Tasks that wait.
    idle: u32,
    /// Most tasks of the step on one worker.
    spread: u32,
    /// Whether the policy must be asked.
    asks: bool,
}

impl Engine {
    /// Places what can be placed and asks the policy about what waits.
    pub fn schedule(&mut self, now: u64) {
        self.stale = false;
        if self.ready.is_empty() || self.deposed {
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
                .is_some_and(|step| step.left > 0 && step.idle() > 0);
            if waits && !job.state.is_final() {
                ranked.push((rank(job, key, unix), key));
            } else if let Some(step) = job.step_mut(key) {
                step.queued = false;
            }
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        let mut pass = self.pass(now);
        for (_, key) in ranked {
            let placed = self.place_step(&mut pass, key);
            if let (true, Some(step)) = (placed, self.jobs[key.job].step_mut(key)) {
                step.queued = false;
            } else {
                self.ready.push(key);
            }
        }
    }

    fn pass(&self, now: u64) -> Pass {
        let open = self.books.workers.iter().filter(|(_, w)| w.is_open(now));
        let slots = open.map(|(worker, state)| Slot {
            worker,
            born: state.born,
            free: state.free(),
            reserved: false,
        });
        Pass {
            slots: slots.collect(),
            reserved: 0,
            now,
        }
    }

    /// Places tasks of a step; returns whether none of them waits any longer.
    fn place_step(&mut self, pass: &mut Pass, key: StepKey) -> bool {
        let job = &self.jobs[key.job];
        let (Some(plan), Some(step)) = (job.plan(key), job.step(key)) else {
            return true;
        };
        if !job::may_start(job, &self.books) && !plan.copies {
            return false;
        }
        let wanted = Wanted {
            key,
            demand: super::demand(plan),
            idle: step.idle() as u32,
            spread: if plan.spread == 0 {
                u32::MAX
            } else {
                plan.spread
            },
            asks: job.queue.advice.is_some(),
        };
        if plan.gang {
            if step.live() > 0 || step.broken {
                return false;
            }
            return self.place_gang(pass, &wanted);
        }
        self.place_tasks(pass, &wanted)
    }

    /// Whether a worker may run tasks of the step, apart from room and permits.
    fn suits(&self, slot: &Slot, job: &Job, plan: &model::Step) -> bool {
        let entry = &self.books.workers[slot.worker].entry;
        let labelled = plan.label.is_empty() || entry.labels.contains(&plan.label);
        entry.service == job.queue.service && labelled
    }

    /// Tasks of the step that are on a worker already.
    fn present(&self, key: StepKey, worker: WorkerKey) -> u32 {
        let of_step = |run: &&RunKey| {
            let run = &self.books.runs[**run];
            run.task.is_some_and(|task| task.step == key)
        };
        self.books.workers[worker]
            .runs
            .iter()
            .filter(of_step)
            .count() as u32
    }

    /// How many tasks of the step each worker of the pass could take: index and number.
    fn offers(&self, pass: &Pass, wanted: &Wanted) -> Vec<(usize, u32)> {
        let job = &self.jobs[wanted.key.job];
        let Some(plan) = job.plan(wanted.key) else {
            return Vec::new();
        };
        let mut offers = Vec::new();
        for (i, slot) in pass.slots.iter().enumerate() {
            if slot.reserved || !wanted.demand.fits(&slot.free) || !self.suits(slot, job, plan) {
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
            let count = slots(&slot.free, &wanted.demand, most);
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
            .filter(|(_, t)| t.phase == Phase::Idle);
        let tasks: Vec<(u32, Vec<WorkerKey>)> =
            idle.map(|(i, t)| (i as u32, t.avoid.clone())).collect();
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
        let rack = job.plan(wanted.key).map_or("", |plan| plan.rack.as_str());
        let mut best: Option<((bool, bool, u32), usize)> = None;
        for (at, (i, count)) in open.iter().enumerate() {
            let slot = &pass.slots[*i];
            if *count == 0 || !wanted.demand.fits(&slot.free) {
                continue;
            }
            let worker = &self.books.workers[slot.worker];
            let failed = avoid.contains(&slot.worker);
            let away = !rack.is_empty() && worker.entry.rack() != rack;
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
        let most = pass.slots.len() / RESERVED_PART;
        if pass.reserved < most {
            let mut left = need;
            good.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
            for (i, count) in &good {
                if left == 0 {
                    break;
                }
                pass.slots[*i].reserved = true;
                pass.reserved += 1;
                left = left.saturating_sub(*count);
            }
        }
        if wanted.asks {
            self.ask_gang(pass, wanted, &offers);
        }
        false
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
        let plan = self.jobs[wanted.key.job].plan(wanted.key)?;
        if plan.compact {
            let rack = |i: usize| self.books.workers[pass.slots[i].worker].entry.rack();
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
        step.began = pass.now;
        // All members of a run share its number.
        let highest = step.tasks.iter().map(|t| t.run).max().unwrap_or(0);
        for task in &mut step.tasks {
            task.run = highest;
        }
        // They resume from one checkpoint or not at all.
        let saved = step
            .tasks
            .iter()
            .map(|t| &t.saved)
            .max()
            .cloned()
            .unwrap_or_default();
        for task in &mut step.tasks {
            task.saved = saved.clone();
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
            .map_or(0, |s| s.tasks[task.index as usize].run);
        let number = self.next_run(job, run);
        info!(job = job.id.as_str(), step = task.step.step, task = task.index, run = number,
            worker = self.worker_id(worker), waited = self.unix(pass.now).saturating_sub(job.accepted),
            room = slot.free.millicores; "task placed");
        let key = self.book(task, worker, number, ticket, pass.now);
        self.actions.push(Action::Start(key));
    }

    /// The permit for a step on a worker, if one is needed and valid.
    fn permit(&self, key: StepKey, slot: &Slot, now: u64) -> Option<CompactString> {
        let step = self.jobs[key.job].step(key)?;
        let ticket = step.policy.ticket(slot.worker, slot.born, now)?;
        Some(ticket.text.clone())
    }

    fn is_good(&self, key: StepKey, worker: WorkerKey) -> bool {
        let step = self.jobs[key.job].step(key);
        step.is_some_and(|step| step.policy.good.binary_search(&worker).is_ok())
    }

    /// Asks about workers with room for single tasks: known good ones first.
    fn ask(&mut self, pass: &Pass, wanted: &Wanted, offers: &[(usize, u32)], need: u32) {
        let Some(step) = self.jobs[wanted.key.job].step(wanted.key) else {
            return;
        };
        if step.policy.out > 0 || step.policy.after > pass.now {
            return;
        }
        let mut named: Vec<(usize, f64)> = Vec::new();
        let share = self.share(wanted.key);
        let mut expected = 0.0;
        let want = f64::from(need) * ASK_MARGIN;
        let mut sorted = offers.to_vec();
        sorted.sort_by_key(|(i, _)| pass.slots[*i].free.millicores);
        for good in [true, false] {
            for (i, count) in &sorted {
                let slot = &pass.slots[*i];
                let known = step.policy.good.binary_search(&slot.worker).is_ok();
                let refused = step.policy.bad.binary_search(&slot.worker).is_ok();
                let held = step
                    .policy
                    .ticket(slot.worker, slot.born, pass.now)
                    .is_some();
                if known != good || refused || held {
                    continue;
                }
                if named.len() >= ASK_MOST
                    || expected >= want && named.len() >= ASK_LEAST.min(need as usize + 1)
                {
                    break;
                }
                let chance = if good { 1.0 } else { share };
                expected += chance * f64::from(*count);
                named.push((*i, chance));
            }
        }
        let named: Vec<WorkerKey> = named.iter().map(|(i, _)| pass.slots[*i].worker).collect();
        self.question(wanted.key, &named, pass.now);
    }

    /// Asks about workers for a gang: good ones whose permits ran out first, then as many unknown
    /// ones as are likely to have the room that is missing.
    ///
    /// Answers the load pattern of wide gangs with a policy that is slow and finds few workers good:
    /// one question about enough workers, spread over several instances, in place of many small
    /// ones whose permits run out one after the other.
    fn ask_gang(&mut self, pass: &Pass, wanted: &Wanted, offers: &[(usize, u32)]) {
        let Some(step) = self.jobs[wanted.key.job].step(wanted.key) else {
            return;
        };
        let policy = &step.policy;
        if policy.out >= GANG_QUESTIONS || policy.after > pass.now {
            return;
        }
        let share = self.share(wanted.key);
        let need = f64::from(wanted.idle);
        let mut sorted = offers.to_vec();
        sorted.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let mut expected = 0.0;
        let mut named: Vec<WorkerKey> = Vec::new();
        for good in [true, false] {
            for (i, count) in &sorted {
                let slot = &pass.slots[*i];
                let known = policy.good.binary_search(&slot.worker).is_ok();
                if known != good || policy.bad.binary_search(&slot.worker).is_ok() {
                    continue;
                }
                let chance = if good { 1.0 } else { share };
                let held = policy.ticket(slot.worker, slot.born, pass.now).is_some();
                if held || policy.pending.contains(&slot.worker) {
                    expected += chance * f64::from(*count);
                } else if expected < need * GANG_MARGIN && named.len() < GANG_MOST {
                    expected += chance * f64::from(*count);
                    named.push(slot.worker);
                }
            }
        }
        let fresh = named.iter().any(|w| policy.good.binary_search(w).is_err());
        // With too little room, only what is learned of unknown workers is worth a question.
        if expected < need && (!fresh || policy.out > 0) {
            return;
        }
        let most = (GANG_QUESTIONS - policy.out) as usize;
        let chunk = named.len().div_ceil(most).max(GANG_CHUNK);
        for part in named.chunks(chunk) {
            self.question(wanted.key, part, pass.now);
        }
    }

    fn share(&self, key: StepKey) -> f64 {
        let queue = &self.jobs[key.job].queue.name;
        let at = self.learned.binary_search_by(|l| l.queue.cmp(queue));
        at.map_or(GOOD_SHARE, |at| self.learned[at].good).max(0.05)
    }

    fn question(&mut self, key: StepKey, named: &[WorkerKey], now: u64) {
        if named.is_empty() {
            return;
        }
        let workers: Vec<CompactString> = named
            .iter()
            .map(|w| self.books.workers[*w].entry.id.clone())
            .collect();
        let job = &mut self.jobs[key.job];
        let Some(advice) = job.queue.advice else {
            return;
        };
        let cost = advice.base + advice.each * workers.len() as f64;
        let Some(through) = self.advisers.take(cost, now) else {
            return;
        };
        let number = job
            .occurrences
            .get(key.occurrence as usize)
            .map_or(0, |o| o.number);
        let name = format_compact!("{}.{}.{}", job.id, number, key.step);
        if let Some(step) = job.step_mut(key) {
            step.policy.out += 1;
            step.policy.pending.extend_from_slice(named);
        }
        self.actions.push(Action::Ask(Question {
            step: key,
            name,
            cost,
            through,
            valid: advice.valid.as_millis() as u64,
            workers,
        }));
    }

    /// Takes the policy's answer in, or that none came.
    pub fn advised(&mut self, question: &Question, permits: Option<&[model::Permit]>, now: u64) {
        let key = question.step;
        self.stale = true;
        self.advisers
            .done(&question.through, permits.is_some(), now);
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let queue = job.queue.name.clone();
        let Some(step) = job.step_mut(key) else {
            return;
        };
        step.policy.out = step.policy.out.saturating_sub(1);
        let named: Vec<WorkerKey> = question
            .workers
            .iter()
            .filter_map(|id| self.books.find(id))
            .collect();
        step.policy.pending.retain(|w| !named.contains(w));
        let Some(permits) = permits else {
            step.policy.after = now + ASK_PAUSE;
            return;
        };
        let mut good = 0_usize;
        for id in &question.workers {
            let Some(worker) = self.books.find(id) else {
                continue;
            };
            let born = self.books.workers[worker].born;
            let permit = permits.iter().find(|p| p.worker == *id);
            let policy = &mut step.policy;
            policy.tickets.retain(|t| t.worker != worker);
            let list = match permit {
                Some(permit) => {
                    good += 1;
                    policy.tickets.push(Ticket {
                        worker,
                        born,
                        text: permit.ticket.clone(),
                        until: now + question.valid.saturating_sub(PERMIT_MARGIN),
                    });
                    &mut policy.good
                }
                None => &mut policy.bad,
            };
            if let Err(at) = list.binary_search(&worker) {
                list.insert(at, worker);
            }
        }
        let share = good as f64 / question.workers.len().max(1) as f64;
        info!(step = question.name.as_str(), asked = question.workers.len(), good; "policy answered");
        let learned = self.learned(&queue);
        learned.good += GOOD_WEIGHT * (share - learned.good);
    }
}
