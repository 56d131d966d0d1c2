//! Operators and the administration API, by HTTP and JSON with a bearer token.
//!
//! `GET /v1/profiles` and `GET /v1/profiles/{name}/history` answer lists of [`Published`],
//! `GET /v1/profiles/{name}` one. `PUT /v1/profiles/{name}` takes a [`Publish`],
//! `POST /v1/profiles/{name}/rollback` a [`Rollback`]; these and `DELETE /v1/profiles/{name}` answer
//! [`Changed`]. `GET /v1/instances/in-force?offset=` answers [`InForce`] and `GET /v1/outcomes`
//! [`crate::report::Input`].

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    ChangeId,
    InstanceId,
    Millis,
    Offset,
    ProfileName,
    ZoneId, //
};

/// One version of a profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Published {
    /// The profile.
    pub name: ProfileName,
    /// The version.
    pub version: u32,
    /// The version that it was based on.
    pub base: u32,
    /// The change that made it.
    pub change: ChangeId,
    /// Who made it.
    #[schemars(with = "String")]
    pub operator: CompactString,
    /// When the platform took it, on the platform's clock since 1970.
    pub at: Millis,
    /// Its place in the log.
    pub offset: Offset,
    /// The profile, or null when it was withdrawn.
    #[serde(default)]
    pub body: serde_json::Value,
}

/// A change of a profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// The version that it is based on; zero for a new profile.
    pub base: u32,
    /// The profile.
    pub body: serde_json::Value,
    /// Unique for each change; a repeat with the same one is the same change.
    pub change: ChangeId,
}

/// A change back to an earlier version, as a new version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rollback {
    /// The version whose content comes back.
    pub version: u32,
    /// Unique for each change.
    pub change: ChangeId,
}

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Changed {
    /// The version that the change made.
    pub version: u32,
    /// Its place in the log.
    pub offset: Offset,
}

/// How far one instance has applied the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Progress {
    /// The instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The first offset that it has not applied yet; `None` when it cannot be reached.
    pub next: Option<Offset>,
}

/// Where an offset of the log is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct InForce {
    /// The offset that was asked for.
    pub offset: Offset,
    /// The live entry instances, sorted by id.
    pub instances: Vec<Progress>,
}

impl InForce {
    /// The instances that have applied the offset.
    pub fn applied(&self) -> impl Iterator<Item = &Progress> {
        let applied = |p: &&Progress| p.next.is_some_and(|next| next > self.offset);
        self.instances.iter().filter(applied)
    }

    /// The instances that can be reached and have not applied the offset yet.
    pub fn behind(&self) -> impl Iterator<Item = &Progress> {
        let behind = |p: &&Progress| p.next.is_some_and(|next| next <= self.offset);
        self.instances.iter().filter(behind)
    }

    /// The instances that cannot be reached.
    pub fn cut_off(&self) -> impl Iterator<Item = &Progress> {
        self.instances.iter().filter(|p| p.next.is_none())
    }
}
