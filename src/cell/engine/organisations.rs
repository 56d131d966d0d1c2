//! Shares of organisations in the engine: caps and the order of a placement pass.

use log::info;

use super::{
    Engine,
    admission,
    placement::{
        self,
        Pass,
        Ranked, //
    }, //
};
use crate::{
    cell::{
        job::{
            self,
            StepKey, //
        },
        model,
        shares::{
            self,
            amounts::Amounts, //
        }, //
    },
    resources::Resources, //
};

/// Waiting time from which capacity is kept for a step that is owed service and fits on no worker, in
/// milliseconds: most such steps fit as soon as some other task ends.
const RESERVE_AFTER_MS: u64 = 300;

impl Engine {
    /// Applies the organisations of a new configuration.
    pub fn set_organisations(&mut self, organisations: &[model::Organisation]) {
        self.shares.configure(organisations);
        self.pass_needed = true;
    }

    /// Sets the age from which a configuration is too old to start tasks of organisations with a cap,
    /// in milliseconds.
    pub fn limit_configuration_age(&mut self, age: u64) {
        self.shares.set_max_age(age);
    }

    /// Sets the part by which the runs of an organisation may exceed its cap.
    pub fn tolerate_overage(&mut self, overage: f64) {
        self.shares.set_overage(overage);
    }

    /// Sets the local time at which the configuration was known to be the newest, in milliseconds.
    pub fn set_catalog_proven_at(&mut self, at: u64) {
        self.shares.set_proven_at(at);
    }

    /// Number of waiting tasks of a step that its organisation's cap lets start now. A gang starts whole
    /// or not at all.
    pub(super) fn startable(&self, key: StepKey, now: u64) -> u32 {
        let Some(job) = self.jobs.get(key.job) else {
            return u32::MAX;
        };
        let organisation = job.organisation_key;
        let Some((definition, step)) = job.definition(key).zip(job.step(key)) else {
            return u32::MAX;
        };
        if organisation == shares::Key::NONE {
            return u32::MAX;
        }
        if !self.shares.is_current(organisation, now) {
            return 0;
        }
        let demand = Amounts::of(&definition.demand);
        let room = self.shares.room(organisation, &self.cluster.usage, demand);
        match definition.gang && room < step.waiting() as u32 {
            true => 0,
            false => room,
        }
    }

    /// Whether the start command of a run of an organisation may be sent: its cap, as known by now,
    /// covers what was placed.
    pub(super) fn may_send(&self, organisation: shares::Key, now: u64) -> bool {
        organisation == shares::Key::NONE
            || self.shares.is_current(organisation, now)
                && self.shares.is_within_cap(organisation, &self.cluster.usage)
    }

    /// Number of tasks of a step that its organisation is owed in this pass; 0 if the step ranks with
    /// the rest.
    fn owed_tasks(&self, (rank, key): &Ranked) -> u32 {
        let Some(job) = self.jobs.get(key.job) else {
            return 0;
        };
        let Some(definition) = job.definition(*key) else {
            return 0;
        };
        if job.excess || !placement::is_on_time(rank) {
            return 0;
        }
        let demand = Amounts::of(&definition.demand);
        let usage = &self.cluster.usage;
        let owed = self.shares.owed_tasks(job.organisation_key, usage, demand);
        // The queries and reservations of a step are made for all of its tasks at once.
        let whole = definition.gang || job.queue.policy_cost.is_some();
        match whole && owed > 0 {
            true => u32::MAX,
            false => owed,
        }
    }

    /// Places the ranked steps: first those of organisations below their entitlement, then the rest.
    /// Without organisations in the configuration, all are placed in their order. Returns the steps
    /// of which tasks wait.
    pub(super) fn place_in_rounds(&mut self, pass: &mut Pass, ranked: Vec<Ranked>) -> Vec<Ranked> {
        let mut left = Vec::new();
        let mut rest = Vec::new();
        for ranked in ranked {
            if !self.shares.is_active() {
                rest.push(ranked);
                continue;
            }
            // What was placed in this pass counts.
            let owed = self.owed_tasks(&ranked);
            if owed > 0 && self.place_ranked(pass, &ranked, owed) {
                continue;
            }
            match (owed, self.owed_tasks(&ranked)) {
                // All of its tasks were tried.
                (u32::MAX, _) => left.push(ranked),
                (0, _) | (_, 0) => rest.push(ranked),
                _ => left.push(ranked),
            }
        }
        self.reserve_owed(pass, &left);
        for ranked in rest {
            if !self.place_ranked(pass, &ranked, u32::MAX) {
                left.push(ranked);
            }
        }
        left
    }

    /// Keeps capacity for organisations that are owed service, and of which the first step fits on no
    /// worker, against steps of those that have their share.
    ///
    /// Handles an organisation whose small tasks fill all workers: they would take each piece of
    /// capacity that becomes free, and the larger tasks of the others would never fit.
    fn reserve_owed(&self, pass: &mut Pass, left: &[Ranked]) {
        // First blocked step of each organisation, and the number of its blocked steps.
        let mut blocked: Vec<(shares::Key, &Ranked, u32)> = Vec::new();
        for ranked in left
            .iter()
            .filter(|ranked| self.is_unplaceable(ranked, pass.now))
        {
            let organisation = self.jobs[ranked.1.job].organisation_key;
            match blocked.iter_mut().find(|(key, ..)| *key == organisation) {
                Some((_, _, steps)) => *steps += 1,
                None => blocked.push((organisation, ranked, 1)),
            }
        }
        let most = pass.reservable().div_ceil(blocked.len().max(1));
        for (_, ranked, steps) in blocked {
            let job = &self.jobs[ranked.1.job];
            let Some((definition, step)) = job.definition(ranked.1).zip(job.step(ranked.1)) else {
                continue;
            };
            let tasks = steps.max(step.waiting() as u32);
            let tasks = tasks.min(self.owed_tasks(ranked));
            let demand = super::demand(definition);
            let mut parts: Vec<(u64, usize)> = Vec::new();
            for (at, slot) in pass.slots.iter().enumerate() {
                let worker = &self.cluster.workers[slot.worker];
                let fits = demand.fits(&worker.registration.capacity)
                    && self.is_eligible(slot.worker, job, definition);
                let limit = definition.max_per_worker;
                let full = || limit > 0 && self.runs_on(ranked.1, slot.worker) >= limit;
                if slot.is_open() && fits && !full() {
                    parts.push((fitting_part(&slot.available(), &demand), at));
                }
            }
            // Full workers are no nearer to having room than any other.
            parts.retain(|(part, _)| *part > 0);
            parts.sort_unstable_by(|one, other| other.cmp(one));
            let count = most.min(tasks as usize).min(pass.reservable());
            for (_, at) in parts.into_iter().take(count) {
                pass.reserve(at, &demand);
            }
        }
    }

    /// Whether a step that is owed service, and was not placed, waits for nothing but capacity, and has
    /// done so for some time.
    fn is_unplaceable(&self, (_, key): &Ranked, now: u64) -> bool {
        let Some(job) = self.jobs.get(key.job) else {
            return false;
        };
        let Some((definition, step)) = job.definition(*key).zip(job.step(*key)) else {
            return false;
        };
        let occurrence = job.occurrences.get(key.occurrence as usize);
        let due = job.due_at(occurrence.map_or(0, |occurrence| occurrence.number));
        let since = due.max(job.accepted_at);
        let plain = !definition.gang && job.queue.policy_cost.is_none() && !job.suspected;
        let held = job.unread
            || !job::may_start(job, &self.cluster)
            || step.tasks.iter().any(|t| t.proof_from > self.proven_at);
        plain
            && !held
            && self.unix(now) >= since + RESERVE_AFTER_MS
            && self.startable(*key, now) > 0
    }

    /// Counts what waits before a placement pass, and what the runs take that are not known.
    pub(super) fn begin_shares(&mut self, ranked: &[Ranked], now: u64) {
        self.count_unknown(now);
        if !self.shares.is_active() {
            return;
        }
        let jobs = ranked.iter().filter_map(|(_, key)| self.jobs.get(key.job));
        let waiting = jobs.map(|job| job.organisation_key).collect();
        let durable = self.durable_batch;
        let workers = self.cluster.workers.values();
        let schedulable = workers.filter(|w| w.is_schedulable(durable, now));
        let capacities = schedulable.map(|w| Amounts::of(&w.registration.capacity));
        let total = capacities.fold(Amounts::default(), Amounts::plus);
        self.shares.begin_pass(total, waiting, &self.cluster.usage);
    }

    /// Notes that nothing waits to be placed.
    pub(super) fn note_idle(&mut self, now: u64) {
        if !self.shares.is_used() {
            return;
        }
        self.begin_shares(&[], now);
        let workers = self.cluster.workers.iter();
        let schedulable = workers.filter(|(_, w)| w.is_schedulable(self.durable_batch, now));
        let room = schedulable.map(|(key, worker)| (key, worker.free()));
        self.end_shares(&[], room.collect(), now);
    }

    /// Counts what waits after a placement pass, and keeps what it left free on the workers.
    pub(super) fn end_shares(
        &mut self,
        left: &[Ranked],
        room: Vec<(job::WorkerKey, Resources)>,
        now: u64,
    ) {
        self.shares.clear_withheld();
        if !self.shares.is_used() {
            return;
        }
        let active = self.shares.is_active();
        self.shares.clear_waiting();
        for (rank, key) in left {
            let room = self.startable(*key, now);
            let Some(job) = self.jobs.get(key.job) else {
                continue;
            };
            let Some((definition, step)) = job.definition(*key).zip(job.step(*key)) else {
                continue;
            };
            let waiting = step.waiting() as u32;
            if room < waiting && self.shares.is_current(job.organisation_key, now) {
                self.shares
                    .add_withheld(job.organisation_key, waiting - room);
            }
            match placement::is_timely(rank) {
                true => self
                    .shares
                    .add_waiting(&admission::item(job, definition, waiting)),
                false => self.shares.add_worthless(job.organisation_key),
            }
        }
        if !active {
            return;
        }
        let unstored: Vec<job::JobKey> = self.new_jobs.iter().map(|(_, key)| *key).collect();
        for key in unstored {
            self.count_new_job(key);
        }
        self.pass_room = room;
    }

    /// Logs which organisations have reached or left their cap, and whether the configuration has
    /// become too old to start tasks under a cap.
    pub(super) fn note_caps(&mut self, now: u64) {
        if !self.shares.is_used() {
            return;
        }
        if let Some(outdated) = self.shares.note_age(now) {
            info!(outdated; "age of the configuration: organisations with a cap start tasks only while it is recent");
        }
        for change in self.shares.take_cap_changes(now) {
            let name = self.shares.name(change.organisation);
            let running = self.cluster.usage.of(change.organisation).0;
            let cap = self.shares.cap(change.organisation).0;
            match change.reached {
                true => {
                    info!(organisation = name, running:? = running, cap:? = cap, withheld = change.withheld; "organisation has reached its cap");
                }
                false => {
                    info!(organisation = name, running:? = running, cap:? = cap; "organisation has left its cap");
                }
            }
        }
    }

    /// Figures of all organisations, if the configuration has some; their counts begin anew.
    pub fn take_organisation_stats(&mut self) -> Vec<shares::Stats> {
        match self.shares.is_used() {
            true => self.shares.take_stats(&self.cluster.usage),
            false => Vec::new(),
        }
    }
}

/// Part of `demand` for which there is room, in thousandths of the scarcest resource.
fn fitting_part(available: &Resources, demand: &Resources) -> u64 {
    let pairs = available.parts().into_iter().zip(demand.parts());
    let parts = pairs.filter(|(_, need)| *need > 0);
    let parts = parts.map(|(have, need)| u64::from(have) * 1_000 / u64::from(need));
    parts.min().unwrap_or(1_000).min(1_000)
}
