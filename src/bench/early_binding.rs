//! Plain baselines that bind on arrival: each worker has its own first-come queue without a bound.

use std::collections::VecDeque;

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    bench::{
        arrivals::{
            Job,
            Work, //
        },
        sim::{
            Final,
            Start,
            System, //
        },
    },
    ids::Millis,
    kernel::requests::Outcome, //
};

/// How a baseline chooses the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Any.
    Random,
    /// The next in turn.
    RoundRobin,
    /// The one with the fewest of the instance's own requests, waiting ones included.
    LeastLoaded,
}

/// One worker with its queue of arrivals.
#[derive(Debug, Clone, Default)]
struct Queue {
    waiting: VecDeque<usize>,
    active: u32,
}

/// One entry instance: what it knows of all workers.
#[derive(Debug, Clone)]
struct View {
    /// Its own requests at each worker.
    open: Vec<u32>,
    turn: usize,
}

/// Where an arrival is bound to.
#[derive(Debug, Clone, Copy)]
struct Place {
    view: usize,
    worker: usize,
    deadline: u64,
}

/// Workers with a queue each, and entry instances that all route to all of them.
#[derive(Debug)]
pub struct Early {
    choice: Choice,
    slots: u32,
    queues: Vec<Queue>,
    views: Vec<View>,
    random: SmallRng,
    deadlines: Vec<u64>,
    places: Vec<Place>,
    finals: Vec<Final>,
}

/// The instance to which the platform's balancer gives an arrival.
#[must_use]
pub fn spread(index: usize, instances: usize) -> usize {
    let mixed = (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    mixed as usize % instances
}

impl Early {
    /// So many entry instances and workers with so many slots.
    #[must_use]
    pub fn new(
        choice: Choice,
        works: &[Work],
        instances: usize,
        workers: usize,
        slots: u32,
    ) -> Self {
        let deadlines = works.iter().map(|w| w.profile.objective.deadline);
        let view = |i| View {
            open: vec![0; workers],
            turn: i * workers / instances,
        };
        Self {
            choice,
            slots,
            queues: vec![Queue::default(); workers],
            views: (0..instances).map(view).collect(),
            random: SmallRng::seed_from_u64(1),
            deadlines: deadlines.collect(),
            places: Vec::new(),
            finals: Vec::new(),
        }
    }

    fn choose(&mut self, view: usize) -> usize {
        let count = self.queues.len();
        let start = self.random.random_range(0..count);
        let view = &mut self.views[view];
        match self.choice {
            Choice::Random => start,
            Choice::RoundRobin => {
                view.turn += 1;
                view.turn % count
            }
            Choice::LeastLoaded => {
                let order = (0..count).map(|i| (start + i) % count);
                order.min_by_key(|i| view.open[*i]).unwrap_or(0)
            }
        }
    }

    fn close(&mut self, index: usize, answered: bool) {
        let place = self.places[index];
        self.views[place.view].open[place.worker] -= 1;
        self.finals.push(Final { index, answered });
    }

    /// The next arrival of a worker's queue, if it has a free slot.
    fn pop(&mut self, worker: usize) -> Option<usize> {
        let queue = &mut self.queues[worker];
        if queue.active >= self.slots {
            return None;
        }
        queue.waiting.pop_front()
    }
}

impl System for Early {
    type Attempt = usize;

    fn arrive(&mut self, now: Millis, index: usize, job: &Job) {
        let view = spread(index, self.views.len());
        let worker = self.choose(view);
        let deadline = now.0 + self.deadlines[job.work];
        self.places.push(Place {
            view,
            worker,
            deadline,
        });
        self.views[view].open[worker] += 1;
        self.queues[worker].waiting.push_back(index);
    }

    fn start(&mut self, now: Millis, starts: &mut Vec<Start<usize>>) {
        for worker in 0..self.queues.len() {
            while let Some(index) = self.pop(worker) {
                if self.places[index].deadline <= now.0 {
                    self.close(index, false);
                    continue;
                }
                self.queues[worker].active += 1;
                starts.push(Start {
                    attempt: index,
                    index,
                    worker,
                    timeout: u64::MAX / 2,
                    again: false,
                });
            }
        }
    }

    fn end(&mut self, _now: Millis, attempt: usize, outcome: Outcome) {
        let worker = self.places[attempt].worker;
        self.queues[worker].active -= 1;
        self.close(attempt, matches!(outcome, Outcome::Answered { .. }));
    }

    fn settle(&mut self, _now: Millis, _attempt: usize) {}

    fn tick(&mut self, _now: Millis, finals: &mut Vec<Final>) {
        finals.append(&mut self.finals);
    }
}
