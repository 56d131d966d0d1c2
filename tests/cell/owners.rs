//! Owners of the simulation: their terms, what they do at each step, and what they store.

use bamboolock::cell::engine::{
    Action,
    Engine,
    Record, //
};
use rand::Rng;

use super::{
    faults::Pause,
    make::{
        START,
        TIMES, //
    },
    network::Event,
    world::{
        INSTANCES,
        World,
        instance_name, //
    }, //
};

pub(super) struct Owner {
    pub(super) engine: Engine,
    pub(super) alive: bool,
    /// Time until which the store refuses the owner, in milliseconds.
    pub(super) cut: u64,
    pub(super) batch: Option<(u64, Vec<Record>)>,
    /// Instance that the owner runs on.
    pub(super) instance: usize,
    /// Whether an append without records is under way.
    pub(super) proving: bool,
    /// Time from which the owner is to be paused, in milliseconds.
    pub(super) armed: Option<u64>,
    pub(super) pause: Option<Pause>,
    /// Actions that were decided before a pause.
    pub(super) held: Vec<Action>,
    /// Events that have arrived during a pause.
    pub(super) inbox: Vec<Event>,
    /// Time at which the owner's clock began, in milliseconds.
    origin: u64,
}

impl Owner {
    /// Time on the owner's clock, in milliseconds.
    pub(super) fn local(&self, now: u64) -> u64 {
        now - self.origin
    }
}

impl World {
    /// Lets the store refuse all owners but the next one.
    pub(super) fn fence(&mut self) {
        self.epoch += 1;
        self.fenced = true;
    }

    /// Begins a term: the new owner fences the store, loads the log and registers all workers.
    pub(super) fn begin(&mut self) {
        if !std::mem::take(&mut self.fenced) {
            self.epoch += 1;
        }
        self.judge
            .trace(|| format!("{} term {}", self.now, self.epoch));
        let mut engine = Engine::new(self.epoch, TIMES);
        // The clock of a process says nothing about that of another one.
        let origin = match self.rates.instances {
            true => self.dice.random_range(0..START / 2),
            false => 0,
        };
        let now = self.now - origin;
        engine.set_wall_clock(self.now, now);
        engine.proven_at = now;
        engine.load(
            self.log.iter().map(|(k, v)| (k.as_str(), v.as_deref())),
            now,
        );
        self.read_list(&mut engine, now);
        let instance = self.elect();
        if self.rates.instances {
            let before = self.owners.last();
            let before = before.map(|o| (o.engine.term, instance_name(o.instance)));
            let predecessor = before.as_ref().map(|(term, name)| (*term, name.as_str()));
            engine.succeed(&instance_name(instance), predecessor, now);
        }
        self.judge
            .trace(|| format!("{} owner {} on instance {instance}", self.now, self.epoch));
        self.owners.push(Owner {
            engine,
            alive: true,
            cut: 0,
            batch: None,
            proving: false,
            instance,
            armed: None,
            pause: None,
            held: Vec::new(),
            inbox: Vec::new(),
            origin,
        });
        self.faults_of_term(self.owners.len() - 1);
    }

    /// Instance that takes over: one that is up and has no term of its own.
    fn elect(&mut self) -> usize {
        let free = |i: &usize| {
            self.downs_of_instances[*i] <= self.now
                && self.owners.iter().all(|o| !o.alive || o.instance != *i)
        };
        let free: Vec<usize> = (0..INSTANCES).filter(free).collect();
        match free.len() {
            0 => 0,
            count => free[self.dice.random_range(0..count)],
        }
    }

    /// Takes note of an answer of the store to a call that was sent at local time `sent`, as the
    /// shell does: an append proves that the owner owned the cell then (`proof`), a read proves
    /// nothing.
    pub(super) fn store_answered(&mut self, owner: usize, proof: bool, sent: u64) {
        if proof {
            self.owners[owner].engine.confirm_ownership(sent);
        }
    }

    pub(super) fn drive(&mut self, owner: usize) {
        let now = self.now;
        if let Some(pause) = self.owners[owner].pause {
            if pause.until > now {
                return;
            }
            self.thaw(owner, pause);
        }
        let local = self.owners[owner].local(now);
        let state = &mut self.owners[owner];
        if !state.alive {
            return;
        }
        if state.engine.deposed {
            state.alive = false;
            return;
        }
        if now.is_multiple_of(25) {
            state.engine.set_wall_clock(now, local);
            if state.cut <= now && !self.rates.instances {
                state.engine.proven_at = local;
            }
            state.engine.tick(local);
        }
        // An owner that is cut off from the store cannot read the list either.
        let cut = self.rates.capacities > 0 && state.cut > now;
        if now.is_multiple_of(500) && !cut {
            self.read_registrations(owner);
        }
        let state = &mut self.owners[owner];
        if state.engine.pass_needed {
            state.engine.schedule(local);
        }
        self.commit(owner);
        let actions = std::mem::take(&mut self.owners[owner].engine.actions);
        self.pause_if_armed(owner, &actions);
        for action in actions {
            if self.owners[owner].pause.is_some() && self.dice.random_range(0..2) == 0 {
                self.owners[owner].held.push(action);
            } else {
                self.act(owner, action);
            }
        }
    }

    fn read_registrations(&mut self, owner: usize) {
        let local = self.owners[owner].local(self.now);
        let own = Engine::new(0, TIMES);
        let mut engine = std::mem::replace(&mut self.owners[owner].engine, own);
        self.read_list(&mut engine, local);
        self.owners[owner].engine = engine;
    }

    fn commit(&mut self, owner: usize) {
        let (now, epoch, instances) = (self.now, self.epoch, self.rates.instances);
        let state = &mut self.owners[owner];
        let sent = state.local(now);
        if state.batch.is_some() || state.proving || state.cut > now {
            return;
        }
        if state.engine.term < epoch {
            // The store refuses an earlier epoch, which ends the term.
            let refused = state.engine.take_batch().is_some();
            if !instances {
                state.alive = !refused;
            } else if refused || state.engine.needs_proof(sent) {
                state.proving = true;
                let delay = 5 + u64::from(self.roll(100)) * 300;
                self.post(delay, Event::Refused { owner });
            }
            return;
        }
        let Some((batch, entries)) = state.engine.take_batch() else {
            if instances && state.engine.needs_proof(sent) {
                state.proving = true;
                let delay = 5 + u64::from(self.roll(100)) * 300;
                let batch = None;
                self.post(delay, Event::Stored { owner, batch, sent });
            }
            return;
        };
        self.log
            .extend(entries.iter().map(|(k, v)| (k.to_string(), v.clone())));
        state.batch = Some((batch, entries));
        let delay = 5 + u64::from(self.chance(100)) * 300;
        let batch = Some(batch);
        self.post(delay, Event::Stored { owner, batch, sent });
    }

    /// Continues after an append; without a batch, it only proved the ownership.
    pub(super) fn stored(&mut self, owner: usize, batch: Option<u64>, sent: u64) {
        if self.rates.instances {
            self.store_answered(owner, true, sent);
        }
        let state = &mut self.owners[owner];
        let Some(batch) = batch else {
            state.proving = false;
            return;
        };
        let now = state.local(self.now);
        state.batch = None;
        state.engine.batch_stored(batch, now);
        let now = self.now;
        for (_, _, id) in self
            .cancels
            .extract_if(.., |(o, b, _)| *o == owner && *b <= batch)
        {
            self.judge.cancel(&id, now);
        }
    }
}
