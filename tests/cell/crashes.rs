//! Crashes of the simulation: tasks that crash the workers that start them, and workers and racks that
//! crash for causes of their own.

use bamboolock::cell::{
    engine::Engine,
    model::{
        Queue,
        State, //
    }, //
};
use rand::Rng;

use super::{
    listing,
    make,
    network::Call,
    workers::Deadly,
    world::World, //
};

/// Time for which the registration of a former worker stays listed beside that of its successor, in
/// milliseconds.
const LAPSE: u64 = 1_000;

/// Worker that another one has replaced at its address.
#[derive(Debug, Clone)]
pub(super) struct Former {
    id: String,
    /// Machine that it was on.
    at: usize,
    incarnation: u64,
    port: u16,
    /// Time until which it stays registered, in milliseconds.
    listed: u64,
}

impl World {
    /// Draws whether a task of a job crashes its workers. Such jobs come from one queue.
    pub(super) fn make_deadly(&mut self, id: &str, queue: &mut Queue) {
        if self.rates.deadly == 0 || !self.roll(500) {
            return;
        }
        queue.name = "risky".into();
        if !self.roll(self.rates.deadly) {
            return;
        }
        let steps = &self.judge.jobs[id].steps;
        let step = self.dice.random_range(0..steps.len());
        let (count, _, gang, _) = steps[step];
        let one = gang || self.dice.random_range(0..2) == 0;
        let index = one.then(|| self.dice.random_range(0..count));
        let delay = match self.dice.random_range(0..5) {
            0 => self.dice.random_range(300..900),
            _ => 10,
        };
        let deadly = Deadly {
            step: step as u32,
            index,
            delay,
        };
        self.judge
            .trace(|| format!("{} job {id} of {count} is {deadly:?}", self.now));
        self.judge.deadly.insert(id.to_owned(), deadly);
    }

    /// Crashes workers and racks, and kills owners, for causes of their own.
    pub(super) fn crash_faults(&mut self) {
        if self.roll(self.rates.crashes) {
            let at = self.dice.random_range(0..self.machines.len());
            self.crash_plainly(at);
        }
        if self.roll(self.rates.racks) {
            let rack = self.dice.random_range(0..4);
            (0..self.machines.len())
                .filter(|at| at % 4 == rack)
                .for_each(|at| self.crash_plainly(at));
        }
        if self.roll(self.rates.kills)
            && let Some(owner) = self.current()
        {
            self.kill(owner);
        }
    }

    fn crash_plainly(&mut self, at: usize) {
        if self.machines[at].up {
            self.machines[at].crash(at, &mut self.judge, self.now);
            self.downs[at] = self.now + self.dice.random_range(3_000..4_000);
        }
    }

    /// Lets crashed workers come back after a while.
    pub(super) fn crashes(&mut self) {
        for at in std::mem::take(&mut self.judge.crashed) {
            self.downs[at] = self.now + self.dice.random_range(3_000..4_000);
        }
    }

    /// Lets a worker that starts again come back as another one at its address.
    pub(super) fn replace(&mut self, at: usize) {
        let replaced = self.rates.replaced;
        if replaced == 0 || self.dice.random_range(0..1_000) >= replaced {
            return;
        }
        let machine = &mut self.machines[at];
        let id = format!("w{at}-{}", self.now);
        let listing = &mut self.listings[at];
        self.former.push(Former {
            id: std::mem::replace(&mut machine.id, id),
            at,
            incarnation: listing.incarnation(),
            port: listing.port,
            listed: self.now + LAPSE,
        });
        listing.begin();
    }

    /// Lets an owner read the registrations of former workers.
    pub(super) fn read_former(&self, engine: &mut Engine) {
        for former in &self.former {
            if former.listed <= self.now {
                engine.unregister(&former.id);
                continue;
            }
            let mut entry = make::worker(&former.id, former.incarnation, 8_000);
            entry.address = listing::address(former.port);
            entry.labels = vec!["kind".into(), listing::rack(self.rates.workers, former.at)];
            engine.register(entry);
        }
    }

    /// Sends a command to a worker that another one has replaced.
    pub(super) fn send_to_former(&mut self, owner: usize, id: &str, call: Call) {
        let at = self.former.iter().find(|f| f.id == id).unwrap().at;
        let path = self.paths[self.owners[owner].instance][at];
        let cut = self.cuts[at].max(path) > self.now || !self.machines[at].up;
        if cut || self.chance(self.rates.loss) {
            return self.unanswered(owner, call);
        }
        self.refused_by_another(owner, call);
    }

    /// Jobs that could be done and are shown as failed, and jobs with a deadly task that are not.
    pub(super) fn misjudged(&self) -> Vec<String> {
        let Some(owner) = self.current() else {
            return vec!["no owner".to_owned()];
        };
        let engine = &self.owners[owner].engine;
        let judge = &self.judge;
        let wrong = self.submitted.iter().filter_map(|id| {
            let deadly = judge.deadly.contains_key(id) && judge.jobs[id].cancelled.is_none();
            match engine.visible_state(id)? {
                State::Failed if !judge.may_fail(id) => Some(format!("{id} could be done, failed")),
                State::Failed | State::Cancelled => None,
                state if deadly => Some(format!("{id} is deadly, {state:?}")),
                _ => None,
            }
        });
        wrong.collect()
    }
}
