//! The platform's list of instances, over HTTP: `GET /v1/instances`. The list lags behind the
//! actual state.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize,
    de::Error as _, //
};

use crate::{
    ids::{
        self,
        Millis,
        RackId,
        RegionId,
        WorkerIncarnation,
        ZoneId, //
    },
    json, malformed,
};

/// Highest incarnation: no later incarnation would exceed one near the maximum of its type.
const MAX_INCARNATION: u64 = 1 << 53;

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The instance runs an entry process.
    Entry,
    /// The instance runs tasks and a backend server.
    Worker,
}

/// State of an instance as the platform sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service, also while the instance cannot be reached.
    Live,
    /// About to be removed; the instance must not get new work.
    Leaving,
    /// Terminated permanently by the platform, with everything that ran on the instance.
    Gone,
}

/// Entry of the list: one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Id of the instance: an `InstanceId` or a `WorkerId`, depending on the role.
    pub id: CompactString,
    /// Role of the instance.
    pub role: Role,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of the instance.
    pub region: RegionId,
    /// Rack of the instance.
    pub rack: RackId,
    /// `IP:port` of the HTTP server of the instance.
    pub address: CompactString,
    /// `IP:port` that serves other entry instances; empty for a worker.
    pub peer: CompactString,
    /// State of the instance as the platform sees it.
    pub state: State,
    /// Incarnation of the instance; raised by every restart.
    #[serde(rename = "boot")]
    pub incarnation: WorkerIncarnation,
}

/// List of all instances at one point in time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Time that the list describes, in milliseconds since 1970 on the platform's clock.
    pub at: Millis,
    /// Instances, sorted by id.
    pub instances: Vec<Instance>,
}

impl Instance {
    /// Returns what is wrong with the entry, beyond the types of its fields.
    fn fault(&self) -> Option<&'static str> {
        if ids::check(&self.id).is_err() {
            Some("the id is invalid")
        } else if !is_address(&self.address) || !self.peer.is_empty() && !is_address(&self.peer) {
            Some("an address is not IP:port of one host")
        } else if self.incarnation.0 > MAX_INCARNATION {
            Some("the incarnation is out of range")
        } else {
            None
        }
    }
}

/// Whether a text is the `IP:port` of one host.
fn is_address(text: &str) -> bool {
    let Ok(address) = text.parse::<SocketAddr>() else {
        return false;
    };
    let ip = address.ip();
    address.port() > 0 && !ip.is_unspecified() && !ip.is_multicast()
}

impl Listing {
    /// Decodes a list. Malformed entries are skipped, and the others are sorted by id.
    ///
    /// # Errors
    ///
    /// Fails if `text` is no list.
    pub fn decode(text: &[u8]) -> Result<Self, serde_json::Error> {
        let fields = json::Fields::new(text)?;
        let mut listing = Self {
            at: fields.get("at")?,
            instances: Vec::new(),
        };
        for entry in json::elements(fields.text("instances").unwrap_or_default())? {
            match decode_instance(entry) {
                Ok(instance) => {
                    malformed::forget(malformed::List::Instances, &instance.id);
                    listing.instances.push(instance);
                }
                Err(e) => malformed::note(malformed::List::Instances, &entry_name(entry), &e),
            }
        }
        listing.instances.sort_by(|a, b| a.id.cmp(&b.id));
        Ok(listing)
    }
}

fn decode_instance(entry: &[u8]) -> Result<Instance, serde_json::Error> {
    let instance: Instance = serde_json::from_slice(entry)?;
    match instance.fault() {
        Some(fault) => Err(serde_json::Error::custom(fault)),
        None => Ok(instance),
    }
}

/// Id of a malformed entry; empty if it cannot be read.
fn entry_name(entry: &[u8]) -> CompactString {
    let id = json::Fields::new(entry).and_then(|fields| fields.get("id"));
    id.unwrap_or_default()
}
