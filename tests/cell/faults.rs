//! Faults of the simulation: what breaks, how often and for how long.

use bamboolock::cell::{
    engine::Action,
    model::Verdict, //
};
use rand::Rng;

use super::{
    network::{
        ANSWER_TIMEOUT,
        Event, //
    },
    world::{
        INSTANCES,
        TAKE_OVER,
        World,
        instance_name, //
    }, //
};

/// Fault rates of a simulation, in thousandths.
#[derive(Debug, Clone, Copy)]
pub(super) struct FaultRates {
    /// Lost commands and replies.
    pub(super) loss: u32,
    /// Commands that are carried out seconds later.
    pub(super) delayed: u32,
    /// Kills of the owner, partitions of the owner from the store, restarts and partitions of
    /// workers, each per second.
    pub(super) faults: u32,
    /// Commands that are carried out 0.5 to 2.4 s late, after a retry may have been answered.
    pub(super) late: u32,
    /// Spells of a worker that refuses starts, per second.
    pub(super) unwell: u32,
    /// Cuts between one instance and one worker: per second, and for each worker when a term begins.
    pub(super) paths: u32,
    /// Runs that take up to 20 s.
    pub(super) long: u32,
    /// Pauses of the owner's process, per second.
    pub(super) pauses: u32,
    /// Suspensions of the machine, in which the owner's timers stand still, of all pauses.
    pub(super) suspended: u32,
    /// Pauses after which the owner gets a late answer of the store and is then cut off from it, of
    /// all pauses.
    pub(super) late_answers: u32,
    /// Owners that are killed or paused within two seconds of the beginning of their term.
    pub(super) series: u32,
    /// Owners that another instance replaces although they work, per second.
    pub(super) handovers: u32,
    /// Workers that drain, and workers that lose their registration, each per second.
    pub(super) drains: u32,
    /// Workers that start again at another address, of all that start again.
    pub(super) moves: u32,
    /// Lists of registrations that are behind, of all that are read.
    pub(super) lags: u32,
    /// Number of ended runs that a worker lists at once; 0 for all.
    pub(super) page: usize,
    /// Whether the instances act as in the shell: they send heartbeats to the owner, and the owner
    /// proves by appends that it still owns the cell.
    pub(super) instances: bool,
    /// Jobs of one queue, half of all jobs, of which a task crashes each worker that starts it.
    pub(super) deadly: u32,
    /// Crashes of a worker, and of all workers of a rack, each per second.
    pub(super) crashes: u32,
    pub(super) racks: u32,
    /// Crashed workers that come back as another worker at their address, of all that crash.
    pub(super) replaced: u32,
    /// Kills of the owner, per second.
    pub(super) kills: u32,
    /// Number of workers in four racks, each at an address of its own; 0 for six in one rack.
    pub(super) workers: usize,
    /// Workers whose capacity shrinks and grows again, per second.
    pub(super) capacities: u32,
    /// Whether workers refuse what exceeds their capacity.
    pub(super) guarded: bool,
    /// Polls and stops that the next incarnation under the same id carries out, of all late ones.
    pub(super) astray: u32,
    /// The same for starts.
    pub(super) astray_starts: u32,
    /// Workers, often several at once, that crash, are back under their ids within a second and are cut
    /// off from all owners soon after, per second.
    pub(super) recuts: u32,
    /// Such workers that crash again behind the cut, of all.
    pub(super) recut_again: u32,
    /// Commands that such workers leave unanswered and carry out 2 to 12 s later, of all that reach them
    /// around the crash.
    pub(super) applied_late: u32,
}

impl FaultRates {
    pub(super) const NONE: Self = Self {
        loss: 0,
        delayed: 0,
        faults: 0,
        late: 0,
        unwell: 0,
        paths: 0,
        long: 0,
        pauses: 0,
        suspended: 0,
        late_answers: 0,
        series: 0,
        handovers: 0,
        drains: 0,
        moves: 0,
        lags: 0,
        page: 0,
        instances: false,
        deadly: 0,
        crashes: 0,
        racks: 0,
        replaced: 0,
        kills: 0,
        workers: 0,
        capacities: 0,
        guarded: false,
        astray: 0,
        astray_starts: 0,
        recuts: 0,
        recut_again: 0,
        applied_late: 0,
    };
}

/// Time for which an owner's process does nothing.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pause {
    pub(super) since: u64,
    pub(super) until: u64,
    /// Whether the owner's timers stand still meanwhile.
    pub(super) suspended: bool,
    /// Whether an answer of the store waits for the owner at the end.
    pub(super) late_answer: bool,
    /// Whether this is the answer to an append that was carried out before the pause.
    pub(super) proof: bool,
}

impl World {
    pub(super) fn faults(&mut self) {
        if !self.now.is_multiple_of(1_000) {
            return;
        }
        let faults = self.rates.faults;
        if self.chance(faults) {
            if let Some(owner) = self.current() {
                self.kill(owner);
            }
        } else if self.chance(faults)
            && let Some(owner) = self.current()
        {
            let span = match self.rates.instances {
                true => self.dice.random_range(1_000..15_000),
                false => 20_000,
            };
            self.owners[owner].cut = self.now + span;
            self.judge.trace(|| format!("{} owner cut off", self.now));
            self.successor = Some(self.now + self.take_over());
        }
        if self.chance(faults) {
            let at = self.rng.random_range(0..self.machines.len());
            if self.machines[at].up {
                self.machines[at].crash(at, &mut self.judge, self.now);
                self.judge
                    .trace(|| format!("{} worker {at} down", self.now));
                self.downs[at] = self.now + self.rng.random_range(1_200..5_000);
            }
        }
        if self.chance(faults) {
            let at = self.rng.random_range(0..self.machines.len());
            self.cuts[at] = self.now + self.rng.random_range(500..9_000);
            self.judge
                .trace(|| format!("{} worker {at} cut off until {}", self.now, self.cuts[at]));
        }
        self.further_faults();
        self.list_faults();
        self.crash_faults();
    }

    fn further_faults(&mut self) {
        if self.roll(self.rates.pauses)
            && let Some(owner) = self.current()
        {
            self.owners[owner].armed = Some(self.now + self.dice.random_range(0..900));
        }
        if self.roll(self.rates.handovers) && self.successor.is_none() && self.current().is_some() {
            self.judge.trace(|| format!("{} handover", self.now));
            // The store refuses the former owner a little before the new one has read everything.
            self.fence();
            self.successor = Some(self.now + self.dice.random_range(10..60));
        }
        if self.roll(self.rates.paths) {
            let instance = self.dice.random_range(0..INSTANCES);
            let at = self.dice.random_range(0..self.machines.len());
            self.cut_path(instance, at);
        }
        if self.roll(self.rates.unwell) {
            let at = self.dice.random_range(0..self.machines.len());
            let verdicts = [Verdict::Unwell, Verdict::Permit, Verdict::Full];
            let verdict = verdicts[self.dice.random_range(0..verdicts.len())];
            let until = self.now + self.dice.random_range(300..3_000);
            self.judge.trace(|| {
                format!(
                    "{} worker {at} refuses until {until}: {verdict:?}",
                    self.now
                )
            });
            self.spells[at] = (until, verdict);
        }
    }

    /// Time until a successor takes over, in milliseconds.
    fn take_over(&mut self) -> u64 {
        match self.rates.instances {
            true => self.dice.random_range(200..1_500),
            false => TAKE_OVER,
        }
    }

    /// Rolls the dice of the faults that were added later, so that the seeds of the others stay.
    pub(super) fn roll(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && !self.calm && self.dice.random_range(0..1_000) < thousandths
    }

    /// Kills the process of an owner; another instance takes over.
    pub(super) fn kill(&mut self, owner: usize) {
        let up = self.now + self.dice.random_range(1_000..3_000);
        let state = &mut self.owners[owner];
        self.judge.trace(|| {
            format!(
                "{} owner {} killed on instance {}",
                self.now, state.engine.term, state.instance
            )
        });
        state.alive = false;
        self.downs_of_instances[state.instance] = up;
        if owner + 1 == self.owners.len() {
            self.successor = Some(self.now + self.take_over());
        }
    }

    fn cut_path(&mut self, instance: usize, at: usize) {
        let until = self.now + self.dice.random_range(2_000..15_000);
        self.judge.trace(|| {
            format!(
                "{} instance {instance} is cut off from worker {at} until {until}",
                self.now
            )
        });
        self.paths[instance][at] = until;
    }

    /// Draws the faults that come with a change of owner.
    pub(super) fn faults_of_term(&mut self, owner: usize) {
        let instance = self.owners[owner].instance;
        for at in 0..self.machines.len() {
            if self.roll(self.rates.paths) {
                self.cut_path(instance, at);
            }
        }
        if self.roll(self.rates.series) {
            // Some are gone before their first batch is stored.
            let delay = match self.dice.random_range(0..4) {
                0 => self.dice.random_range(5..100),
                _ => self.dice.random_range(300..2_000),
            };
            self.doom = Some((self.now + delay, owner));
        }
    }

    /// Kills or pauses an owner whose term has just begun.
    pub(super) fn doom(&mut self) {
        let Some((at, owner)) = self.doom else {
            return;
        };
        if at > self.now {
            return;
        }
        self.doom = None;
        if self.calm || !self.owners[owner].alive || self.owners[owner].pause.is_some() {
            return;
        }
        match self.dice.random_range(0..2) {
            0 => self.kill(owner),
            _ => self.owners[owner].armed = Some(self.now),
        }
    }

    /// Pauses an armed owner, if possible between its decision to start a run and the command.
    pub(super) fn pause_if_armed(&mut self, owner: usize, actions: &[Action]) {
        let Some(at) = self.owners[owner].armed else {
            return;
        };
        let starts = actions.iter().any(|a| matches!(a, Action::Start(_)));
        // Without a start to interrupt, the pause begins a little later anywhere.
        if self.calm || self.now < at || !starts && self.now < at + 300 {
            return;
        }
        let pause = Pause {
            since: self.now,
            until: self.now + self.dice.random_range(2_000..9_000),
            suspended: self.roll(self.rates.suspended),
            late_answer: self.roll(self.rates.late_answers),
            proof: owner + 1 == self.owners.len()
                && self.owners[owner].cut <= self.now
                && self.roll(500),
        };
        let state = &mut self.owners[owner];
        self.judge.trace(|| {
            format!(
                "{} owner {} paused on instance {} until {} with {} actions {pause:?}",
                self.now,
                state.engine.term,
                state.instance,
                pause.until,
                actions.len()
            )
        });
        state.armed = None;
        state.pause = Some(pause);
        if pause.late_answer {
            state.cut = pause.until + self.dice.random_range(500..8_000);
        }
        if owner + 1 == self.owners.len() {
            self.successor = Some(self.now + self.take_over());
        }
    }

    /// Ends the pause of an owner: it carries out what it had decided, then handles what has arrived.
    pub(super) fn thaw(&mut self, owner: usize, pause: Pause) {
        let early = self.dice.random_range(0..2) == 0;
        let now = self.now;
        let state = &mut self.owners[owner];
        let sent = state.local(pause.since);
        state.pause = None;
        let held = std::mem::take(&mut state.held);
        let mut inbox = std::mem::take(&mut state.inbox);
        let timeouts: Vec<Event> = inbox
            .extract_if(.., |event| pause.suspended && event.is_timeout())
            .collect();
        self.judge.trace(|| {
            format!(
                "{now} owner {} continues with {} actions and {} events",
                state.engine.term,
                held.len(),
                inbox.len()
            )
        });
        if pause.late_answer && early {
            self.store_answered(owner, pause.proof, sent);
        }
        held.into_iter().for_each(|action| self.act(owner, action));
        inbox
            .into_iter()
            .for_each(|event: Event| self.handle(event));
        for timeout in timeouts {
            let rest = self.dice.random_range(1..ANSWER_TIMEOUT);
            self.post(rest, timeout);
        }
        if pause.late_answer && !early {
            self.store_answered(owner, pause.proof, sent);
        }
    }

    /// Sends heartbeats of the instances without a term of their own: the owner learns that the
    /// earlier terms of these instances are over.
    pub(super) fn heartbeats(&mut self) {
        if !self.rates.instances || !self.now.is_multiple_of(150) {
            return;
        }
        let Some(current) = self.current().filter(|o| self.owners[*o].pause.is_none()) else {
            return;
        };
        let follows = |i: &usize| {
            self.downs_of_instances[*i] <= self.now
                && self.owners.iter().all(|o| !o.alive || o.instance != *i)
        };
        let followers: Vec<usize> = (0..INSTANCES).filter(follows).collect();
        let state = &mut self.owners[current];
        let now = state.local(self.now);
        for instance in followers {
            state
                .engine
                .former_owner_gone(&instance_name(instance), now);
        }
    }
}
