//! Cell of real processes, and the faults that are injected into it.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::TcpListener,
    ops::Range,
    sync::Arc,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use super::{
    delivery::Faults,
    disruptions::Disruptions,
    faults::{
        Blow,
        Fault,
        Scheduled, //
    },
    inject,
    processes::Instance,
    proxy::Proxy,
    run::{
        Probe,
        Size, //
    },
    standin::{
        self,
        Shared, //
    }, //
};

/// Time in which all instances must become ready at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Delays of commands that reach a later life of their worker, in milliseconds: those that the
/// platform shows.
const LATE_BY_SECONDS: [Range<u64>; 2] = [2_000..7_000, 7_000..12_000];

/// Age of the first life of each worker where such commands are played, in milliseconds: their expiries
/// lie far beyond what the clock of the next life reaches.
const AGE_MS: u64 = 60_000;

/// Runs of which one is a long one there.
const LONG_SHARE: u64 = 2;

/// Interval at which a run checks its schedule.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

pub(super) struct Cell {
    pub(super) platform: Shared,
    pub(super) instances: Vec<Instance>,
    /// Whether a fault of its process is active, for each instance.
    pub(super) faulted: Vec<bool>,
    /// Number of restarts of each instance.
    pub(super) incarnations: Vec<u32>,
    pub(super) stores: Vec<Proxy>,
    pub(super) frontends: Vec<Proxy>,
    pub(super) workers: Vec<Proxy>,
    /// Whether a fault is restarting, replacing or unlisting the worker, for each worker.
    pub(super) replacing: Vec<bool>,
    pub(super) disruptions: Arc<Disruptions>,
    /// Version of the configuration and the time of its publication.
    pub(super) config: (u64, Instant),
    pub(super) violations: Vec<String>,
    /// Number of faults that were injected.
    pub(super) fault_count: u32,
    /// Owner's term after whose claim the next blow falls, and the blows to come.
    blows: (u64, VecDeque<Blow>),
    /// Newest owner, with the time of its claim in milliseconds of the schedule.
    owner: (u64, usize, u64),
    /// What was injected and who owned the cell, with the platform's time.
    pub(super) history: Vec<String>,
}

impl Cell {
    pub(super) fn start(name: &str, seed: u64, size: Size) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let proxies = |count: usize| (0..count).map(|_| Proxy::start(address)).collect();
        let workers: Vec<Proxy> = proxies(size.workers);
        let stores: Vec<Proxy> = proxies(size.instances);
        let at: Vec<_> = workers.iter().map(|w| w.address).collect();
        let platform = standin::serve_at(listener, &at, size.capacity);
        {
            let mut world = platform.lock().unwrap();
            world.judge.attempts = 9;
            world.judge.traced = std::env::var_os("BAMBOOLOCK_TRACE").is_some();
            (world.run_ms, world.long_ms) = size.run_ms;
            world.delivery = Faults::new(seed);
            if size.astray {
                world.astray = true;
                world.long_share = LONG_SHARE;
                world.delivery.late_ms = LATE_BY_SECONDS;
                world.age(AGE_MS);
            }
            world.instances = (0..size.instances)
                .map(|n| format!("{name}-i{n}"))
                .collect();
            world.publish("keyed.op", "config", &inject::configuration(1));
        }
        let instance = |(n, store): (usize, &Proxy)| {
            Instance::start_with_link(&format!("{name}-i{n}"), store.address, 0.0)
        };
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
            blows: (0, VecDeque::new()),
            owner: (0, 0, 0),
            history: Vec::new(),
        }
    }

    fn note(&mut self, text: &str) {
        let now = self.platform.lock().unwrap().now();
        self.history.push(format!("{now} {text}"));
    }

    /// Resolves a fault that is aimed at the present owner.
    fn resolve(&mut self, fault: Fault) -> Option<Fault> {
        let (term, owner, _) = self.owner;
        let all = (1_u64 << self.instances.len()) - 1;
        match fault {
            Fault::Succession(blows) => {
                if self.blows.1.is_empty() {
                    self.blows = (term, VecDeque::from(blows));
                }
                None
            }
            Fault::OwnerCut { others, mut cut } => {
                cut.instances = if others {
                    all & !(1 << owner)
                } else {
                    1 << owner
                };
                Some(Fault::Cut(cut))
            }
            other => Some(other),
        }
    }

    /// Returns the next blow at the owner if it is due.
    fn next_blow(&mut self, now: u64) -> Option<(Fault, u64)> {
        let newest = self.platform.lock().unwrap().owner();
        if let Some((term, owner)) = newest
            && term > self.owner.0
        {
            self.owner = (term, owner, now);
            self.note(&format!("instance {owner} owns the cell in term {term}"));
        }
        let (term, owner, since) = self.owner;
        let blow = *self.blows.1.front()?;
        if term < self.blows.0 || now < since + blow.delay {
            return None;
        }
        self.blows.1.pop_front();
        self.blows.0 = term + 1;
        let fault = match (blow.kill, blow.hold) {
            (true, _) => Fault::Kill(owner),
            (false, true) => Fault::HoldAndFreeze(owner),
            (false, false) => Fault::Freeze(owner),
        };
        Some((fault, blow.duration))
    }

    /// Reports and restarts processes that have ended by themselves.
    fn check_processes(&mut self) {
        for i in 0..self.instances.len() {
            if !self.faulted[i] && self.instances[i].has_ended() {
                let name = &self.instances[i].name;
                self.violations.push(format!("{name} ended by itself"));
                self.launch(i);
            }
        }
    }

    /// Describes all workers, for a failed run.
    pub(super) fn describe_workers(&self) -> Vec<String> {
        let world = self.platform.lock().unwrap();
        let now = world.now();
        world.machines.iter().map(|m| m.describe(now)).collect()
    }

    /// Runs a schedule to its end and waits until every fault has been reverted.
    pub(super) fn run_schedule(&mut self, schedule: &[Scheduled], until: u64, probe: &mut Probe) {
        let started = Instant::now();
        let mut next = 0;
        let mut count = 0;
        let mut pending: BTreeMap<(u64, usize), Fault> = BTreeMap::new();
        // Claims of an earlier schedule count as old.
        self.owner.2 = 0;
        loop {
            let now = started.elapsed().as_millis() as u64;
            let mut due = Vec::new();
            while let Some(entry) = pending.first_entry()
                && (entry.key().0 <= now)
            {
                let fault = entry.remove();
                self.note(&format!("end of {fault:?}"));
                if let Some((next, duration)) = self.revert(fault) {
                    count += 1;
                    pending.insert((now + duration, count), next);
                }
            }
            due.extend(self.next_blow(now));
            if let Some(scheduled) = schedule.get(next)
                && scheduled.at <= now
            {
                next += 1;
                let fault = self.resolve(scheduled.fault);
                due.extend(fault.map(|fault| (fault, scheduled.duration)));
            }
            for (fault, duration) in due {
                if let Some(duration) = self.begin(fault, duration) {
                    self.note(&format!("{fault:?} for {duration} ms"));
                    self.fault_count += 1;
                    count += 1;
                    pending.insert((now + duration, count), fault);
                }
            }
            self.check_processes();
            let stable = self.disruptions.all_stable();
            {
                let mut world = self.platform.lock().unwrap();
                world.judge.informed = stable && world.delivery.late == 0;
            }
            probe.check(self);
            if now >= until && pending.is_empty() {
                self.blows.1.clear();
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}
