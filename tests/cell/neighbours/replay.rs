//! Replay of runs on workers of different speeds, without an owner.

use bamboolock::cell::{
    job::{
        JobKey,
        RunKey,
        WorkerKey, //
    },
    model,
    neighbours::{
        Neighbours,
        Success,
        Task, //
    }, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use slotmap::SlotMap;

use super::super::make::{
    self,
    START, //
};

/// Length of a step, in milliseconds.
const STEP: u64 = 20;

/// Estimate of all tasks, in milliseconds.
const ESTIMATE: u64 = 1_000;

struct Live {
    run: RunKey,
    job: JobKey,
    at: usize,
    kind: usize,
    /// Work that is left, in milliseconds on a usual worker.
    left: f64,
    began: u64,
    /// Time for which a task of the slowing kind was there, in milliseconds.
    beside: u64,
}

/// Runs of several kinds on workers.
pub(super) struct Replay {
    pub(super) neighbours: Neighbours,
    pub(super) rng: SmallRng,
    pub(super) now: u64,
    /// Factor by which each worker is slower than a usual one.
    pub(super) slowness: Vec<f64>,
    /// Factor by which the second kind of a pair makes the first one slower.
    pub(super) pairs: Vec<(usize, usize, f64)>,
    /// Time that a task takes, relative to its estimate.
    pub(super) noise: fn(&mut SmallRng) -> f64,
    pub(super) queues: Vec<model::Queue>,
    workers: Vec<WorkerKey>,
    jobs: SlotMap<JobKey, ()>,
    runs: SlotMap<RunKey, ()>,
    live: Vec<Live>,
    /// Number of runs that have ended.
    pub(super) ended: u32,
    /// Number of these that were slowed down for at least half of their time.
    pub(super) slowed: u32,
}

/// Between 90 and 110 % of the estimate.
pub(super) fn calm(rng: &mut SmallRng) -> f64 {
    rng.random_range(0.9..1.1)
}

/// Between 50 and 150 % of the estimate.
pub(super) fn wild(rng: &mut SmallRng) -> f64 {
    rng.random_range(0.5..1.5)
}

/// About normal logarithms with a standard deviation of 0.5.
pub(super) fn skewed(rng: &mut SmallRng) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random_range(-0.5..0.5)).sum();
    (sum * 0.5).exp()
}

impl Replay {
    pub(super) fn new(seed: u64, workers: usize, kinds: usize) -> Self {
        let mut keys = SlotMap::with_key();
        let mut neighbours = Neighbours::default();
        neighbours.activate();
        Self {
            neighbours,
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            slowness: vec![1.0; workers],
            pairs: Vec::new(),
            noise: calm,
            queues: (0..kinds)
                .map(|n| make::queue(&format!("q{n}"), 0))
                .collect(),
            workers: (0..workers).map(|_| keys.insert(())).collect(),
            jobs: SlotMap::with_key(),
            runs: SlotMap::with_key(),
            live: Vec::new(),
            ended: 0,
            slowed: 0,
        }
    }

    /// Starts a task of a job of its own on a worker.
    pub(super) fn start(&mut self, kind: usize, at: usize) {
        let (run, job) = (self.runs.insert(()), self.jobs.insert(()));
        let step = make::step(1, 1_000);
        let task = Task {
            queue: &self.queues[kind],
            step: &step,
            number: 0,
            accepted: self.now,
            measured: true,
        };
        self.neighbours
            .begin(run, self.workers[at], &task, self.now);
        self.live.push(Live {
            run,
            job,
            at,
            kind,
            left: ESTIMATE as f64 * (self.noise)(&mut self.rng),
            began: self.now,
            beside: 0,
        });
    }

    /// Number of tasks of a kind that run.
    pub(super) fn count(&self, kind: usize) -> usize {
        self.live.iter().filter(|run| run.kind == kind).count()
    }

    /// Factor by which a run is slowed down by those beside it.
    fn factor(&self, run: &Live) -> f64 {
        let there = |by: usize| {
            let others = self.live.iter().filter(|o| o.run != run.run);
            others.filter(|o| o.at == run.at && o.kind == by).count() > 0
        };
        let pairs = self.pairs.iter();
        let pairs = pairs.filter(|(slowed, by, _)| *slowed == run.kind && there(*by));
        pairs.map(|(_, _, factor)| factor).product()
    }

    pub(super) fn step(&mut self) {
        self.now += STEP;
        let factors: Vec<f64> = self.live.iter().map(|run| self.factor(run)).collect();
        for (run, factor) in self.live.iter_mut().zip(factors) {
            run.left -= STEP as f64 / factor / self.slowness[run.at];
            run.beside += if factor > 1.0 { STEP } else { 0 };
        }
        let now = self.now;
        let over: Vec<Live> = self.live.extract_if(.., |run| run.left <= 0.0).collect();
        for run in over {
            let success = Success {
                worker: self.workers[run.at],
                job: run.job,
                took: now - run.began,
                estimate: ESTIMATE,
            };
            self.ended += 1;
            self.slowed += u32::from(run.beside * 2 >= success.took);
            self.neighbours.end(run.run, Some(success), now);
        }
        self.neighbours.tick(now);
    }

    /// Runs until `ended` tasks have ended, with `counts` tasks of each kind on workers chosen by
    /// `place`, or until a pair is known if `learns`.
    pub(super) fn run(
        &mut self,
        ended: u32,
        counts: &[usize],
        learns: bool,
        place: impl Fn(&mut SmallRng, usize) -> usize,
    ) {
        while self.ended < ended && !(learns && self.neighbours.has_pairs()) {
            for (kind, count) in counts.iter().enumerate() {
                while self.count(kind) < *count {
                    let at = place(&mut self.rng, kind);
                    self.start(kind, at);
                }
            }
            self.step();
        }
    }

    /// Known pairs as indices of queues.
    pub(super) fn known(&self) -> Vec<(usize, usize)> {
        let index = |name: &str| name[1..].split('#').next().unwrap().parse().unwrap();
        let pairs = self.neighbours.pairs();
        let pairs = pairs.iter().map(|p| (index(&p.slowed), index(&p.by)));
        pairs.collect()
    }
}
