//! Discrete-time simulation of arrivals, attempts and worker outages, in steps of one millisecond.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use crate::{
    bench::{
        arrivals::Request,
        tally::Tally, //
    },
    ids::Millis,
    kernel::requests::Outcome, //
};

/// Time until a worker that is down refuses a request.
const REFUSAL_MS: u64 = 1;

/// A scheduler that the simulation drives.
pub trait Scheduler {
    /// Identifies an attempt.
    type Attempt: Copy;

    /// Handles an arrival; `index` counts the arrivals from 0.
    fn arrive(&mut self, now: Millis, index: usize, request: &Request);

    /// Appends the attempts that start now.
    fn start(&mut self, now: Millis, starts: &mut Vec<Start<Self::Attempt>>);

    /// Handles the outcome of an attempt.
    fn finish(&mut self, now: Millis, attempt: Self::Attempt, outcome: Outcome);

    /// Handles the news that an attempt with an unknown outcome has stopped running.
    fn settle(&mut self, now: Millis, attempt: Self::Attempt);

    /// Advances to `now` and appends the requests that have completed.
    fn tick(&mut self, now: Millis, completions: &mut Vec<Completion>);
}

/// An attempt that starts.
#[derive(Debug, Clone, Copy)]
pub struct Start<A> {
    /// Id of the attempt.
    pub attempt: A,
    /// The arrival's index.
    pub index: usize,
    /// Index of the worker.
    pub worker: usize,
    /// Time after which the attempt is reported as timed out, in milliseconds.
    pub timeout: u64,
    /// Whether the request was sent before, as a retry or hedged attempt is.
    pub repeat: bool,
}

/// Completion of a request.
#[derive(Debug, Clone, Copy)]
pub struct Completion {
    /// The arrival's index.
    pub index: usize,
    /// Whether the request was answered.
    pub answered: bool,
}

/// An outage of some workers.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    /// Start of the outage, in milliseconds.
    pub from: u64,
    /// End of the outage, in milliseconds.
    pub to: u64,
    /// Number of workers that fail, from index 0.
    pub failed_workers: usize,
    /// Every n-th failed worker drops requests silently, the others refuse them at once; 0 for none
    /// that drops.
    pub drop_every: usize,
}

impl Outage {
    fn affects(&self, now: u64, worker: usize) -> bool {
        (self.from..self.to).contains(&now) && worker < self.failed_workers
    }

    fn drops(&self, worker: usize) -> bool {
        self.drop_every > 0 && worker.is_multiple_of(self.drop_every)
    }
}

/// State of an attempt.
struct AttemptState<A> {
    attempt: A,
    worker: usize,
    open: bool,
    lost: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answer,
    Refusal,
    Timeout,
}

/// State of a simulation run.
struct Run<'a, S: Scheduler> {
    scheduler: &'a mut S,
    requests: &'a [Request],
    outage: Option<Outage>,
    attempts: Vec<AttemptState<S::Attempt>>,
    events: BinaryHeap<Reverse<(u64, Event, usize)>>,
    tally: Tally,
}

/// Simulates a scheduler on the arrivals for `end` milliseconds. Requests that are still open then
/// stay without a completion.
pub fn run<S: Scheduler>(
    scheduler: &mut S,
    requests: &[Request],
    outage: Option<Outage>,
    end: u64,
    tally: Tally,
) -> Tally {
    let mut run = Run {
        scheduler,
        requests,
        outage,
        attempts: Vec::new(),
        events: BinaryHeap::new(),
        tally,
    };
    let mut next = 0;
    for now in 0..end {
        run.change_workers(now);
        run.end_attempts(now);
        while let Some(request) = requests.get(next).filter(|r| r.at <= now) {
            run.scheduler.arrive(Millis(now), next, request);
            next += 1;
        }
        run.start_attempts(now);
        run.take_finals(now);
    }
    run.tally
}

impl<S: Scheduler> Run<'_, S> {
    /// Fails the attempts on the workers that go down, and settles the lost ones when the outage
    /// ends.
    fn change_workers(&mut self, now: u64) {
        let Some(outage) = self.outage else {
            return;
        };
        if now == outage.from {
            for at in 0..self.attempts.len() {
                let state = &mut self.attempts[at];
                if state.open && state.worker < outage.failed_workers {
                    state.lost = true;
                    let attempt = state.attempt;
                    self.scheduler
                        .finish(Millis(now), attempt, Outcome::ConnectionLost);
                }
            }
        }
        if now == outage.to {
            for state in self.attempts.iter_mut().filter(|f| f.lost) {
                state.lost = false;
                state.open = false;
                self.scheduler.settle(Millis(now), state.attempt);
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
        let state = &mut self.attempts[index];
        if !state.open || (state.lost && event != Event::Timeout) {
            return;
        }
        let took = 0;
        let outcome = match event {
            Event::Answer => Outcome::Answered { took },
            Event::Refusal => Outcome::NotRun,
            Event::Timeout => Outcome::TimedOut,
        };
        state.open = event == Event::Timeout;
        let attempt = state.attempt;
        self.scheduler.finish(Millis(now), attempt, outcome);
    }

    fn start_attempts(&mut self, now: u64) {
        let mut starts = Vec::new();
        self.scheduler.start(Millis(now), &mut starts);
        for start in starts {
            self.tally.started(now, &start);
            self.schedule_events(now, &start);
        }
    }

    fn schedule_events(&mut self, now: u64, start: &Start<S::Attempt>) {
        let run_time = self.requests[start.index].run_time;
        let index = self.attempts.len();
        let timeout = (now + start.timeout, Event::Timeout, index);
        let down = self.outage.filter(|o| o.affects(now, start.worker));
        let dropped = down.is_some_and(|o| o.drops(start.worker));
        self.attempts.push(AttemptState {
            attempt: start.attempt,
            worker: start.worker,
            open: true,
            lost: dropped,
        });
        if dropped {
            self.events.push(Reverse(timeout));
            return;
        }
        if down.is_some() {
            let refusal = (now + REFUSAL_MS, Event::Refusal, index);
            self.events.push(Reverse(refusal));
            return;
        }
        let answer = (now + run_time, Event::Answer, index);
        self.events.push(Reverse(answer));
        if start.timeout < run_time {
            self.events.push(Reverse(timeout));
        }
    }

    fn take_finals(&mut self, now: u64) {
        let mut completions = Vec::new();
        self.scheduler.tick(Millis(now), &mut completions);
        for completion in completions {
            self.tally.ended(now, &completion);
        }
    }
}
