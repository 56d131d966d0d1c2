//! State that all threads of the stand-in share.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use tokio::{
    sync::Notify,
    time, //
};

use crate::{
    ids::{
        Millis,
        RackId,
        RegionId,
        WorkerIncarnation,
        ZoneId, //
    },
    standin::{
        clock::Clock,
        connection::Registry,
        faults,
        judge::Judge,
        list::List,
        lock,
        log::Log,
        settings::{
            self,
            Settings, //
        },
        traffic,
        worker::{
            Spec,
            Worker, //
        },
        world::World, //
    },
    wire::list::{
        self as listing,
        Instance,
        Role, //
    }, //
};

/// Name of the platform in the traffic counts.
pub const PLATFORM: &str = "platform";

/// Faults of the platform and of the links.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Faults of the platform.
    pub platform: faults::Platform,
    /// Links that are cut.
    pub cuts: faults::Cuts,
}

/// State of the stand-in.
#[derive(Debug)]
pub struct Shared {
    /// Clock of the stand-in.
    pub clock: Clock,
    /// Workers and the judge.
    pub world: Mutex<World>,
    /// Append-only log.
    pub log: Mutex<Log>,
    /// List of instances.
    pub list: Mutex<List>,
    /// Faults of the platform and of the links.
    pub faults: Mutex<Faults>,
    /// Service time of requests whose body sets none.
    pub service: Mutex<settings::Service>,
    /// Registry of open connections.
    pub connections: Registry,
    /// Wakes readers that wait for an append.
    pub appended: Notify,
    /// Wakes messages that a fault blocks.
    pub changed: Notify,
    /// Ports and indices of the workers, sorted.
    ports: Vec<(u16, usize)>,
    /// Region of each availability zone, sorted.
    regions: Vec<(ZoneId, RegionId)>,
    /// Region of the platform, if known.
    platform_region: Option<RegionId>,
    stopping: AtomicBool,
}

impl Shared {
    /// Creates the initial state for workers that listen on `addresses`.
    #[must_use]
    pub fn new(settings: &Settings, addresses: &[SocketAddr]) -> Self {
        let specs = expand_groups(settings);
        let mut ports: Vec<_> = addresses.iter().map(|a| a.port()).zip(0..).collect();
        ports.sort_unstable();
        let workers = specs.iter().map(|(spec, _)| {
            let spec = spec.clone();
            Worker::new(spec, settings.lag.usage, settings.task)
        });
        Self {
            clock: Clock::new(),
            world: Mutex::new(World {
                workers: workers.collect(),
                judge: Judge::default(),
                lag: settings.lag.list,
            }),
            log: Mutex::new(Log::new(settings.log)),
            list: Mutex::new(List::new(
                instances(settings, &specs, addresses),
                settings.lag.list,
            )),
            faults: Mutex::new(Faults::default()),
            service: Mutex::new(settings.service),
            connections: Registry::default(),
            appended: Notify::new(),
            changed: Notify::new(),
            ports,
            regions: regions(settings),
            platform_region: settings.home.clone(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Returns the time in milliseconds since the start.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the index of the worker that listens on `port`.
    #[must_use]
    pub fn worker_at(&self, port: u16) -> Option<usize> {
        let at = self.ports.binary_search_by_key(&port, |p| p.0).ok()?;
        Some(self.ports[at].1)
    }

    /// Whether the regions of both ends, zones or the platform, are known and differ.
    #[must_use]
    pub fn crosses_regions(&self, one: &str, other: &str) -> bool {
        match (self.region(one), self.region(other)) {
            (Some(a), Some(b)) => a != b,
            _ => false,
        }
    }

    /// Returns the availability zones and their regions, sorted.
    #[must_use]
    pub fn zones(&self) -> &[(ZoneId, RegionId)] {
        &self.regions
    }

    /// Whether the stand-in is shutting down.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Marks the stand-in as shutting down and ends every wait.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.changed.notify_waiters();
        self.appended.notify_waiters();
    }

    /// Waits while `blocked` holds, at most until the shutdown.
    pub async fn wait_while(&self, blocked: impl Fn() -> bool) {
        loop {
            let changed = self.changed.notified();
            if self.stopping() || !blocked() {
                return;
            }
            changed.await;
        }
    }

    /// Sleeps for `span`, at most until the shutdown.
    pub async fn sleep(&self, span: Duration) {
        let stopped = self.wait_while(|| true);
        if time::timeout(span, stopped).await.is_ok() {
            log::debug!("delay cut short by the shutdown");
        }
    }

    /// Counts a message and the bytes of its request.
    pub fn count_received(&self, route: &str, from: &str, to: &str, bytes: u64) {
        let flow = self.flow(route, from, to);
        lock(&self.world).judge.traffic.receive(&flow, bytes);
    }

    /// Counts the bytes of an answer.
    pub fn count_sent(&self, route: &str, from: &str, to: &str, bytes: u64) {
        let flow = self.flow(route, from, to);
        lock(&self.world).judge.traffic.send(&flow, bytes);
    }

    fn flow<'a>(&self, route: &'a str, from: &'a str, to: &'a str) -> traffic::Flow<'a> {
        traffic::Flow {
            route,
            from,
            to,
            crossing: self.crosses_regions(from, to),
        }
    }

    fn region(&self, zone: &str) -> Option<&RegionId> {
        if zone == PLATFORM {
            return self.platform_region.as_ref();
        }
        let order = |r: &(ZoneId, RegionId)| r.0.as_str().cmp(zone);
        let at = self.regions.binary_search_by(order).ok()?;
        Some(&self.regions[at].1)
    }
}

/// Returns the workers and their racks in the order of the groups. Ids are numbered from 0 through
/// all groups.
fn expand_groups(settings: &Settings) -> Vec<(Spec, RackId)> {
    let mut specs = Vec::new();
    for group in &settings.groups {
        for i in 0..group.count {
            specs.extend(worker_spec(group, i, specs.len()));
        }
    }
    specs
}

fn worker_spec(group: &settings::Group, i: u32, number: usize) -> Option<(Spec, RackId)> {
    let rack = format!("{}-{}{}", group.zone, group.rack, i / group.size.max(1) + 1);
    let spec = Spec {
        id: format!("{}-w{number:03}", group.zone).parse().ok()?,
        zone: group.zone.clone(),
        region: group.region.clone(),
        capacity: group.capacity,
    };
    Some((spec, rack.parse().ok()?))
}

fn instances(
    settings: &Settings,
    specs: &[(Spec, RackId)],
    addresses: &[SocketAddr],
) -> Vec<Instance> {
    let workers = specs.iter().zip(addresses);
    let workers = workers.map(|((spec, rack), address)| Instance {
        id: spec.id.as_str().into(),
        role: Role::Worker,
        zone: spec.zone.clone(),
        region: spec.region.clone(),
        rack: rack.clone(),
        address: address.to_string().into(),
        peer: Default::default(),
        state: listing::State::Live,
        incarnation: WorkerIncarnation(1),
    });
    let entries = settings.entries.iter().map(entry_instance);
    workers.chain(entries).collect()
}

fn entry_instance(entry: &settings::Entry) -> Instance {
    Instance {
        id: entry.id.as_str().into(),
        role: Role::Entry,
        zone: entry.zone.clone(),
        region: entry.region.clone(),
        rack: entry.rack.clone(),
        address: entry.address.to_string().into(),
        peer: entry.peer.to_string().into(),
        state: listing::State::Live,
        incarnation: WorkerIncarnation(1),
    }
}

fn regions(settings: &Settings) -> Vec<(ZoneId, RegionId)> {
    let groups = settings.groups.iter().map(|g| (&g.zone, &g.region));
    let entries = settings.entries.iter().map(|e| (&e.zone, &e.region));
    let both = groups.chain(entries);
    let mut regions: Vec<_> = both.map(|(z, r)| (z.clone(), r.clone())).collect();
    regions.sort();
    regions.dedup_by(|a, b| a.0 == b.0);
    regions
}
