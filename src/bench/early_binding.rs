//! Early-binding baselines: a request is bound to a worker on arrival and waits in that worker's
//! unbounded FIFO queue.

use std::collections::VecDeque;

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    bench::{
        arrivals::{
            Request,
            Work, //
        },
        sim::{
            Completion,
            Scheduler, //
            Start,
        },
    },
    ids::Millis,
    kernel::requests::Outcome, //
};

/// How a baseline chooses the worker for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// A random worker.
    Random,
    /// The next worker in round-robin order.
    RoundRobin,
    /// The worker with the fewest open requests of the same entry instance, queued ones included.
    LeastLoaded,
}

/// A worker's queue of arrivals and the number of requests that it runs.
#[derive(Debug, Clone, Default)]
struct Queue {
    waiting: VecDeque<usize>,
    active: u32,
}

/// What an entry instance knows about the workers.
#[derive(Debug, Clone)]
struct Entry {
    /// Number of the instance's open requests at each worker.
    open: Vec<u32>,
    next_worker: usize,
}

/// The worker to which an arrival is bound, and its deadline in simulated milliseconds.
#[derive(Debug, Clone, Copy)]
struct Binding {
    entry: usize,
    worker: usize,
    deadline: u64,
}

/// Workers with one queue each, and entry instances that each route to all workers.
#[derive(Debug)]
pub struct EarlyBinding {
    route: Route,
    slots: u32,
    queues: Vec<Queue>,
    entries: Vec<Entry>,
    random: SmallRng,
    deadlines: Vec<u64>,
    bindings: Vec<Binding>,
    completions: Vec<Completion>,
}

/// Returns the index of the entry instance to which the platform's balancer sends an arrival, from
/// a hash of the index of the arrival.
#[must_use]
pub fn assign_entry(index: usize, instances: usize) -> usize {
    let mixed = (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    mixed as usize % instances
}

impl EarlyBinding {
    /// Creates `instances` entry instances and `workers` workers with `slots` slots each.
    #[must_use]
    pub fn new(route: Route, works: &[Work], instances: usize, workers: usize, slots: u32) -> Self {
        let deadlines = works.iter().map(|w| w.profile.objective.deadline);
        let entry = |i| Entry {
            open: vec![0; workers],
            next_worker: i * workers / instances,
        };
        Self {
            route,
            slots,
            queues: vec![Queue::default(); workers],
            entries: (0..instances).map(entry).collect(),
            random: SmallRng::seed_from_u64(1),
            deadlines: deadlines.collect(),
            bindings: Vec::new(),
            completions: Vec::new(),
        }
    }

    fn choose_worker(&mut self, entry: usize) -> usize {
        let count = self.queues.len();
        let start = self.random.random_range(0..count);
        let entry = &mut self.entries[entry];
        match self.route {
            Route::Random => start,
            Route::RoundRobin => {
                entry.next_worker += 1;
                entry.next_worker % count
            }
            Route::LeastLoaded => {
                let order = (0..count).map(|i| (start + i) % count);
                order.min_by_key(|i| entry.open[*i]).unwrap_or(0)
            }
        }
    }

    fn complete(&mut self, index: usize, answered: bool) {
        let binding = self.bindings[index];
        self.entries[binding.entry].open[binding.worker] -= 1;
        self.completions.push(Completion { index, answered });
    }

    /// Takes the next arrival from a worker's queue if the worker has a free slot.
    fn pop(&mut self, worker: usize) -> Option<usize> {
        let queue = &mut self.queues[worker];
        if queue.active >= self.slots {
            return None;
        }
        queue.waiting.pop_front()
    }
}

impl Scheduler for EarlyBinding {
    type Attempt = usize;

    fn arrive(&mut self, now: Millis, index: usize, request: &Request) {
        let entry = assign_entry(index, self.entries.len());
        let worker = self.choose_worker(entry);
        let deadline = now.0 + self.deadlines[request.work];
        self.bindings.push(Binding {
            entry,
            worker,
            deadline,
        });
        self.entries[entry].open[worker] += 1;
        self.queues[worker].waiting.push_back(index);
    }

    fn start(&mut self, now: Millis, starts: &mut Vec<Start<usize>>) {
        for worker in 0..self.queues.len() {
            while let Some(index) = self.pop(worker) {
                if self.bindings[index].deadline <= now.0 {
                    self.complete(index, false);
                    continue;
                }
                self.queues[worker].active += 1;
                starts.push(Start {
                    attempt: index,
                    index,
                    worker,
                    timeout: u64::MAX / 2,
                    repeat: false,
                });
            }
        }
    }

    fn finish(&mut self, _now: Millis, attempt: usize, outcome: Outcome) {
        let worker = self.bindings[attempt].worker;
        self.queues[worker].active -= 1;
        self.complete(attempt, matches!(outcome, Outcome::Answered { .. }));
    }

    fn settle(&mut self, _now: Millis, _attempt: usize) {}

    fn tick(&mut self, _now: Millis, completions: &mut Vec<Completion>) {
        completions.append(&mut self.completions);
    }
}
