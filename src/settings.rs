//! Settings of the programs: one JSON file each, validated completely before the program starts.

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

/// Access level of a token of the administration API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// May read profiles, history and reports.
    ReadOnly,
    /// May also publish and withdraw profiles.
    Operator,
}

/// A token of the administration API.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AccessToken {
    /// Name of the operator under which changes are recorded.
    #[schemars(with = "String")]
    pub operator: CompactString,
    /// Access level that the token grants.
    pub access: Access,
    /// Bearer secret; never logged.
    #[schemars(with = "String")]
    pub secret: CompactString,
}

impl fmt::Debug for AccessToken {
    /// Omits the secret, so that it cannot get into a log.
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
    /// Id of the instance.
    pub id: ids::InstanceId,
    /// Availability zone of the instance.
    pub zone: ids::ZoneId,
    /// Region of the instance.
    pub region: ids::RegionId,
    /// `IP:port` that serves callers.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// `IP:port` that serves other entry instances.
    #[schemars(with = "String")]
    pub peer: SocketAddr,
    /// `IP:port` of the administration API.
    #[schemars(with = "String")]
    pub admin: SocketAddr,
    /// `IP:port` of the platform.
    #[schemars(with = "String")]
    pub platform: SocketAddr,
    /// `IP:port` of peers to request a snapshot from while the platform is unavailable.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// Tokens of the administration API.
    #[serde(default)]
    pub tokens: Vec<AccessToken>,
    /// Number of threads that serve callers.
    #[serde(default = "default_threads")]
    #[schemars(range(min = 1, max = 64))]
    pub threads: usize,
    /// Placement leases on workers.
    #[serde(default)]
    pub lease: configs::lease::Lease,
    /// Client for the platform's log.
    #[serde(default)]
    pub log: configs::log::Log,
    /// Membership and failure detection among entry instances.
    #[serde(default)]
    pub membership: configs::membership::Membership,
    /// Request serving.
    #[serde(default)]
    pub requests: configs::requests::Requests,
    /// Job placement.
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
                "a lease must survive one lost renewal",
            );
        }
        if lease.task < lease.ttl {
            findings.add(
                source,
                "/lease/task",
                "a task's lease is shorter than the placement lease".to_owned(),
                "tasks must keep running while the lease changes its holder",
            );
        }
        if self.membership.suspect >= self.membership.dead {
            findings.add(
                source,
                "/membership/suspect",
                "a peer must be suspected before it counts as dead".to_owned(),
                "lower suspect or raise dead",
            );
        }
    }
}

/// Reads a settings file and validates it completely.
///
/// # Errors
///
/// Returns all findings of the first stage that fails: reading the file, parsing, the schema, or
/// the rules of the type. An unreadable file is a single finding.
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
