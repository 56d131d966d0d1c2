//! Settings of the stand-in.

use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    findings,
    ids::{
        InstanceId,
        RackId,
        RegionId,
        ZoneId, //
    },
    resources::Resources, //
};

/// Default port of the platform.
pub const PLATFORM_PORT: u16 = 18_080;

/// Default port of the first worker.
pub const WORKER_PORT: u16 = 19_000;

/// Settings of the stand-in. Every field has a default.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// `IP:port` of the platform: log, list and control API. Port 0 takes any free port.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// `IP:port` of the first worker; each further one has the next port. Port 0 takes free ports.
    #[schemars(with = "String")]
    pub workers: SocketAddr,
    /// Region of the platform, for the count of bytes between regions. If absent, traffic with the
    /// platform never counts as traffic between regions.
    pub home: Option<RegionId>,
    /// Number of threads that serve the workers' ports.
    #[schemars(range(min = 1, max = 64))]
    pub threads: usize,
    /// Groups of workers.
    pub groups: Vec<Group>,
    /// Entry instances that the list shows.
    pub entries: Vec<Entry>,
    /// Limits of the log.
    pub log: Log,
    /// Lags of what the platform and the workers report.
    pub lag: Lag,
    /// Service time of a request whose body sets none.
    pub service: Service,
    /// Run time of a task whose payload sets none, in milliseconds.
    pub task: u64,
}

/// Group of identical workers in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Region of the workers.
    pub region: RegionId,
    /// Availability zone of the workers.
    pub zone: ZoneId,
    /// Prefix of the racks' names; a number from 1 follows.
    #[serde(default = "default_rack")]
    #[schemars(with = "String")]
    pub rack: CompactString,
    /// Number of workers.
    #[schemars(range(min = 1, max = 10_000))]
    pub count: u32,
    /// Number of workers that share a rack.
    #[serde(default = "default_size")]
    #[schemars(range(min = 1))]
    pub size: u32,
    /// Resources of each worker.
    #[serde(default = "default_capacity")]
    pub capacity: Resources,
}

/// Entry instance that the list shows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Id of the instance.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of the instance.
    pub region: RegionId,
    /// Rack of the instance.
    pub rack: RackId,
    /// `IP:port` for callers.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// `IP:port` for other entry instances.
    #[schemars(with = "String")]
    pub peer: SocketAddr,
}

/// Limits of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Appends per second; further ones are refused with 429.
    #[schemars(range(min = 1))]
    pub rate: u32,
    /// Number of entries that are kept.
    #[schemars(range(min = 1))]
    pub retention: u32,
    /// Size limit of one entry, in bytes.
    #[schemars(range(min = 1))]
    pub entry: u32,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            rate: 400,
            retention: 100_000,
            entry: 1_048_576,
        }
    }
}

/// Lags, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Lag {
    /// Lag of the list of instances, in milliseconds.
    pub list: u64,
    /// Lag of the usage that workers report, in milliseconds.
    pub usage: u64,
}

impl Default for Lag {
    fn default() -> Self {
        Self {
            list: 1_000,
            usage: 5_000,
        }
    }
}

/// Service time of a request: log-normal and drawn from its id, so that a repeat takes as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Median, in milliseconds.
    pub median: u64,
    /// Standard deviation of the logarithm, in thousandths; zero gives every request the median.
    pub spread: u32,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            median: 5,
            spread: 0,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, PLATFORM_PORT)),
            workers: SocketAddr::from((Ipv4Addr::LOCALHOST, WORKER_PORT)),
            home: None,
            threads: 2,
            groups: default_groups(),
            entries: Vec::new(),
            log: Log::default(),
            lag: Lag::default(),
            service: Service::default(),
            task: 1_000,
        }
    }
}

/// Returns 48 workers in six availability zones of three regions.
fn default_groups() -> Vec<Group> {
    let zones = [
        ("lower-mainland", "lower-mainland-a"),
        ("lower-mainland", "lower-mainland-b"),
        ("lower-mainland", "lower-mainland-c"),
        ("island", "island-a"),
        ("island", "island-b"),
        ("interior", "interior-a"),
    ];
    zones.iter().filter_map(default_group).collect()
}

fn default_group((region, zone): &(&str, &str)) -> Option<Group> {
    Some(Group {
        region: region.parse().ok()?,
        zone: zone.parse().ok()?,
        rack: default_rack(),
        count: 8,
        size: default_size(),
        capacity: default_capacity(),
    })
}

fn default_rack() -> CompactString {
    "rack".into()
}

fn default_size() -> u32 {
    8
}

fn default_capacity() -> Resources {
    Resources {
        millicores: 16_000,
        memory: 65_536,
        accelerators: 0,
        slots: 8,
        connections: 64,
    }
}

impl findings::Check for Settings {
    fn check(&self, source: &str, findings: &mut findings::Findings) {
        self.check_ports(source, findings);
        self.check_zones(source, findings);
        self.check_entries(source, findings);
    }
}

impl Settings {
    /// Returns the number of workers in all groups.
    #[must_use]
    pub fn worker_count(&self) -> u32 {
        self.groups.iter().map(|g| g.count).sum()
    }

    fn check_ports(&self, source: &str, findings: &mut findings::Findings) {
        let first = u32::from(self.workers.port());
        let last = first + self.worker_count().saturating_sub(1);
        if last > u32::from(u16::MAX) {
            findings.add(
                source,
                "/workers",
                format!("the last worker's port would be {last}"),
                "choose a lower first port or fewer workers",
            );
        }
        let platform = u32::from(self.listen.port());
        if first != 0 && (first..=last).contains(&platform) {
            findings.add(
                source,
                "/listen",
                format!("port {platform} is also the port of a worker"),
                "choose a port outside the workers' range",
            );
        }
    }

    fn check_zones(&self, source: &str, findings: &mut findings::Findings) {
        let mut seen: Vec<(&ZoneId, &RegionId)> = Vec::new();
        for (i, group) in self.groups.iter().enumerate() {
            match seen.binary_search_by_key(&&group.zone, |(zone, _)| zone) {
                Err(at) => seen.insert(at, (&group.zone, &group.region)),
                Ok(at) if seen[at].1 == &group.region => {}
                Ok(at) => findings.add(
                    source,
                    &format!("/groups/{i}/region"),
                    format!("zone {} is also in region {}", group.zone, seen[at].1),
                    "put each zone into one region",
                ),
            }
        }
    }

    fn check_entries(&self, source: &str, findings: &mut findings::Findings) {
        let mut seen: Vec<&InstanceId> = Vec::new();
        for (i, entry) in self.entries.iter().enumerate() {
            match seen.binary_search(&&entry.id) {
                Err(at) => seen.insert(at, &entry.id),
                Ok(_) => findings.add(
                    source,
                    &format!("/entries/{i}/id"),
                    format!("{} is listed twice", entry.id),
                    "give every instance its own id",
                ),
            }
        }
    }
}
