//! Settings of the programs: one JSON file each, checked whole before anything starts.

use std::{
    fmt,
    net::SocketAddr,
    path::Path, //
};

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    configs,
    findings::{
        self,
        Check,
        Findings, //
    },
    ids, //
};

/// Who may do what at the administration API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Read profiles, history and reports.
    ReadOnly,
    /// Publish and withdraw profiles too.
    Operator,
}

/// A token of the administration API.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AccessToken {
    /// The name under which changes are recorded.
    #[schemars(with = "String")]
    pub operator: CompactString,
    /// What it allows.
    pub access: Access,
    /// The secret; never logged.
    #[schemars(with = "String")]
    pub secret: CompactString,
}

impl fmt::Debug for AccessToken {
    /// Leaves the secret out, so that no log can hold it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AccessToken")
            .field("operator", &self.operator)
            .field("access", &self.access)
            .finish_non_exhaustive()
    }
}

/// Settings of an entry instance (`bamboolock-entry`) and of the administration API
/// (`bamboolock-admin`) that runs on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The instance.
    pub id: ids::InstanceId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Its region.
    pub region: ids::RegionId,
    /// `IP:port` for callers.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// `IP:port` for other entry instances.
    #[schemars(with = "String")]
    pub peer: SocketAddr,
    /// `IP:port` of the administration API.
    #[schemars(with = "String")]
    pub admin: SocketAddr,
    /// `IP:port` of the platform.
    #[schemars(with = "String")]
    pub platform: SocketAddr,
    /// `IP:port` of peers to ask for a snapshot while the platform is out.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// Tokens of the administration API.
    #[serde(default)]
    pub tokens: Vec<AccessToken>,
    /// Threads that serve callers.
    #[serde(default = "default_threads")]
    #[schemars(range(min = 1, max = 64))]
    pub threads: usize,
    /// Placement leases.
    #[serde(default)]
    pub lease: configs::lease::Lease,
    /// The log's client.
    #[serde(default)]
    pub log: configs::log::Log,
    /// Membership.
    #[serde(default)]
    pub membership: configs::membership::Membership,
    /// Requests.
    #[serde(default)]
    pub requests: configs::requests::Requests,
    /// Jobs.
    #[serde(default)]
    pub runs: configs::runs::Runs,
}

fn default_threads() -> usize {
    2
}

impl Check for Entry {
    fn check(&self, source: &str, findings: &mut Findings) {
        let lease = &self.lease;
        if lease.renew * 2 + lease.margin > lease.ttl {
            findings.add(
                source,
                "/lease/renew",
                format!(
                    "two renewals of {} ms and the margin exceed the lease of {} ms",
                    lease.renew.as_millis(),
                    lease.ttl.as_millis()
                ),
                "a lease must outlast one lost renewal",
            );
        }
        if lease.task < lease.ttl {
            findings.add(
                source,
                "/lease/task",
                "a task's lease is shorter than the placement lease".to_owned(),
                "tasks must outlive a change of holder",
            );
        }
        if self.membership.suspect >= self.membership.dead {
            findings.add(
                source,
                "/membership/suspect",
                "a peer must be suspected before it is taken for dead".to_owned(),
                "lower suspect or raise dead",
            );
        }
    }
}

/// Reads a settings file and checks it whole.
///
/// # Errors
///
/// Returns every finding of the stage that failed first; an unreadable file is one finding.
pub fn load<T>(path: &Path) -> Result<T, Findings>
where
    T: Check + serde::de::DeserializeOwned + JsonSchema,
{
    let source = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        let mut findings = Findings::default();
        findings.add(
            &source,
            "/",
            format!("cannot be read: {e}"),
            "check the path",
        );
        findings
    })?;
    findings::read(&source, &text)
}
