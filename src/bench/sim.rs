//! The event loop over arrivals and ends of run times.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use crate::{
    bench::{
        arrivals::Job,
        tally::Tally, //
    },
    ids::Millis,
    kernel::requests::Outcome, //
};

/// Time from a send to the refusal of a worker that is down, in milliseconds.
const REFUSAL: u64 = 1;

/// A way of scheduling that an experiment compares.
pub trait System {
    /// Names an attempt.
    type Attempt: Copy;

    /// Takes in an arrival, by its index.
    fn arrive(&mut self, now: Millis, index: usize, job: &Job);

    /// Adds the attempts that start now.
    fn start(&mut self, now: Millis, starts: &mut Vec<Start<Self::Attempt>>);

    /// Takes in what became of an attempt.
    fn end(&mut self, now: Millis, attempt: Self::Attempt, outcome: Outcome);

    /// Takes in that an attempt of unknown outcome does not run any more.
    fn settle(&mut self, now: Millis, attempt: Self::Attempt);

    /// Lets time pass, and adds the requests that got their final step.
    fn tick(&mut self, now: Millis, finals: &mut Vec<Final>);
}

/// An attempt that starts.
#[derive(Debug, Clone, Copy)]
pub struct Start<A> {
    /// Which.
    pub attempt: A,
    /// The arrival's index.
    pub index: usize,
    /// The worker's index.
    pub worker: usize,
    /// Time after which it is reported as silent, in milliseconds.
    pub timeout: u64,
    /// Whether the request was sent before.
    pub again: bool,
}

/// The final step of a request.
#[derive(Debug, Clone, Copy)]
pub struct Final {
    /// The arrival's index.
    pub index: usize,
    /// Whether it was answered.
    pub answered: bool,
}

/// Workers that fail for some time.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    /// When it begins, in milliseconds.
    pub from: u64,
    /// When it ends, in milliseconds.
    pub to: u64,
    /// The workers of a lower index fail.
    pub below: usize,
    /// Every so many of them swallows what is sent; the others refuse it at once.
    pub silent: usize,
}

impl Outage {
    fn hits(&self, now: u64, worker: usize) -> bool {
        (self.from..self.to).contains(&now) && worker < self.below
    }

    fn swallows(&self, worker: usize) -> bool {
        self.silent > 0 && worker.is_multiple_of(self.silent)
    }
}

/// An attempt in progress.
struct Flight<A> {
    attempt: A,
    worker: usize,
    open: bool,
    lost: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answer,
    Refusal,
    Silence,
}

/// One run of an experiment.
struct Run<'a, S: System> {
    system: &'a mut S,
    jobs: &'a [Job],
    outage: Option<Outage>,
    flights: Vec<Flight<S::Attempt>>,
    events: BinaryHeap<Reverse<(u64, Event, usize)>>,
    tally: Tally,
}

/// Runs a system on arrivals until `end` milliseconds, and then until what is open has ended.
pub fn run<S: System>(
    system: &mut S,
    jobs: &[Job],
    outage: Option<Outage>,
    end: u64,
    tally: Tally,
) -> Tally {
    let mut run = Run {
        system,
        jobs,
        outage,
        flights: Vec::new(),
        events: BinaryHeap::new(),
        tally,
    };
    let mut next = 0;
    for now in 0..end {
        run.change_workers(now);
        run.end_attempts(now);
        while let Some(job) = jobs.get(next).filter(|j| j.at <= now) {
            run.system.arrive(Millis(now), next, job);
            next += 1;
        }
        run.start_attempts(now);
        run.take_finals(now);
    }
    run.tally
}

impl<S: System> Run<'_, S> {
    /// Breaks off what runs on workers that go down; settles it when they are back.
    fn change_workers(&mut self, now: u64) {
        let Some(outage) = self.outage else {
            return;
        };
        if now == outage.from {
            for at in 0..self.flights.len() {
                let flight = &mut self.flights[at];
                if flight.open && flight.worker < outage.below {
                    flight.lost = true;
                    let attempt = flight.attempt;
                    self.system
                        .end(Millis(now), attempt, Outcome::ConnectionLost);
                }
            }
        }
        if now == outage.to {
            for flight in self.flights.iter_mut().filter(|f| f.lost) {
                flight.lost = false;
                flight.open = false;
                self.system.settle(Millis(now), flight.attempt);
            }
        }
    }

    fn end_attempts(&mut self, now: u64) {
        while let Some(Reverse((at, event, index))) = self.events.peek().copied() {
            if at > now {
                return;
            }
            self.events.pop();
            self.end_attempt(now, event, index);
        }
    }

    fn end_attempt(&mut self, now: u64, event: Event, index: usize) {
        let flight = &mut self.flights[index];
        if !flight.open || (flight.lost && event != Event::Silence) {
            return;
        }
        let took = 0;
        let outcome = match event {
            Event::Answer => Outcome::Answered { took },
            Event::Refusal => Outcome::NotRun,
            Event::Silence => Outcome::TimedOut,
        };
        flight.open = event == Event::Silence;
        let attempt = flight.attempt;
        self.system.end(Millis(now), attempt, outcome);
    }

    fn start_attempts(&mut self, now: u64) {
        let mut starts = Vec::new();
        self.system.start(Millis(now), &mut starts);
        for start in starts {
            self.tally.started(now, &start);
            self.fly(now, &start);
        }
    }

    fn fly(&mut self, now: u64, start: &Start<S::Attempt>) {
        let takes = self.jobs[start.index].takes;
        let index = self.flights.len();
        let silence = (now + start.timeout, Event::Silence, index);
        let down = self.outage.filter(|o| o.hits(now, start.worker));
        let swallowed = down.is_some_and(|o| o.swallows(start.worker));
        self.flights.push(Flight {
            attempt: start.attempt,
            worker: start.worker,
            open: true,
            lost: swallowed,
        });
        if swallowed {
            self.events.push(Reverse(silence));
            return;
        }
        if down.is_some() {
            let refusal = (now + REFUSAL, Event::Refusal, index);
            self.events.push(Reverse(refusal));
            return;
        }
        let answer = (now + takes, Event::Answer, index);
        self.events.push(Reverse(answer));
        if start.timeout < takes {
            self.events.push(Reverse(silence));
        }
    }

    fn take_finals(&mut self, now: u64) {
        let mut finals = Vec::new();
        self.system.tick(Millis(now), &mut finals);
        for last in finals {
            self.tally.ended(now, &last);
        }
    }
}
