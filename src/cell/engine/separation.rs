//! Connects the engine with what is known about tasks that slow each other down.

use super::{
    Engine,
    placement::{
        self,
        Pass, //
    },
    policy, //
};
use crate::{
    cell::{
        cluster::{
            Run,
            RunState, //
        },
        job::{
            Job,
            RunKey,
            StepKey, //
        },
        model::{
            self,
            Outcome, //
        },
        neighbours::{
            self,
            preference::View, //
        }, //
    },
    resources::Resources, //
};

/// Number of different sets of eligible workers among the waiting steps up to which a pass looks for
/// spare capacity.
const MAX_SETS: usize = 32;

/// Waiting step that takes or needs capacity.
struct Demand {
    key: StepKey,
    each: Resources,
    count: u32,
}

impl Engine {
    /// Detects tasks that slow each other down, and keeps them apart where there is capacity.
    pub fn watch_neighbours(&mut self) {
        self.neighbours.activate();
    }

    /// Notes a run that now takes resources of its worker.
    pub(super) fn note_begin(&mut self, key: RunKey, now: u64) {
        let run = &self.cluster.runs[key];
        let Some(task) = run.task.filter(|_| self.neighbours.is_active()) else {
            return;
        };
        let Some(job) = self.jobs.get(task.step.job) else {
            return;
        };
        let Some(step) = job.definition(task.step) else {
            return;
        };
        let state = job.step(task.step);
        let state = state.and_then(|s| s.tasks.get(task.index as usize));
        let resumed = state.is_some_and(|t| !t.checkpoint.is_empty());
        let rack = self.cluster.workers.get(run.worker);
        let rack = rack.map_or("", |w| w.registration.rack());
        let away = !step.data_rack.is_empty() && step.data_rack != rack;
        // Runs of earlier owners began at an unknown time. Opportunistic tasks run slower beside any
        // other task, and gangs as slowly as their slowest member.
        let measured = run.state == RunState::Sent
            && !(step.gang || step.long_running || step.opportunistic || resumed || away);
        let task = neighbours::Task {
            queue: &job.queue,
            step,
            number: task.step.step,
            accepted: job.accepted_at,
            measured,
        };
        self.neighbours.begin(key, run.worker, &task, now);
    }

    /// Notes the end of a run that was just removed.
    pub(super) fn note_end(&mut self, key: RunKey, run: &Run, outcome: Outcome, now: u64) {
        let success = match outcome {
            Outcome::Done => self.measure(run, now),
            _ => None,
        };
        self.neighbours.end(key, success, now);
    }

    /// Duration of a run that has succeeded, if it is known well enough: a worker that was silent
    /// reports ends late, and a start that was repeated may have been carried out at any time.
    fn measure(&self, run: &Run, now: u64) -> Option<neighbours::Success> {
        let RunState::Confirmed(since) = run.state else {
            return None;
        };
        let task = run.task?;
        let step = self.jobs.get(task.step.job)?.definition(task.step)?;
        let worker = self.cluster.workers.get(run.worker)?;
        if run.repeated || run.stopping || worker.fell_silent >= run.ordered_at {
            return None;
        }
        Some(neighbours::Success {
            worker: run.worker,
            job: task.step.job,
            took: now.saturating_sub(since),
            estimate: step.estimate,
        })
    }

    /// Workers as the tasks of a step see them; `None` if nothing speaks for one of them or capacity is
    /// short.
    pub(super) fn view(&self, pass: &Pass, key: StepKey) -> Option<View<'_>> {
        let job = self.jobs.get(key.job).filter(|_| pass.is_ample)?;
        let step = job.definition(key)?;
        self.neighbours.view(&job.queue.name, step, key.step)
    }

    /// Whether the capacity suffices for all that waits, however it is placed, so that a preference
    /// cannot keep a task from being placed in this pass.
    ///
    /// Counts the tasks of the largest demand that fit on the workers: any placement of a task that
    /// is not larger takes at most one of these places. It must not depend on the order of the steps.
    pub(super) fn is_capacity_ample(&self, pass: &Pass, waiting: &[StepKey]) -> bool {
        if !self.neighbours.has_pairs() {
            return false;
        }
        // What is done about crashes takes precedence.
        let suspected = |key: &StepKey| self.jobs.get(key.job).is_some_and(|job| job.suspected);
        if !self.caution.careful().is_empty() || waiting.iter().any(suspected) {
            return false;
        }
        let mut largest = Resources::default();
        let mut places = 0_u64;
        let mut demands = Vec::new();
        for key in waiting {
            let Some(demand) = self.waiting_demand(pass, *key) else {
                continue;
            };
            largest = largest.max(&demand.each);
            places += u64::from(demand.count) + self.places_of_policy(&demand);
            demands.push(demand);
        }
        let mut enough: Vec<(&str, &str)> = Vec::new();
        for demand in &demands {
            let Some((job, step)) = self.described(demand.key) else {
                continue;
            };
            let set = (job.queue.service.as_str(), step.label.as_str());
            let asks = job.queue.policy_cost.is_some();
            let special = step.max_per_worker > 0 || asks;
            if !special && enough.contains(&set) {
                continue;
            }
            // A step without a permit starts nothing in this pass, but needs workers to ask about.
            let asking = asks && self.count_places(pass, demand.key, &demand.each, 1, false) == 0;
            if enough.len() >= MAX_SETS
                || self.count_places(pass, demand.key, &largest, places, asking) < places
            {
                return false;
            }
            if !special {
                enough.push(set);
            }
        }
        true
    }

    fn described(&self, key: StepKey) -> Option<(&Job, &model::Step)> {
        let job = self.jobs.get(key.job)?;
        Some((job, job.definition(key)?))
    }

    /// Demand of a waiting step, unless no worker of the pass could run it. A step for which there is no
    /// room at present counts: tasks that are placed apart may use up what it waits for, and capacity
    /// may be reserved for it.
    fn waiting_demand(&self, pass: &Pass, key: StepKey) -> Option<Demand> {
        let (job, step) = self.described(key)?;
        let each = super::demand(step);
        let count = job.step(key).map_or(0, |step| step.waiting() as u32);
        let mut slots = pass.slots.iter();
        let counts = slots.any(|slot| self.may_run(key, slot.worker));
        counts.then_some(Demand { key, each, count })
    }

    /// Places that the queries of a step to the placement policy may reserve.
    fn places_of_policy(&self, demand: &Demand) -> u64 {
        let Some((job, step)) = self.described(demand.key) else {
            return 0;
        };
        if job.queue.policy_cost.is_none() {
            return 0;
        }
        let held = job.step(demand.key).map_or(0.0, |step| {
            let held = step.policy.reservations.iter();
            held.map(|r| r.expected.ceil()).sum()
        });
        let named = match step.gang {
            true => policy::MAX_GANG_WORKERS,
            false => policy::MAX_QUERY_WORKERS,
        };
        held as u64 + named as u64 + 2 * u64::from(demand.count)
    }

    /// Number of tasks of demand `each` that fit on the workers that may run a step, up to `most`; at
    /// most one on each worker if the step limits its tasks on one. Under a placement policy, these are
    /// the workers with a permit or, if `asking`, those that the policy has not denied.
    fn count_places(
        &self,
        pass: &Pass,
        key: StepKey,
        each: &Resources,
        most: u64,
        asking: bool,
    ) -> u64 {
        let Some((job, step)) = self.described(key) else {
            return 0;
        };
        let policy = job.step(key).map(|step| &step.policy);
        let policy = policy.filter(|_| job.queue.policy_cost.is_some());
        let is_admitted = |slot: &placement::Slot| {
            policy.is_none_or(|policy| match asking {
                true => policy.denied.binary_search(&slot.worker).is_err(),
                false => policy
                    .permit(slot.worker, slot.incarnation, pass.now)
                    .is_some(),
            })
        };
        let limit = step.max_per_worker;
        let mut places = 0;
        for slot in &pass.slots {
            if !slot.is_open()
                || !self.is_eligible(slot.worker, job, step)
                || !is_admitted(slot)
                || limit > 0 && self.runs_on(key, slot.worker) >= limit
            {
                continue;
            }
            let fitting = placement::fit_count(&slot.available(), each, u32::MAX);
            places += u64::from(if limit > 0 { fitting.min(1) } else { fitting });
            if places >= most {
                break;
            }
        }
        places
    }
}
