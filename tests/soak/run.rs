//! Run of one seed: a cell of real processes under scheduled faults, and the check of the results.

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
        Results, //
    },
    disruptions::{
        Disruptions, //
        Location,
    }, //
    faults::{
        self,
        Fault,
        STOP_MS,
        Scheduled, //
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
};

/// Time after which a published configuration must be in force, by the platform's description.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after the traffic in which every accepted job must end: the platform queries them 14 s
/// after the traffic and allows 3 s without progress.
const FINISH_TIMEOUT: Duration = Duration::from_secs(17);

/// Time in which all instances must become ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a run checks its schedule.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time between a worker's notice that it leaves and its stop, in milliseconds.
const NOTICE_MS: u64 = 4_000;

/// Highest version of the configuration in a run.
const MAX_VERSION: u64 = 60;

/// Number of processes and callers, and length of a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Size {
    pub(super) instances: usize,
    pub(super) workers: usize,
    pub(super) callers: usize,
    /// Time with faults, and time with maintenance alone, in milliseconds.
    pub(super) fault_ms: u64,
    pub(super) maintenance_ms: u64,
}

struct Cell {
    platform: Shared,
    instances: Vec<Instance>,
    /// Whether a fault of its process is active, for each instance.
    faulted: Vec<bool>,
    /// Number of restarts of each instance.
    incarnations: Vec<u32>,
    stores: Vec<Proxy>,
    frontends: Vec<Proxy>,
    workers: Vec<Proxy>,
    /// Whether a fault is restarting, replacing or unlisting the worker, for each worker.
    replacing: Vec<bool>,
    disruptions: Arc<Disruptions>,
    /// Version of the configuration and the time of its publication.
    config: (u64, Instant),
    violations: Vec<String>,
    /// Number of faults that were injected.
    fault_count: u32,
}

/// Returns the configuration of `version`. Version v adds the route `come{v}` and removes the route
/// `go{v}`, so that both show whether it is in force.
fn configuration(version: u64) -> Value {
    let route = |name: String| {
        json!({"name": name, "host": "h", "path_prefix": format!("/{name}/"), "service": "s",
               "target_latency_ms": 1_000, "max_attempts": 9, "stretch": 2.0})
    };
    let added = (1..=version).map(|v| format!("come{v}"));
    let removed = (version + 1..=MAX_VERSION).map(|v| format!("go{v}"));
    let all = ["q".to_owned()].into_iter().chain(added).chain(removed);
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
        let frontends = instances.iter().map(|i| Proxy::start(i.front)).collect();
        let started = Instant::now();
        while !instances.iter().all(Instance::is_ready) {
            assert!(
                started.elapsed() < START_TIMEOUT,
                "the instances do not become ready"
            );
            thread::sleep(POLL_INTERVAL * 10);
        }
        Self {
            platform,
            faulted: vec![false; instances.len()],
            incarnations: vec![0; instances.len()],
            instances,
            stores,
            frontends,
            replacing: vec![false; workers.len()],
            workers,
            disruptions: Arc::new(Disruptions::new(size.instances)),
            config: (1, started),
            violations: Vec::new(),
            fault_count: 0,
        }
    }

    /// Injects a fault. Returns its duration in milliseconds, or `None` if another fault is active
    /// at its target.
    fn begin(&mut self, scheduled: &Scheduled) -> Option<u64> {
        let duration = scheduled.duration;
        match scheduled.fault {
            Fault::Kill(i) => {
                self.claim(i)?;
                self.instances[i].kill();
            }
            Fault::KillAll => {
                if self.faulted.contains(&true) {
                    return None;
                }
                for i in 0..self.instances.len() {
                    self.claim(i)?;
                    self.instances[i].kill();
                }
            }
            Fault::Freeze(i) => {
                self.claim(i)?;
                self.instances[i].signal("STOP");
            }
            Fault::Stop(i) => {
                // A graceful stop is no disruption as long as only one instance is down at a time.
                if self.faulted.contains(&true) {
                    return None;
                }
                self.faulted[i] = true;
                self.instances[i].signal("TERM");
                return Some(STOP_MS);
            }
            Fault::Reload(i) => {
                if self.faulted[i] {
                    return None;
                }
                self.instances[i].signal("HUP");
            }
            Fault::StoreLink(i, mode) => {
                self.disruptions.begin(Location::Instance(i));
                self.stores[i].set(mode);
            }
            Fault::FrontLink(i, mode) => {
                self.disruptions.begin(Location::Instance(i));
                self.frontends[i].set(mode);
            }
            Fault::FrontReset(i) => {
                self.disruptions.begin(Location::Instance(i));
                self.frontends[i].reset();
            }
            Fault::WorkerLink(w, mode) => {
                self.disruptions.begin(Location::Elsewhere);
                self.workers[w].set(mode);
            }
            Fault::WorkerReset(w) => {
                self.disruptions.begin(Location::Elsewhere);
                self.workers[w].reset();
            }
            Fault::Store(fault) => {
                self.disruptions.begin(Location::Store);
                self.platform.lock().unwrap().fault = fault;
            }
            Fault::Crash(w) => {
                self.claim_worker(w)?;
                self.disruptions.begin(Location::Elsewhere);
                self.platform.lock().unwrap().machines[w].up = false;
                return Some(duration.max(1_200));
            }
            Fault::Unlist(w) => {
                self.claim_worker(w)?;
                self.disruptions.begin(Location::Elsewhere);
                self.platform.lock().unwrap().machines[w].unregistered = true;
            }
            Fault::Leave(w) => {
                self.claim_worker(w)?;
                let mut world = self.platform.lock().unwrap();
                let now = world.now();
                world.machines[w].leaving = Some(now);
                world.register();
                return Some(NOTICE_MS);
            }
            Fault::Configure => self.configure(),
        }
        Some(duration)
    }

    /// Reserves an instance for a fault of its process; `None` if one is already active.
    fn claim(&mut self, i: usize) -> Option<()> {
        if std::mem::replace(&mut self.faulted[i], true) {
            return None;
        }
        self.disruptions.begin(Location::Instance(i));
        Some(())
    }

    fn claim_worker(&mut self, w: usize) -> Option<()> {
        let taken = std::mem::replace(&mut self.replacing[w], true);
        (!taken).then_some(())
    }

    fn configure(&mut self) {
        let mut world = self.platform.lock().unwrap();
        // While the store is down, it refuses the operator's publication too.
        if world.fault.down || self.config.0 >= MAX_VERSION {
            return;
        }
        self.config = (self.config.0 + 1, Instant::now());
        world.publish("keyed.op", "config", &configuration(self.config.0));
    }

    fn launch(&mut self, i: usize) {
        self.instances[i].launch();
        self.incarnations[i] += 1;
        self.faulted[i] = false;
    }

    /// Ends a fault and restores its target.
    fn revert(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(i) => {
                self.launch(i);
                self.disruptions.end(Location::Instance(i));
            }
            Fault::KillAll => {
                for i in 0..self.instances.len() {
                    self.launch(i);
                    self.disruptions.end(Location::Instance(i));
                }
            }
            Fault::Freeze(i) => {
                self.instances[i].signal("CONT");
                self.faulted[i] = false;
                self.disruptions.end(Location::Instance(i));
            }
            Fault::Stop(i) => {
                if !self.instances[i].has_ended() {
                    let name = &self.instances[i].name;
                    self.violations
                        .push(format!("{name} did not stop in {STOP_MS} ms"));
                    self.instances[i].kill();
                }
                self.launch(i);
            }
            Fault::StoreLink(i, _) => {
                self.stores[i].set(Mode::Pass);
                self.disruptions.end(Location::Instance(i));
            }
            Fault::FrontLink(i, _) => {
                self.frontends[i].set(Mode::Pass);
                self.disruptions.end(Location::Instance(i));
            }
            Fault::FrontReset(i) => self.disruptions.end(Location::Instance(i)),
            Fault::WorkerLink(w, _) => {
                self.workers[w].set(Mode::Pass);
                self.disruptions.end(Location::Elsewhere);
            }
            Fault::WorkerReset(_) => self.disruptions.end(Location::Elsewhere),
            Fault::Store(_) => {
                self.platform.lock().unwrap().fault = StoreFault::default();
                self.disruptions.end(Location::Store);
            }
            Fault::Crash(w) | Fault::Leave(w) => {
                let mut world = self.platform.lock().unwrap();
                let now = world.now();
                world.machines[w].restart(now);
                world.register();
                self.replacing[w] = false;
                if matches!(fault, Fault::Crash(_)) {
                    self.disruptions.end(Location::Elsewhere);
                }
            }
            Fault::Unlist(w) => {
                self.platform.lock().unwrap().machines[w].unregistered = false;
                self.replacing[w] = false;
                self.disruptions.end(Location::Elsewhere);
            }
            Fault::Reload(_) | Fault::Configure => {}
        }
    }

    /// Runs a schedule to its end and waits until every fault has been reverted.
    fn run_schedule(&mut self, schedule: &[Scheduled], until: u64, probe: &mut Probe) {
        let started = Instant::now();
        let mut next = 0;
        let mut pending: BTreeMap<(u64, usize), Fault> = BTreeMap::new();
        loop {
            let now = started.elapsed().as_millis() as u64;
            while let Some(entry) = pending.first_entry()
                && (entry.key().0 <= now)
            {
                let fault = entry.remove();
                self.revert(fault);
            }
            if let Some(scheduled) = schedule.get(next)
                && scheduled.at <= now
            {
                next += 1;
                if let Some(duration) = self.begin(scheduled) {
                    self.fault_count += 1;
                    pending.insert((now + duration, next), scheduled.fault);
                }
            }
            let informed = self.disruptions.all_stable();
            self.platform.lock().unwrap().judge.informed = informed;
            probe.check(self);
            if now >= until && pending.is_empty() {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Checks on the instances in turn which configuration is in force.
struct Probe {
    clients: Vec<Client>,
    tick: usize,
    /// Incarnation and highest version seen of each instance.
    seen: Vec<(u32, u64)>,
    violations: Vec<String>,
    answers: u32,
}

impl Probe {
    fn new(cell: &Cell) -> Self {
        let clients = cell
            .frontends
            .iter()
            .map(|front| Client::new(front.address));
        Self {
            clients: clients.collect(),
            tick: 0,
            seen: vec![(0, 0); cell.instances.len()],
            violations: Vec::new(),
            answers: 0,
        }
    }

    fn check(&mut self, cell: &Cell) {
        self.tick += 1;
        let at = self.tick % self.clients.len();
        if !self.tick.is_multiple_of(5) || cell.faulted[at] || !cell.disruptions.is_stable(at) {
            return;
        }
        let (version, written) = cell.config;
        let due = written.elapsed() > APPLY_TIMEOUT;
        let added = self.clients[at].call("GET", &format!("/come{version}/"), "");
        let removed = self.clients[at].call("GET", &format!("/go{version}/"), "");
        let (Ok((added, ..)), Ok((removed, ..))) = (added, removed) else {
            return;
        };
        self.answers += 1;
        let incarnation = cell.incarnations[at];
        let seen = self.seen[at].0 == incarnation && self.seen[at].1 >= version;
        if added == 404 && (due || seen) {
            self.violations.push(format!(
                "version {version} is not in force at instance {at}"
            ));
        }
        if removed != 404 && (due || seen) {
            self.violations.push(format!(
                "a route dropped by version {version} answers {removed} at instance {at}"
            ));
        }
        if added != 404 {
            self.seen[at] = (incarnation, version);
        }
    }
}

fn spawn_callers(callers: &Arc<Callers>, seed: u64, count: usize) -> Vec<JoinHandle<()>> {
    let caller = |n: usize| {
        let callers = callers.clone();
        thread::spawn(move || callers.run(seed * 1_000 + n as u64))
    };
    (0..count).map(caller).collect()
}

/// Runs one seed. Panics with the violations, if any.
pub(super) fn run_seed(seed: u64, size: Size) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let name = format!("soak{seed}");
    let mut cell = Cell::start(&name, size);
    let mut probe = Probe::new(&cell);
    let callers = Arc::new(Callers {
        frontends: cell.frontends.iter().map(|f| f.address).collect(),
        platform: cell.platform.clone(),
        disruptions: cell.disruptions.clone(),
        results: Mutex::new(Results::default()),
        stop: AtomicBool::new(false),
        next: AtomicU64::new(rng.random_range(1..u64::MAX / 2)),
    });
    let threads = spawn_callers(&callers, seed, size.callers);
    let random_faults =
        faults::random_faults(&mut rng, size.instances, size.workers, size.fault_ms);
    cell.run_schedule(&random_faults, size.fault_ms, &mut probe);
    let maintenance =
        faults::maintenance(&mut rng, size.instances, size.workers, size.maintenance_ms);
    cell.run_schedule(&maintenance, size.maintenance_ms, &mut probe);
    callers.stop.store(true, Ordering::Relaxed);
    threads
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    let ended = Instant::now();
    let mut open = callers.unfinished();
    while !open.is_empty() && ended.elapsed() < FINISH_TIMEOUT {
        thread::sleep(Duration::from_millis(300));
        open = callers.unfinished();
    }
    let took = ended.elapsed();
    let open = open.iter().map(|id| format!("{id} has not ended"));
    let mut violations: Vec<String> = open.collect();
    violations.append(&mut probe.violations);
    violations.append(&mut cell.violations);
    let mut results = std::mem::take(&mut *callers.results.lock().unwrap());
    violations.append(&mut results.violations);
    let judge = std::mem::take(&mut cell.platform.lock().unwrap().judge);
    violations.extend(judge.violations);
    let checked = results.checked + probe.answers;
    println!(
        "seed {seed}: {} faults, {} jobs accepted, {} refused, {} unknown, {} starts, {} done, {checked} answers checked, last job after {took:?}",
        cell.fault_count,
        results.accepted,
        results.refused,
        results.unknown,
        judge.starts,
        judge.completions
    );
    if !violations.is_empty() {
        random_faults
            .iter()
            .chain(&maintenance)
            .for_each(|scheduled| println!("{scheduled:?}"));
    }
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(
        results.accepted > 20 && judge.completions > 50 && checked > 50,
        "seed {seed}: too few jobs, runs or checked answers"
    );
}
