//! Shares of organisations over seconds, replayed on simulated workers.

use bamboolock::cell::model;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    driver::{
        Back,
        Cell,
        STEP, //
    },
    make,
    shares, //
};

/// CPU of a simulated worker, in millicores.
const WORKER: u64 = 8_000;

/// Memory of a simulated worker, in MiB.
const MEMORY: u64 = 100_000;

/// Number of simulated workers.
const WORKERS: usize = 10;

/// Work that an organisation always has waiting.
struct Source {
    name: &'static str,
    step: model::Step,
    sent: u32,
}

impl Source {
    fn new(name: &'static str, millicores: u32, memory: u32) -> Self {
        let mut step = make::step(1, millicores);
        step.demand.memory = memory;
        step.estimate = 500;
        Self {
            name,
            step,
            sent: 0,
        }
    }

    fn send(&mut self, cell: &mut Cell) {
        let id = format!("{}-{}", self.name, self.sent);
        self.sent += 1;
        cell.submit_for(&id, self.name, make::work(vec![self.step.clone()]));
    }

    /// Number of jobs of which nothing has started.
    fn waiting(&self, cell: &Cell) -> usize {
        let ids = (0..self.sent).rev().map(|n| format!("{}-{n}", self.name));
        let recent = ids.take(200);
        let waits = |id: &String| cell.state(id).is_none_or(|s| s == model::State::Pending);
        recent.filter(waits).count()
    }

    /// Parts of the cell's CPU and memory that the runs take.
    fn share(&self, cell: &Cell) -> f64 {
        let runs = cell.engine.cluster.runs.values();
        let own = runs
            .filter(|run| run.name.job.starts_with(self.name))
            .count() as u64;
        let part = |need: u32, all: u64| (own * u64::from(need)) as f64 / all as f64;
        let cpu = part(self.step.demand.millicores, WORKER * WORKERS as u64);
        cpu.max(part(self.step.demand.memory, MEMORY * WORKERS as u64))
    }
}

/// Organisations whose tasks are larger, or need another resource, must get their share from one whose
/// small tasks fill all workers, and only their share.
#[test]
fn backlogged_organisations_get_their_weighted_share_within_a_tenth() {
    let mut cell = Cell::new(WORKERS, Back::Itself);
    let list = [("a", 2_000.0), ("b", 1_000.0), ("c", 1_000.0)];
    let list = list.map(|(name, weight)| shares::organisation(name, weight, 0));
    cell.configure(&list);
    // Tasks that started together must not end together, which would make room for larger ones.
    (cell.duration, cell.spread) = (300, 400);
    let mut sources = [
        Source::new("a", 1_000, 100),
        Source::new("b", 3_000, 100),
        Source::new("c", 2_900, 37_500),
    ];
    let begun = cell.now;
    let mut sums = [0.0; 3];
    let mut samples = 0.0;
    while cell.now < begun + 9_500 {
        let age = cell.now - begun;
        for (at, source) in sources.iter_mut().enumerate() {
            if age.is_multiple_of(100) && (at == 0 || age >= 3_000) {
                for _ in source.waiting(&cell)..40 {
                    source.send(&mut cell);
                }
            }
        }
        cell.run(STEP);
        if age >= 4_500 {
            samples += 1.0;
            for (sum, source) in sums.iter_mut().zip(&sources) {
                *sum += source.share(&cell);
            }
        }
    }
    let mean = sums.map(|sum| sum / samples);
    println!("mean shares {mean:?}");
    for (mean, share) in mean.iter().zip([0.5, 0.25, 0.25]) {
        assert!((mean / share - 1.0).abs() <= 0.1, "{mean} of {share}");
    }
    assert_eq!(cell.judge.violations, Vec::<String>::new());
}

/// An organisation that sends many times its usual load must take only from itself.
#[test]
fn the_smallest_organisation_is_served_beside_a_hot_one() {
    let mut cell = Cell::new(WORKERS, Back::Itself);
    let names = ["hot", "mid", "low"];
    let list = [("hot", 60.0), ("mid", 60.0), ("low", 10.0)];
    let list = list.map(|(name, weight)| shares::organisation(name, weight, 0));
    cell.configure(&list);
    let mut sources = names.map(|name| Source::new(name, 1_000, 100));
    let begun = cell.now;
    // The cell serves about 157 jobs a second; in 100 ms come 40, 5 and 1.
    let rates = [40, 5, 1];
    let mut counted = [0; 3];
    while cell.now < begun + 5_000 {
        let age = cell.now - begun;
        if age.is_multiple_of(100) {
            for (source, rate) in sources.iter_mut().zip(rates) {
                (0..rate).for_each(|_| source.send(&mut cell));
            }
        }
        if age == 4_000 {
            counted = [0, 1, 2].map(|at| sources[at].sent);
        }
        cell.run(STEP);
    }
    let served = [0, 1, 2].map(|at| {
        let ids = (0..counted[at]).map(|n| format!("{}-{n}", names[at]));
        let done = ids.filter(|id| cell.state(id) == Some(model::State::Completed));
        done.count() as f64 / f64::from(counted[at])
    });
    let mean = served.iter().sum::<f64>() / 3.0;
    println!("served {served:?}");
    assert!(served[0] < 0.5, "there is too little capacity: {served:?}");
    assert!(served[2] >= 0.9 && served[2] >= 0.9 * mean, "{served:?}");
    assert!(served[1] >= 0.9, "{served:?}");
}

/// Jobs of several organisations, for the replay below.
struct Chaos {
    cell: Cell,
    rng: StdRng,
    /// Open jobs with their organisation.
    open: Vec<(String, usize)>,
    sent: u32,
    /// Most that each organisation has had running, in millicores.
    most: [u32; 3],
}

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Caps of the organisations, in millicores.
const CAPS: [u32; 3] = [5_000, 9_000, 0];

/// Demand of the largest task, in millicores.
const LARGEST: u32 = 3_000;

impl Chaos {
    fn new(seed: u64) -> Self {
        let mut cell = Cell::new(6, Back::Itself);
        let at = [0, 1, 2];
        cell.configure(&at.map(|at| shares::organisation(NAMES[at], 5.0, CAPS[at])));
        Self {
            cell,
            rng: StdRng::seed_from_u64(seed),
            open: Vec::new(),
            sent: 0,
            most: [0; 3],
        }
    }

    fn submit(&mut self) {
        let rng = &mut self.rng;
        let count = rng.random_range(1..4);
        let step = |at: u32, rng: &mut StdRng| model::Step {
            gang: rng.random_ratio(1, 5),
            copies: rng.random_ratio(1, 8),
            depends_on: if at > 0 { vec![at - 1] } else { Vec::new() },
            ..make::step(rng.random_range(1..5), rng.random_range(1..7) * 500)
        };
        let mut steps: Vec<model::Step> = (0..count).map(|at| step(at, rng)).collect();
        let organisation = rng.random_range(0..3);
        for step in &mut steps {
            // A gang that is wider than its cap never starts.
            let cap = CAPS[organisation];
            step.gang &= cap == 0 || step.count * step.demand.millicores <= cap;
            step.copies &= !step.gang;
        }
        let id = format!("{:016x}", self.sent);
        self.sent += 1;
        let name = NAMES[organisation];
        self.cell.submit_for(&id, name, make::work(steps));
        self.open.push((id, organisation));
    }

    /// Lets something happen at random.
    fn disturb(&mut self) {
        let now = self.cell.now;
        let machine = self.rng.random_range(0..6);
        match self.rng.random_range(0..4_000) {
            0..150 if self.open.len() < 40 => self.submit(),
            150..170 if !self.open.is_empty() => {
                let at = self.rng.random_range(0..self.open.len());
                let (id, _) = &self.open[at];
                self.cell.engine.cancel(id, now);
            }
            170..185 => self.cell.cuts[machine] = now + self.rng.random_range(100..8_000),
            185..188 if self.cell.is_up(machine) => self.cell.crash(machine),
            188..198 => self.cell.replace_owner(),
            198..208 => self.cell.unanswered = !self.cell.unanswered,
            // What is not stored is not known to the next owner.
            208..218 => self.cell.outage = now + self.rng.random_range(100..3_000),
            _ => {}
        }
        self.cell.duration = self.rng.random_range(100..1_500);
    }

    /// Ends all faults and waits until no job is open.
    fn settle(&mut self, seed: u64) {
        let now = self.cell.now;
        self.cell.cuts.fill(now);
        (self.cell.unanswered, self.cell.outage) = (false, now);
        self.cell.duration = 100;
        let open = std::mem::take(&mut self.open);
        let over = |cell: &Cell, id: &str| match cell.state(id) {
            Some(state) => state.is_final(),
            None => !cell.engine.is_known(id),
        };
        self.cell.run(60_000);
        let rest = open.iter().filter(|(id, _)| !over(&self.cell, id));
        let rest: Vec<String> = rest.map(|(id, _)| self.describe(id)).collect();
        assert!(rest.is_empty(), "seed {seed}: {rest:#?}");
    }

    /// Describes a job that has not ended, for a failed run.
    fn describe(&self, id: &str) -> String {
        let jobs = &self.cell.engine.jobs;
        let job = jobs.values().find(|job| job.id == id);
        let steps = job.map(|job| &job.occurrences[0].steps);
        let waiting = steps.map(|steps| {
            let steps = steps.iter();
            let counts = steps.map(|s| (s.left, s.waiting(), s.active(), s.broken, s.queued));
            counts.collect::<Vec<_>>()
        });
        let known = &self.cell.judge.jobs[id];
        format!("{id}: {known:?}, left, waiting, active, broken, queued {waiting:?}")
    }

    fn check(&mut self, seed: u64) {
        let mut used = [0; 3];
        for (id, organisation) in &self.open {
            used[*organisation] += self.cell.used_by(id);
        }
        for at in 0..3 {
            self.most[at] = self.most[at].max(used[at]);
            let bound = CAPS[at] + LARGEST;
            let now = self.cell.now;
            assert!(
                CAPS[at] == 0 || used[at] <= bound,
                "seed {seed} at {now}: {} runs {} millicores",
                NAMES[at],
                used[at]
            );
        }
    }
}

/// Whatever happens to owners, workers, jobs and the store, no organisation may have more running than its cap and
/// one task.
#[test]
fn caps_hold_through_changes_of_owner() {
    for seed in [1, 2, 3] {
        let mut chaos = Chaos::new(seed);
        let begun = chaos.cell.now;
        while chaos.cell.now < begun + 40_000 {
            chaos.disturb();
            chaos.cell.run(STEP);
            chaos.check(seed);
            if chaos.cell.now.is_multiple_of(1_000) {
                let cell = &chaos.cell;
                let over = |id: &str| cell.state(id).is_some_and(model::State::is_final);
                chaos
                    .open
                    .retain(|(id, _)| !over(id) || cell.used_by(id) > 0);
            }
        }
        println!("seed {seed}: {} jobs, most {:?}", chaos.sent, chaos.most);
        let busy = (0..2).all(|at| chaos.most[at] > CAPS[at] * 3 / 4);
        assert!(busy, "the caps were reached: {:?}", chaos.most);
        chaos.settle(seed);
    }
}
