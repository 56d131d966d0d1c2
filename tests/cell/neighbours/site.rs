//! An owner with simulated workers on which tasks of queue `b` slow down those of queue `a`.

use std::collections::BTreeMap;

use bamboolock::cell::{
    engine::{
        Action,
        Engine, //
    },
    model::{
        EndedRun,
        LiveRun,
        Outcome,
        Reply,
        Report,
        TaskName,
        Verdict, //
    }, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use super::super::make::{
    self,
    START, //
};

/// Length of a step, in milliseconds.
const STEP: u64 = 20;

struct Run {
    task: TaskName,
    number: u32,
    /// Whether the task slows down those of the other kind.
    noisy: bool,
    /// Time that the task takes alone, and what is left of it, in milliseconds.
    alone: f64,
    left: f64,
    began: u64,
    /// Time beside a noisy task, in milliseconds.
    beside: u64,
}

#[derive(Default)]
struct Machine {
    running: Vec<Run>,
    ended: Vec<EndedRun>,
    next: u64,
}

/// Run of a task that can be slowed down.
#[derive(Debug, Clone, Copy)]
struct Past {
    began: u64,
    took: f64,
    alone: f64,
    beside: bool,
}

struct Site {
    engine: Engine,
    machines: Vec<Machine>,
    rng: SmallRng,
    now: u64,
    /// Cores of a worker; each task takes one.
    cores: u32,
    /// Factor by which noisy tasks make others slower.
    factor: f64,
    /// Jobs that arrive in a second, of the quiet and of the noisy kind.
    rates: [f64; 2],
    arrived: usize,
    /// Time that each job takes alone, in milliseconds, and whether it is noisy.
    jobs: BTreeMap<String, (f64, bool)>,
    log: Vec<(String, Option<Vec<u8>>)>,
    past: Vec<Past>,
    completed: usize,
    /// Sum of the numbers of running tasks over all steps.
    busy: usize,
}

fn name(at: usize) -> String {
    format!("w{at}")
}

impl Site {
    fn new(seed: u64, workers: usize, cores: u32, active: bool) -> Self {
        let mut site = Self {
            engine: make::owner(&[]),
            machines: (0..workers).map(|_| Machine::default()).collect(),
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            factor: 2.0,
            cores,
            rates: [12.0, 2.0],
            arrived: 0,
            jobs: BTreeMap::new(),
            log: Vec::new(),
            past: Vec::new(),
            completed: 0,
            busy: 0,
        };
        site.list();
        if active {
            site.engine.watch_neighbours();
        }
        site.run(100, false);
        site
    }

    /// Lets the owner read the registrations.
    fn list(&mut self) {
        for at in 0..self.machines.len() {
            self.engine
                .register(make::worker(&name(at), 1, self.cores * 1_000));
        }
        self.engine.registrations_read(self.now);
    }

    fn arrive(&mut self, noisy: bool) {
        self.arrived += 1;
        let id = format!("{:016x}", self.arrived);
        let alone = self.rng.random_range(900.0..1_100.0);
        self.jobs.insert(id.clone(), (alone, noisy));
        let queue = make::queue(if noisy { "b" } else { "a" }, 0);
        let work = make::work(vec![make::step(1, 1_000)]);
        self.engine.submit(&id, queue, work, self.now).unwrap();
    }

    fn run(&mut self, time: u64, arrivals: bool) {
        let until = self.now + time;
        while self.now < until {
            self.step(arrivals);
        }
    }

    fn step(&mut self, arrivals: bool) {
        self.now += STEP;
        let now = self.now;
        for at in 0..self.machines.len() {
            self.advance(at);
        }
        for noisy in [false, true] {
            let chance = self.rates[usize::from(noisy)] * STEP as f64 / 1_000.0;
            let mut count = chance.trunc() as u32;
            count += u32::from(self.rng.random_bool(chance.fract()));
            for _ in 0..if arrivals { count } else { 0 } {
                self.arrive(noisy);
            }
        }
        if now.is_multiple_of(500) {
            self.list();
        }
        self.engine.set_wall_clock(now, now);
        self.engine.tick(now);
        self.log.extend(make::store(&mut self.engine, now));
        if self.engine.pass_needed {
            self.engine.schedule(now);
        }
        self.log.extend(make::store(&mut self.engine, now));
        for action in std::mem::take(&mut self.engine.actions) {
            self.act(action);
        }
    }

    fn advance(&mut self, at: usize) {
        let (now, factor) = (self.now, self.factor);
        let machine = &mut self.machines[at];
        self.busy += machine.running.len();
        let noise = machine.running.iter().any(|run| run.noisy);
        for run in &mut machine.running {
            let slowed = noise && !run.noisy;
            run.left -= STEP as f64 / if slowed { factor } else { 1.0 };
            run.beside += if slowed { STEP } else { 0 };
        }
        let over = |run: &mut Run| run.left <= 0.0;
        for run in machine.running.extract_if(.., over) {
            machine.next += 1;
            let end = make::end(machine.next, run.task, run.number, Outcome::Done);
            machine.ended.push(end);
            self.completed += 1;
            let took = (now - run.began) as f64;
            let beside = run.beside as f64 * 2.0 >= took;
            if !run.noisy {
                self.past.push(Past {
                    began: run.began,
                    took,
                    alone: run.alone,
                    beside,
                });
            }
        }
    }

    fn act(&mut self, action: Action) {
        let now = self.now;
        let clock = now - START + 500;
        match action {
            Action::Start(key) => {
                let Some(call) = self.engine.start_command(key, now) else {
                    return;
                };
                let at: usize = call.to.worker[1..].parse().unwrap();
                let (alone, noisy) = self.jobs[call.task.job.as_str()];
                self.machines[at].running.push(Run {
                    task: call.task.clone(),
                    number: call.run,
                    noisy,
                    alone,
                    left: alone,
                    began: now,
                    beside: 0,
                });
                let reply = Reply {
                    verdict: Verdict::Accepted,
                    clock: Some(clock),
                };
                self.engine.start_answered(key, Ok(reply), now);
            }
            Action::Poll(key) => {
                let Some(call) = self.engine.poll_command(key, now) else {
                    return;
                };
                let at: usize = call.to.worker[1..].parse().unwrap();
                let machine = &mut self.machines[at];
                machine.ended.retain(|end| end.number > call.acked);
                let live = |run: &Run| LiveRun {
                    task: run.task.clone(),
                    run: run.number,
                    checkpoint: "".into(),
                    used: None,
                };
                let report = Report {
                    incarnation: 1,
                    clock,
                    running: machine.running.iter().map(live).collect(),
                    ended: machine.ended.clone(),
                    ..Report::default()
                };
                let (sent, seen) = (call.sent_at, call.acked);
                self.engine.apply_report(key, sent, seen, &report, now);
            }
            Action::Stop(_) | Action::Query(_) => {}
        }
    }

    /// Runs until a pair is known, for a minute at most.
    fn learn(&mut self) {
        let until = self.now + 60_000;
        while !self.engine.neighbours.has_pairs() {
            assert!(self.now < until, "no pair was learned");
            self.step(true);
        }
        let pairs = self.engine.neighbours.pairs();
        let names = pairs.iter().map(|p| (p.slowed.as_str(), p.by.as_str()));
        assert_eq!(names.collect::<Vec<_>>(), [("a#0", "b#0")]);
    }

    /// Quiet runs that began at or after `since`: their 95th percentile relative to that of the times
    /// alone, and the share of them that were beside a noisy one.
    fn slowdown(&self, since: u64) -> (f64, f64) {
        let runs = self.past.iter().filter(|run| run.began >= since);
        let runs: Vec<Past> = runs.copied().collect();
        let tail = |time: fn(&Past) -> f64| {
            let mut times: Vec<f64> = runs.iter().map(time).collect();
            times.sort_by(f64::total_cmp);
            times[times.len() * 95 / 100]
        };
        let beside = runs.iter().filter(|run| run.beside).count();
        let share = beside as f64 / runs.len() as f64;
        (tail(|run| run.took) / tail(|run| run.alone), share)
    }
}

#[test]
fn an_interfering_pair_is_kept_apart_after_few_of_its_runs() {
    for seed in 0..3 {
        let mut site = Site::new(seed, 24, 2, true);
        site.learn();
        let slowed = site.past.iter().filter(|run| run.beside).count();
        assert!(slowed <= 20, "{slowed} runs, seed {seed}");
        let known = site.now;
        site.run(90_000, true);
        let (ratio, share) = site.slowdown(known);
        assert!(ratio <= 1.1, "{ratio}, {share} beside, seed {seed}");
    }
    let mut site = Site::new(0, 24, 2, false);
    site.run(30_000, true);
    let (ratio, _) = site.slowdown(START);
    assert!(
        ratio > 1.3,
        "the pair interferes unless kept apart: {ratio}"
    );
}

/// Guards against throughput that is lost for the sake of separation, and against capacity that is left
/// idle: runs that are slowed down less may hide it.
#[test]
fn full_workers_do_as_much_as_without_separation() {
    let (mut with, mut without) = ([0; 2], [0; 2]);
    for seed in 0..4 {
        for (active, sum) in [(true, &mut with), (false, &mut without)] {
            let mut site = Site::new(seed, 12, 4, active);
            // Below the capacity at first, so that the pair becomes known, and above it then.
            site.rates = [20.0, 2.0];
            site.run(20_000, true);
            assert_eq!(site.engine.neighbours.has_pairs(), active, "seed {seed}");
            site.rates = [50.0, 5.0];
            site.run(5_000, true);
            let before = [site.completed, site.busy];
            site.run(20_000, true);
            assert!(site.engine.backlog() > 50, "the workers are full");
            sum[0] += site.completed - before[0];
            sum[1] += site.busy - before[1];
        }
    }
    let ratios = [0, 1].map(|n| with[n] as f64 / without[n] as f64);
    let enough = ratios.iter().all(|ratio| *ratio >= 0.99);
    assert!(enough, "{ratios:?}: {with:?} of {without:?}");
}

/// Guards against samples from runs whose start the new owner does not know.
#[test]
fn the_next_owner_learns_again() {
    let mut site = Site::new(7, 24, 2, true);
    site.learn();
    let records = site.log.iter();
    let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
    let mut engine = make::successor(records, site.now);
    engine.watch_neighbours();
    site.engine = engine;
    site.list();
    assert!(!site.engine.neighbours.has_pairs());
    let jobs = site.arrived;
    // All that ends now was started by the earlier owner.
    site.run(4_000, false);
    let [_, runs, _, samples] = site.engine.neighbours.sizes();
    assert_eq!((runs, samples), (0, 0), "of {jobs} jobs");
    site.learn();
}
