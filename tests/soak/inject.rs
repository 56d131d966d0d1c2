//! Faults as they are injected into a cell and taken back.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use serde_json::{
    Value,
    json, //
};

use super::{
    cell::Cell,
    delivery::Manners,
    disruptions::Location,
    faults::{
        Fault,
        STOP_MS, //
    },
    proxy::Mode,
    standin::StoreFault, //
};

/// Time between a worker's notice that it leaves and its stop, in milliseconds.
const NOTICE_MS: u64 = 4_000;

/// Time between a worker's notice and the loss of its registration, if it runs on without one, in
/// milliseconds.
const RETIRE_MS: u64 = 1_500;

/// Time for which the store's answers are held back before their reader is paused: enough for one
/// to be on its way.
const HOLD: Duration = Duration::from_millis(150);

/// Highest version of the configuration in a run.
const MAX_VERSION: u64 = 60;

/// Returns the configuration of `version`. Version v adds the route `come{v}` and removes the route
/// `go{v}`, so that both show whether it is in force.
pub(super) fn configuration(version: u64) -> Value {
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
    /// Injects a fault. Returns its duration in milliseconds, or `None` if another fault is active
    /// at its target.
    pub(super) fn begin(&mut self, fault: Fault, duration: u64) -> Option<u64> {
        match fault {
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
            Fault::HoldAndFreeze(i) => {
                self.claim(i)?;
                self.stores[i].set(Mode::Hold);
                thread::sleep(HOLD);
                self.instances[i].signal("STOP");
            }
            Fault::Cut(cut) => {
                self.disruptions.begin(Location::Elsewhere);
                self.platform.lock().unwrap().delivery.cuts.push(cut);
            }
            Fault::Manners(workers, manners) => {
                self.disruptions.begin(Location::Elsewhere);
                let faults = &mut self.platform.lock().unwrap().delivery;
                faults.set_manners(workers, manners);
            }
            Fault::Retire(w) => {
                self.claim_worker(w)?;
                self.disruptions.begin(Location::Elsewhere);
                let mut world = self.platform.lock().unwrap();
                let now = world.now();
                world.machines[w].leaving = Some(now);
                return Some(RETIRE_MS);
            }
            // These have been resolved.
            Fault::Succession(_) | Fault::OwnerCut { .. } | Fault::Retired(..) => return None,
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
                self.platform.lock().unwrap().crash(w);
                return Some(duration.max(1_200));
            }
            Fault::Restart(w) => {
                self.claim_worker(w)?;
                self.disruptions.begin(Location::Elsewhere);
                self.platform.lock().unwrap().crash(w);
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
            Fault::Shrink(w, eighths) => self.resize(w, eighths),
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

    /// Sets the capacity of a worker to some eighths of the usual one; it shows with the next
    /// registration.
    fn resize(&mut self, w: usize, eighths: u32) {
        let mut world = self.platform.lock().unwrap();
        let (now, capacity) = (world.now(), world.capacity / 8 * eighths);
        world.machines[w].resize(capacity, now);
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

    pub(super) fn launch(&mut self, i: usize) {
        self.instances[i].launch();
        self.incarnations[i] += 1;
        self.faulted[i] = false;
    }

    /// Ends a fault and restores its target. Returns what follows, with its duration in
    /// milliseconds.
    pub(super) fn revert(&mut self, fault: Fault) -> Option<(Fault, u64)> {
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
            Fault::HoldAndFreeze(i) => {
                self.instances[i].signal("CONT");
                self.stores[i].set(Mode::Pass);
                self.faulted[i] = false;
                self.disruptions.end(Location::Instance(i));
            }
            Fault::Cut(cut) => {
                self.platform.lock().unwrap().delivery.heal(&cut);
                self.disruptions.end(Location::Elsewhere);
            }
            Fault::Manners(workers, _) => {
                let faults = &mut self.platform.lock().unwrap().delivery;
                faults.set_manners(workers, Manners::default());
                self.disruptions.end(Location::Elsewhere);
            }
            Fault::Retire(w) => {
                self.platform.lock().unwrap().machines[w].unregistered = true;
                return Some((Fault::Retired(w), NOTICE_MS));
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
            Fault::Crash(w) | Fault::Restart(w) | Fault::Leave(w) | Fault::Retired(w) => {
                self.platform.lock().unwrap().restart(w);
                self.replacing[w] = false;
                if !matches!(fault, Fault::Leave(_)) {
                    self.disruptions.end(Location::Elsewhere);
                }
            }
            Fault::Unlist(w) => {
                self.platform.lock().unwrap().machines[w].unregistered = false;
                self.replacing[w] = false;
                self.disruptions.end(Location::Elsewhere);
            }
            Fault::Shrink(w, _) => self.resize(w, 8),
            Fault::Reload(_) | Fault::Configure | Fault::Succession(_) | Fault::OwnerCut { .. } => {
            }
        }
        None
    }
}
