//! One run: a cell of real processes under a series of faults, and the verdict.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use serde_json::{
    Value,
    json, //
};

use super::{
    callers::{
        Callers,
        Client,
        Ledger, //
    },
    faults::{
        self,
        Fault,
        GRACE,
        Planned, //
    },
    processes::Instance,
    proxy::{
        Mode,
        Proxy, //
    },
    standin::{
        self,
        Shared,
        StoreFault, //
    },
    touch::{
        At,
        Touch, //
    }, //
};

/// Time until a configuration must be in force, by the platform's description.
const APPLY: Duration = Duration::from_millis(2_500);

/// Time in which every accepted job must end after the traffic: the platform asks for them 14 s
/// after it and lets 3 s pass without progress.
const FINISH: Duration = Duration::from_secs(17);

/// Time for all instances to become ready at the start.
const START: Duration = Duration::from_secs(20);

/// Time between two steps of a run.
const STEP: Duration = Duration::from_millis(10);

/// Time between a worker's word that it leaves and its end, in milliseconds.
const NOTICE: u64 = 4_000;

/// Versions of the configuration that a run may reach.
const VERSIONS: u64 = 60;

/// How large and how long a run is.
#[derive(Debug, Clone, Copy)]
pub(super) struct Size {
    pub(super) instances: usize,
    pub(super) workers: usize,
    pub(super) callers: usize,
    /// Time with faults, and time with planned work alone, in milliseconds.
    pub(super) troubled: u64,
    pub(super) calm: u64,
}

struct Cell {
    platform: Shared,
    instances: Vec<Instance>,
    /// Whether a fault holds the process of each.
    held: Vec<bool>,
    /// Number of starts of each.
    lives: Vec<u32>,
    stores: Vec<Proxy>,
    fronts: Vec<Proxy>,
    workers: Vec<Proxy>,
    /// Whether a worker is being replaced.
    replaced: Vec<bool>,
    touch: Arc<Touch>,
    /// Version of the configuration, and when it was written.
    config: (u64, Instant),
    broken: Vec<String>,
    /// Faults that were brought about.
    count: u32,
}

/// A configuration with a route that comes with each version up to `version`, and one that goes
/// with each later one.
fn configuration(version: u64) -> Value {
    let route = |name: String| {
        json!({"name": name, "host": "h", "path_prefix": format!("/{name}/"), "service": "s",
               "target_latency_ms": 1_000, "max_attempts": 9, "stretch": 2.0})
    };
    let come = (1..=version).map(|v| format!("come{v}"));
    let go = (version + 1..=VERSIONS).map(|v| format!("go{v}"));
    let all = ["q".to_owned()].into_iter().chain(come).chain(go);
    let routes: Vec<Value> = all.map(route).collect();
    json!({"version": version, "routes": routes, "services": [{"name": "s"}]})
}

impl Cell {
    fn start(name: &str, size: Size) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let proxies = |count: usize| (0..count).map(|_| Proxy::start(address)).collect();
        let workers: Vec<Proxy> = proxies(size.workers);
        let stores: Vec<Proxy> = proxies(size.instances);
        let at: Vec<_> = workers.iter().map(|w| w.address).collect();
        let platform = standin::serve_at(listener, &at, 8_000);
        {
            let mut world = platform.lock().unwrap();
            world.judge.attempts = 9;
            world.publish("keyed.op", "config", &configuration(1));
        }
        let instance =
            |(n, store): (usize, &Proxy)| Instance::start(&format!("{name}-i{n}"), store.address);
        let instances: Vec<Instance> = stores.iter().enumerate().map(instance).collect();
        let fronts = instances.iter().map(|i| Proxy::start(i.front)).collect();
        let began = Instant::now();
        while !instances.iter().all(Instance::is_ready) {
            assert!(began.elapsed() < START, "the instances do not become ready");
            thread::sleep(STEP * 10);
        }
        Self {
            platform,
            held: vec![false; instances.len()],
            lives: vec![0; instances.len()],
            instances,
            stores,
            fronts,
            replaced: vec![false; workers.len()],
            workers,
            touch: Arc::new(Touch::new(size.instances)),
            config: (1, began),
            broken: Vec::new(),
            count: 0,
        }
    }

    /// Brings a fault about; returns how long it lasts, or none when something else holds its place.
    fn begin(&mut self, planned: &Planned) -> Option<u64> {
        let lasts = planned.lasts;
        match planned.fault {
            Fault::Kill(i) => {
                self.hold(i)?;
                self.instances[i].kill();
            }
            Fault::KillAll => {
                if self.held.contains(&true) {
                    return None;
                }
                for i in 0..self.instances.len() {
                    self.hold(i)?;
                    self.instances[i].kill();
                }
            }
            Fault::Freeze(i) => {
                self.hold(i)?;
                self.instances[i].signal("STOP");
            }
            Fault::Stop(i) => {
                // Planned work is no disruption, but one at a time keeps the cell served.
                if self.held.contains(&true) {
                    return None;
                }
                self.held[i] = true;
                self.instances[i].signal("TERM");
                return Some(GRACE);
            }
            Fault::Reload(i) => {
                if self.held[i] {
                    return None;
                }
                self.instances[i].signal("HUP");
            }
            Fault::StoreLink(i, mode) => {
                self.touch.begin(At::Instance(i));
                self.stores[i].set(mode);
            }
            Fault::FrontLink(i, mode) => {
                self.touch.begin(At::Instance(i));
                self.fronts[i].set(mode);
            }
            Fault::FrontReset(i) => {
                self.touch.begin(At::Instance(i));
                self.fronts[i].reset();
            }
            Fault::WorkerLink(w, mode) => {
                self.touch.begin(At::Elsewhere);
                self.workers[w].set(mode);
            }
            Fault::WorkerReset(w) => {
                self.touch.begin(At::Elsewhere);
                self.workers[w].reset();
            }
            Fault::Store(fault) => {
                self.touch.begin(At::Store);
                self.platform.lock().unwrap().fault = fault;
            }
            Fault::Crash(w) => {
                self.replace(w)?;
                self.touch.begin(At::Elsewhere);
                self.platform.lock().unwrap().machines[w].up = false;
                return Some(lasts.max(1_200));
            }
            Fault::Unlist(w) => {
                self.replace(w)?;
                self.touch.begin(At::Elsewhere);
                self.platform.lock().unwrap().machines[w].unregistered = true;
            }
            Fault::Leave(w) => {
                self.replace(w)?;
                let mut world = self.platform.lock().unwrap();
                let now = world.now();
                world.machines[w].leaving = Some(now);
                world.register();
                return Some(NOTICE);
            }
            Fault::Configure => self.configure(),
        }
        Some(lasts)
    }

    /// Takes an instance for a fault of its process.
    fn hold(&mut self, i: usize) -> Option<()> {
        if std::mem::replace(&mut self.held[i], true) {
            return None;
        }
        self.touch.begin(At::Instance(i));
        Some(())
    }

    fn replace(&mut self, w: usize) -> Option<()> {
        let taken = std::mem::replace(&mut self.replaced[w], true);
        (!taken).then_some(())
    }

    fn configure(&mut self) {
        let mut world = self.platform.lock().unwrap();
        // The operator is refused as well while the store is down.
        if world.fault.down || self.config.0 >= VERSIONS {
            return;
        }
        self.config = (self.config.0 + 1, Instant::now());
        world.publish("keyed.op", "config", &configuration(self.config.0));
    }

    fn launch(&mut self, i: usize) {
        self.instances[i].launch();
        self.lives[i] += 1;
        self.held[i] = false;
    }

    /// Ends a fault.
    fn heal(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(i) => {
                self.launch(i);
                self.touch.end(At::Instance(i));
            }
            Fault::KillAll => {
                for i in 0..self.instances.len() {
                    self.launch(i);
                    self.touch.end(At::Instance(i));
                }
            }
            Fault::Freeze(i) => {
                self.instances[i].signal("CONT");
                self.held[i] = false;
                self.touch.end(At::Instance(i));
            }
            Fault::Stop(i) => {
                if !self.instances[i].has_ended() {
                    let name = &self.instances[i].name;
                    self.broken
                        .push(format!("{name} did not stop in {GRACE} ms"));
                    self.instances[i].kill();
                }
                self.launch(i);
            }
            Fault::StoreLink(i, _) => {
                self.stores[i].set(Mode::Pass);
                self.touch.end(At::Instance(i));
            }
            Fault::FrontLink(i, _) => {
                self.fronts[i].set(Mode::Pass);
                self.touch.end(At::Instance(i));
            }
            Fault::FrontReset(i) => self.touch.end(At::Instance(i)),
            Fault::WorkerLink(w, _) => {
                self.workers[w].set(Mode::Pass);
                self.touch.end(At::Elsewhere);
            }
            Fault::WorkerReset(_) => self.touch.end(At::Elsewhere),
            Fault::Store(_) => {
                self.platform.lock().unwrap().fault = StoreFault::default();
                self.touch.end(At::Store);
            }
            Fault::Crash(w) | Fault::Leave(w) => {
                let mut world = self.platform.lock().unwrap();
                let now = world.now();
                world.machines[w].restart(now);
                world.register();
                self.replaced[w] = false;
                if matches!(fault, Fault::Crash(_)) {
                    self.touch.end(At::Elsewhere);
                }
            }
            Fault::Unlist(w) => {
                self.platform.lock().unwrap().machines[w].unregistered = false;
                self.replaced[w] = false;
                self.touch.end(At::Elsewhere);
            }
            Fault::Reload(_) | Fault::Configure => {}
        }
    }

    /// Plays a series to its end, and heals what is still broken then.
    fn play(&mut self, series: &[Planned], until: u64, probe: &mut Probe) {
        let began = Instant::now();
        let mut next = 0;
        let mut heals: BTreeMap<(u64, usize), Fault> = BTreeMap::new();
        loop {
            let now = began.elapsed().as_millis() as u64;
            while let Some(entry) = heals.first_entry()
                && (entry.key().0 <= now)
            {
                let fault = entry.remove();
                self.heal(fault);
            }
            if let Some(planned) = series.get(next)
                && planned.at <= now
            {
                next += 1;
                if let Some(lasts) = self.begin(planned) {
                    self.count += 1;
                    heals.insert((now + lasts, next), planned.fault);
                }
            }
            let informed = self.touch.is_calm();
            self.platform.lock().unwrap().judge.informed = informed;
            probe.ask(self);
            if now >= until && heals.is_empty() {
                return;
            }
            thread::sleep(STEP);
        }
    }
}

/// Asks the instances in turn which configuration is in force.
struct Probe {
    clients: Vec<Client>,
    turn: usize,
    /// Life and highest version seen of each instance.
    seen: Vec<(u32, u64)>,
    broken: Vec<String>,
    answers: u32,
}

impl Probe {
    fn new(cell: &Cell) -> Self {
        let clients = cell.fronts.iter().map(|front| Client::new(front.address));
        Self {
            clients: clients.collect(),
            turn: 0,
            seen: vec![(0, 0); cell.instances.len()],
            broken: Vec::new(),
            answers: 0,
        }
    }

    fn ask(&mut self, cell: &Cell) {
        self.turn += 1;
        let at = self.turn % self.clients.len();
        if !self.turn.is_multiple_of(5) || cell.held[at] || !cell.touch.has(at) {
            return;
        }
        let (version, written) = cell.config;
        let due = written.elapsed() > APPLY;
        let comes = self.clients[at].call("GET", &format!("/come{version}/"), "");
        let goes = self.clients[at].call("GET", &format!("/go{version}/"), "");
        let (Ok((comes, ..)), Ok((goes, ..))) = (comes, goes) else {
            return;
        };
        self.answers += 1;
        let life = cell.lives[at];
        let seen = self.seen[at].0 == life && self.seen[at].1 >= version;
        if comes == 404 && (due || seen) {
            self.broken.push(format!(
                "version {version} is not in force at instance {at}"
            ));
        }
        if goes != 404 && (due || seen) {
            self.broken.push(format!(
                "a route dropped by version {version} answers {goes} at instance {at}"
            ));
        }
        if comes != 404 {
            self.seen[at] = (life, version);
        }
    }
}

fn work(callers: &Arc<Callers>, seed: u64, count: usize) -> Vec<JoinHandle<()>> {
    let caller = |n: usize| {
        let callers = callers.clone();
        thread::spawn(move || callers.work(seed * 1_000 + n as u64))
    };
    (0..count).map(caller).collect()
}

/// Plays one seed; fails with all that was broken.
pub(super) fn play(seed: u64, size: Size) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let name = format!("soak{seed}");
    let mut cell = Cell::start(&name, size);
    let mut probe = Probe::new(&cell);
    let callers = Arc::new(Callers {
        fronts: cell.fronts.iter().map(|f| f.address).collect(),
        platform: cell.platform.clone(),
        touch: cell.touch.clone(),
        ledger: Mutex::new(Ledger::default()),
        stop: AtomicBool::new(false),
        next: AtomicU64::new(rng.random_range(1..u64::MAX / 2)),
    });
    let working = work(&callers, seed, size.callers);
    let series = faults::series(&mut rng, size.instances, size.workers, size.troubled);
    cell.play(&series, size.troubled, &mut probe);
    let upkeep = faults::upkeep(&mut rng, size.instances, size.workers, size.calm);
    cell.play(&upkeep, size.calm, &mut probe);
    callers.stop.store(true, Ordering::Relaxed);
    working
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    let ended = Instant::now();
    let mut open = callers.unfinished();
    while !open.is_empty() && ended.elapsed() < FINISH {
        thread::sleep(Duration::from_millis(300));
        open = callers.unfinished();
    }
    let took = ended.elapsed();
    let open = open.iter().map(|id| format!("{id} has not ended"));
    let mut broken: Vec<String> = open.collect();
    broken.append(&mut probe.broken);
    broken.append(&mut cell.broken);
    let mut ledger = std::mem::take(&mut *callers.ledger.lock().unwrap());
    broken.append(&mut ledger.broken);
    let judge = std::mem::take(&mut cell.platform.lock().unwrap().judge);
    broken.extend(judge.violations);
    let judged = ledger.judged + probe.answers;
    println!(
        "seed {seed}: {} faults, {} jobs accepted, {} refused, {} unknown, {} starts, {} done, {judged} answers judged, last job after {took:?}",
        cell.count,
        ledger.accepted,
        ledger.refused,
        ledger.unknown,
        judge.starts,
        judge.completions
    );
    if !broken.is_empty() {
        series
            .iter()
            .chain(&upkeep)
            .for_each(|planned| println!("{planned:?}"));
    }
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    assert!(
        ledger.accepted > 20 && judge.completions > 50 && judged > 50,
        "seed {seed}: too little was served"
    );
}
