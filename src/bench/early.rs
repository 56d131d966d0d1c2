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
    /// The one with the fewest requests, waiting ones included.
    LeastLoaded,
}

/// One worker with its queue of arrivals.
#[derive(Debug, Clone, Default)]
struct Queue {
    waiting: VecDeque<usize>,
    active: u32,
}

/// Workers with a queue each.
#[derive(Debug)]
pub struct Early {
    choice: Choice,
    slots: u32,
    queues: Vec<Queue>,
    random: SmallRng,
    turn: usize,
    deadlines: Vec<u64>,
    /// The worker and the deadline of each arrival.
    places: Vec<(usize, u64)>,
    finals: Vec<Final>,
}

impl Early {
    /// So many workers with so many slots.
    #[must_use]
    pub fn new(choice: Choice, works: &[Work], workers: usize, slots: u32) -> Self {
        let deadlines = works.iter().map(|w| w.profile.objective.deadline);
        Self {
            choice,
            slots,
            queues: vec![Queue::default(); workers],
            random: SmallRng::seed_from_u64(1),
            turn: 0,
            deadlines: deadlines.collect(),
            places: Vec::new(),
            finals: Vec::new(),
        }
    }

    fn choose(&mut self) -> usize {
        let count = self.queues.len();
        match self.choice {
            Choice::Random => self.random.random_range(0..count),
            Choice::RoundRobin => {
                self.turn += 1;
                self.turn % count
            }
            Choice::LeastLoaded => {
                let load =
                    |i: &usize| self.queues[*i].waiting.len() + self.queues[*i].active as usize;
                (0..count).min_by_key(load).unwrap_or(0)
            }
        }
    }
}

impl System for Early {
    type Attempt = usize;

    fn arrive(&mut self, now: Millis, index: usize, job: &Job) {
        let worker = self.choose();
        let end = now.0 + self.deadlines[job.work];
        self.places.push((worker, end));
        self.queues[worker].waiting.push_back(index);
    }

    fn start(&mut self, now: Millis, starts: &mut Vec<Start<usize>>) {
        for (worker, queue) in self.queues.iter_mut().enumerate() {
            while queue.active < self.slots {
                let Some(index) = queue.waiting.pop_front() else {
                    break;
                };
                let (_, end) = self.places[index];
                if end <= now.0 {
                    self.finals.push(Final {
                        index,
                        answered: false,
                    });
                    continue;
                }
                queue.active += 1;
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
        let (worker, _) = self.places[attempt];
        self.queues[worker].active -= 1;
        self.finals.push(Final {
            index: attempt,
            answered: matches!(outcome, Outcome::Answered { .. }),
        });
    }

    fn settle(&mut self, _now: Millis, _attempt: usize) {}

    fn tick(&mut self, _now: Millis, finals: &mut Vec<Final>) {
        finals.append(&mut self.finals);
    }
}
