//! Registrations of the simulated workers as owners read them: late, with old entries that come back,
//! and without workers that have lost the store.

use bamboolock::cell::{
    engine::Engine,
    model::{
        self,
        Availability, //
    }, //
};
use rand::Rng;

use super::{
    make,
    workers::BEAT,
    world::{
        CAPACITY,
        World, //
    }, //
};

/// Time for which the registration of a worker that is gone stays listed, in milliseconds.
const LAPSE: u64 = 1_500;

/// Longest time by which a list may be behind, in milliseconds.
const LONGEST_LAG: u64 = 3_000;

/// Registration of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    incarnation: u64,
    port: u16,
    draining: bool,
    capacity: u32,
}

/// Registration of one worker over time.
#[derive(Debug, Clone, Default)]
pub(super) struct Listing {
    /// Changes with their time, in milliseconds; `None` where the registration was removed.
    changes: Vec<(u64, Option<Entry>)>,
    /// Port of the worker's address.
    pub(super) port: u16,
    /// Time at which the worker exits after draining, in milliseconds.
    exit: Option<u64>,
    /// Time until which the worker cannot register, in milliseconds.
    unlisted: u64,
    /// Time at which the worker was last up, in milliseconds.
    last_up: u64,
    /// Time at which a capacity that has shrunk changes again, in milliseconds.
    resized: Option<u64>,
    /// Incarnation and capacity that the worker has registered.
    registered: (u64, u32),
}

impl Listing {
    /// Registration of a worker at an address.
    pub(super) fn new(port: u16) -> Self {
        Self {
            port,
            ..Self::default()
        }
    }

    /// Incarnation that was registered last.
    pub(super) fn incarnation(&self) -> u64 {
        let mut last = self.changes.iter().rev();
        let last = last.find_map(|(_, entry)| *entry);
        last.map_or(0, |entry| entry.incarnation)
    }

    /// Begins the registration of another worker at the address.
    pub(super) fn begin(&mut self) {
        self.changes = vec![(0, None)];
        self.last_up = 0;
    }

    fn at(&self, now: u64) -> Option<Entry> {
        let change = self.changes.iter().rev().find(|(since, _)| *since <= now);
        change.and_then(|(_, entry)| *entry)
    }
}

impl World {
    /// Lets workers drain, lose their registration, and exit.
    pub(super) fn list_faults(&mut self) {
        if self.roll(self.rates.drains) {
            let at = self.dice.random_range(0..self.machines.len());
            let exit = self.now + self.dice.random_range(2_000..12_000);
            if self.machines[at].up && self.listings[at].exit.is_none() {
                self.judge
                    .trace(|| format!("{} worker {at} drains until {exit}", self.now));
                self.listings[at].exit = Some(exit);
            }
        }
        if self.roll(self.rates.drains) {
            // Workers that drain lose their registration more often than others.
            let draining = self.listings.iter().position(|l| l.exit.is_some());
            let any = self.dice.random_range(0..self.machines.len());
            let at = draining.unwrap_or(any);
            let until = self.now + self.dice.random_range(1_000..9_000);
            self.judge
                .trace(|| format!("{} worker {at} is not listed until {until}", self.now));
            self.listings[at].unlisted = until;
        }
        if self.roll(self.rates.capacities) {
            self.shrink();
        }
    }

    /// Lets the capacity of a worker shrink for a while, also below what runs there.
    fn shrink(&mut self) {
        let at = self.dice.random_range(0..self.machines.len());
        let capacity = self.dice.random_range(0..CAPACITY / 1_000) * 1_000;
        let until = self.now + self.dice.random_range(500..15_000);
        self.judge.trace(|| {
            format!(
                "{} capacity of worker {at} is {capacity} until {until}",
                self.now
            )
        });
        self.machines[at].resize(capacity, self.now);
        self.listings[at].resized = Some(until);
    }

    /// Records the registrations as they are now.
    pub(super) fn list(&mut self) {
        let rates = self.rates;
        let lapses = rates.drains + rates.moves + rates.lags > 0;
        for at in 0..self.machines.len() {
            let (now, machine, listing) =
                (self.now, &mut self.machines[at], &mut self.listings[at]);
            if listing.exit.is_some_and(|exit| exit <= now) {
                listing.exit = None;
                if machine.up {
                    self.judge.trace(|| format!("{now} worker {at} exits"));
                    machine.up = false;
                    self.downs[at] = now + self.dice.random_range(1_200..5_000);
                }
            }
            if machine.up {
                listing.last_up = now;
            }
            if listing.resized.is_some_and(|until| until <= now) {
                listing.resized = None;
                machine.resize(CAPACITY, now);
            }
            let beat = (now + at as u64 * BEAT / 6).is_multiple_of(BEAT);
            if beat || listing.registered.0 != machine.incarnation {
                listing.registered = (machine.incarnation, machine.capacity);
            }
            let listed = !lapses || listing.last_up + LAPSE > now && listing.unlisted <= now;
            let entry = listed.then_some(Entry {
                incarnation: machine.incarnation,
                port: listing.port,
                draining: listing.exit.is_some(),
                capacity: listing.registered.1,
            });
            // What is listed at the start has been so for long.
            let since = if listing.changes.is_empty() { 0 } else { now };
            if listing
                .changes
                .last()
                .is_none_or(|(_, last)| *last != entry)
            {
                listing.changes.push((since, entry));
            }
        }
    }

    /// Moves a worker that starts again to another address.
    pub(super) fn move_worker(&mut self, at: usize) {
        let listing = &mut self.listings[at];
        listing.exit = None;
        if self.rates.moves > 0 && self.dice.random_range(0..1_000) < self.rates.moves {
            listing.port += 1;
            self.judge
                .trace(|| format!("{} worker {at} moves to port {}", self.now, listing.port));
        }
    }

    /// Lets an owner read the list of registrations at local time `local`; it may be behind.
    pub(super) fn read_list(&mut self, engine: &mut Engine, local: u64) {
        let lag = match self.roll(self.rates.lags) {
            true => self.dice.random_range(0..LONGEST_LAG),
            false => 0,
        };
        self.read_former(engine);
        // The store's log is in order: no list shows a capacity from before the one that was read last.
        let known = engine.listed_at.unwrap_or(0);
        let age = lag.min(local.saturating_sub(known));
        for (at, (machine, listing)) in self.machines.iter().zip(&self.listings).enumerate() {
            let Some(entry) = listing.at(self.now.saturating_sub(lag)) else {
                engine.unregister(&machine.id);
                continue;
            };
            let newer = listing.at(self.now.saturating_sub(age));
            let newer = newer.filter(|newer| newer.incarnation == entry.incarnation);
            let capacity = newer.unwrap_or(entry).capacity;
            let availability = match entry.draining {
                true => Availability::Draining,
                false => Availability::Ready,
            };
            engine.register(model::Registration {
                address: address(entry.port),
                availability,
                labels: vec!["kind".into(), rack(self.rates.workers, at)],
                ..make::worker(&machine.id, entry.incarnation, capacity)
            });
        }
        engine.registrations_read(local.saturating_sub(lag));
    }
}

/// Rack of a worker.
pub(super) fn rack(workers: usize, at: usize) -> compact_str::CompactString {
    match workers {
        0 => "rack".into(),
        _ => compact_str::format_compact!("rack{}", at % 4),
    }
}

/// Address of a worker.
pub(super) fn address(port: u16) -> compact_str::CompactString {
    compact_str::format_compact!("127.0.0.1:{}", port + 1)
}
