//! Workers of the simulation that start again under their ids and are cut off soon after, while commands
//! to them are carried out late.

use rand::Rng;

use super::{
    network::Call,
    world::World, //
};

/// Change of a worker at a time in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Recut {
    time: u64,
    /// Index of the worker.
    at: usize,
    step: Step,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// The worker crashes and is back at this time, in milliseconds.
    Crash(u64),
    /// The worker is cut off from all owners until this time, in milliseconds.
    Cut(u64),
}

impl World {
    /// Draws workers that start again and are cut off, and carries out what is due.
    pub(super) fn recut_faults(&mut self) {
        if self.now.is_multiple_of(1_000) && self.roll(self.rates.recuts) {
            self.plan_recuts();
        }
        let now = self.now;
        let due = self.recuts.extract_if(.., |recut| recut.time <= now);
        for recut in due.collect::<Vec<_>>() {
            self.carry_out(recut);
        }
    }

    fn plan_recuts(&mut self) {
        let workers = self.machines.len();
        let first = self.dice.random_range(0..workers);
        let count = match self.dice.random_range(0..3) {
            0 => 1,
            _ => self.dice.random_range(2..=workers / 2),
        };
        // Late commands that were sent up to two seconds before a crash reach the next incarnation.
        let crash = self.now + self.dice.random_range(1_000..3_000);
        let back = crash + self.dice.random_range(300..900);
        let cut = back + self.dice.random_range(500..2_500);
        let end = cut + self.dice.random_range(4_000..9_000);
        let again = cut + self.dice.random_range(300..2_500);
        let back_again = again + self.dice.random_range(300..900);
        for at in (first..first + count).map(|n| n % workers) {
            let twice = self.roll(self.rates.recut_again);
            if self.recuts.iter().any(|recut| recut.at == at) || self.cuts[at] > self.now {
                continue;
            }
            let mut plan = |time, step| self.recuts.push(Recut { time, at, step });
            plan(crash, Step::Crash(back));
            plan(cut, Step::Cut(end));
            if twice {
                plan(again, Step::Crash(back_again));
            }
            self.lates[at] = cut;
            self.judge
                .trace(|| format!("{} commands to worker {at} are late until {cut}", self.now));
        }
    }

    fn carry_out(&mut self, recut: Recut) {
        let Recut { at, step, .. } = recut;
        match step {
            Step::Crash(back) if self.machines[at].up => {
                self.machines[at].crash(at, &mut self.judge, self.now);
                self.judge
                    .trace(|| format!("{} worker {at} down until {back}", self.now));
                self.downs[at] = back;
            }
            Step::Crash(_) => {}
            Step::Cut(until) => {
                self.judge
                    .trace(|| format!("{} worker {at} cut off until {until}", self.now));
                self.cuts[at] = until;
            }
        }
    }

    /// Draws whether a worker carries out a command seconds later and leaves it unanswered.
    pub(super) fn is_applied_late(&mut self, at: usize) -> bool {
        let reached = self.machines[at].up && self.cuts[at] <= self.now;
        reached && self.lates[at] > self.now && self.roll(self.rates.applied_late)
    }

    /// Lets a worker carry out a command seconds later and leave it unanswered.
    pub(super) fn apply_late(&mut self, owner: usize, at: usize, call: Call) {
        let delay = self.dice.random_range(2_000..12_000);
        self.judge.trace(|| {
            let (now, life) = (self.now, self.machines[at].incarnation);
            let until = now + delay;
            format!("{now} late until {until} for worker {at} life {life}: {call:?}")
        });
        self.delay(owner, at, call.clone(), delay);
        self.unanswered(owner, call);
    }
}
