//! What all threads of the stand-in share.

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
        connection::Register,
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

/// The name of the platform in the account of bytes.
pub const PLATFORM: &str = "platform";

/// Faults that are not a worker's own.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Of the platform.
    pub platform: faults::Platform,
    /// Of the links.
    pub cuts: faults::Cuts,
}

/// The whole state.
#[derive(Debug)]
pub struct Shared {
    /// The clock.
    pub clock: Clock,
    /// Workers and judge.
    pub world: Mutex<World>,
    /// The log.
    pub log: Mutex<Log>,
    /// The list.
    pub list: Mutex<List>,
    /// Faults of platform and links.
    pub faults: Mutex<Faults>,
    /// The service time of requests.
    pub service: Mutex<settings::Service>,
    /// Open connections.
    pub connections: Register,
    /// Wakes readers that wait for an append.
    pub appended: Notify,
    /// Wakes messages that a fault holds back.
    pub changed: Notify,
    /// The workers' ports and indices, sorted.
    ports: Vec<(u16, usize)>,
    /// The region of each availability zone, sorted.
    regions: Vec<(ZoneId, RegionId)>,
    /// The region of the platform.
    home: Option<RegionId>,
    stopping: AtomicBool,
}

impl Shared {
    /// The state at the start, for workers that listen on these addresses.
    #[must_use]
    pub fn new(settings: &Settings, addresses: &[SocketAddr]) -> Self {
        let placed = place(settings);
        let mut ports: Vec<_> = addresses.iter().map(|a| a.port()).zip(0..).collect();
        ports.sort_unstable();
        let workers = placed.iter().map(|(spec, _)| {
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
                instances(settings, &placed, addresses),
                settings.lag.list,
            )),
            faults: Mutex::new(Faults::default()),
            service: Mutex::new(settings.service),
            connections: Register::default(),
            appended: Notify::new(),
            changed: Notify::new(),
            ports,
            regions: regions(settings),
            home: settings.home.clone(),
            stopping: AtomicBool::new(false),
        }
    }

    /// The time, in milliseconds since the start.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The index of the worker that listens on a port.
    #[must_use]
    pub fn worker_at(&self, port: u16) -> Option<usize> {
        let at = self.ports.binary_search_by_key(&port, |p| p.0).ok()?;
        Some(self.ports[at].1)
    }

    /// Whether two places, availability zones or the platform, are known to lie in different regions.
    #[must_use]
    pub fn crossing(&self, one: &str, other: &str) -> bool {
        match (self.region(one), self.region(other)) {
            (Some(a), Some(b)) => a != b,
            _ => false,
        }
    }

    /// The availability zones and their regions, sorted.
    #[must_use]
    pub fn zones(&self) -> &[(ZoneId, RegionId)] {
        &self.regions
    }

    /// Whether the stand-in is shutting down.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Ends every wait: the stand-in shuts down.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.changed.notify_waiters();
        self.appended.notify_waiters();
    }

    /// Waits as long as `held` says so and the stand-in goes on.
    pub async fn wait_while(&self, held: impl Fn() -> bool) {
        loop {
            let changed = self.changed.notified();
            if self.stopping() || !held() {
                return;
            }
            changed.await;
        }
    }

    /// Waits, but no longer than the stand-in goes on.
    pub async fn sleep(&self, span: Duration) {
        let stopped = self.wait_while(|| true);
        if time::timeout(span, stopped).await.is_ok() {
            log::debug!("a wait ended by the shutdown");
        }
    }

    /// Counts a message by the bytes of its request.
    pub fn count_received(&self, route: &str, from: &str, to: &str, bytes: u64) {
        let path = self.path(route, from, to);
        lock(&self.world).judge.traffic.receive(&path, bytes);
    }

    /// Counts the bytes of an answer.
    pub fn count_sent(&self, route: &str, from: &str, to: &str, bytes: u64) {
        let path = self.path(route, from, to);
        lock(&self.world).judge.traffic.send(&path, bytes);
    }

    fn path<'a>(&self, route: &'a str, from: &'a str, to: &'a str) -> traffic::Path<'a> {
        traffic::Path {
            route,
            from,
            to,
            crossing: self.crossing(from, to),
        }
    }

    fn region(&self, zone: &str) -> Option<&RegionId> {
        if zone == PLATFORM {
            return self.home.as_ref();
        }
        let order = |r: &(ZoneId, RegionId)| r.0.as_str().cmp(zone);
        let at = self.regions.binary_search_by(order).ok()?;
        Some(&self.regions[at].1)
    }
}

/// The workers and their racks, in the order of the groups. Ids count from 0 through all groups.
fn place(settings: &Settings) -> Vec<(Spec, RackId)> {
    let mut placed = Vec::new();
    for group in &settings.groups {
        for i in 0..group.count {
            placed.extend(place_one(group, i, placed.len()));
        }
    }
    placed
}

fn place_one(group: &settings::Group, i: u32, number: usize) -> Option<(Spec, RackId)> {
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
    placed: &[(Spec, RackId)],
    addresses: &[SocketAddr],
) -> Vec<Instance> {
    let workers = placed.iter().zip(addresses);
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
