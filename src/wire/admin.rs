//! Administration API for operators, over HTTP and JSON. docs/openapi-admin.json describes the
//! interface.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    findings,
    ids::{
        ChangeId,
        InstanceId,
        Millis,
        Offset,
        ProfileName,
        ZoneId, //
    },
    wire::caller::Refusal, //
};

/// One version of a profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Version {
    /// Name of the profile.
    pub name: ProfileName,
    /// Number of the version.
    pub version: u32,
    /// Number of the version that this one is based on.
    pub base: u32,
    /// Id of the change that created the version.
    pub change: ChangeId,
    /// Operator who made the change.
    #[schemars(with = "String")]
    pub operator: CompactString,
    /// Time at which the platform appended the version, in milliseconds since 1970 on the
    /// platform's clock.
    pub at: Millis,
    /// Offset of the version in the log.
    pub offset: Offset,
    /// Whether the serving release can read the version. An unreadable version is not in force on
    /// that instance.
    pub readable: bool,
    /// Body of the profile; null when this version withdrew the profile.
    pub body: serde_json::Value,
}

/// Current state of a profile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Profile {
    /// Version under which new work is admitted; absent when there is none.
    pub effective: Option<u32>,
    /// Newest version, which the next change must be based on.
    pub latest: Version,
}

/// Entry of the list of all profiles.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Summary {
    /// Name of the profile.
    pub name: ProfileName,
    /// Version under which new work is admitted; absent when there is none.
    pub effective: Option<u32>,
    /// Number of the newest version.
    pub version: u32,
    /// Operator who made the newest version.
    #[schemars(with = "String")]
    pub operator: CompactString,
    /// Time at which the platform appended the newest version, in milliseconds since 1970 on the
    /// platform's clock.
    pub at: Millis,
}

/// Publishes a profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// Version that the change is based on; zero for a new profile.
    pub base: u32,
    /// Id of the change, unique for each change. A repeat with the same id is the same change.
    pub change: ChangeId,
    /// Body of the profile.
    pub body: serde_json::Value,
}

impl findings::Check for Publish {
    fn check(&self, source: &str, findings: &mut findings::Findings) {
        if self.body.is_null() {
            findings.add(
                source,
                "/body",
                "found null, a profile is required".to_owned(),
                "to withdraw a profile, use DELETE",
            );
        }
    }
}

/// Publishes the body of an earlier version as a new version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rollback {
    /// Version that is current.
    pub base: u32,
    /// Id of the change, unique for each change. A repeat with the same id is the same change.
    pub change: ChangeId,
    /// Version whose body is published again.
    pub version: u32,
}

impl findings::Check for Rollback {
    fn check(&self, _: &str, _: &mut findings::Findings) {}
}

/// Query parameters of a withdrawal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WithdrawQuery {
    /// Version that is current.
    pub base: u32,
    /// Id of the change, unique for each change. A repeat with the same id is the same change.
    pub change: ChangeId,
}

/// Response to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Published {
    /// Name of the profile.
    pub name: ProfileName,
    /// Id of the change.
    pub change: ChangeId,
    /// Version that the change created.
    pub version: u32,
    /// Offset of the change in the log. The change is in force on an instance whose next offset is
    /// higher.
    pub offset: Offset,
}

/// Response to a change that is not based on the current version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Conflict {
    /// Error response.
    #[serde(flatten)]
    pub refusal: Refusal,
    /// Current version, which the change conflicts with; absent when the profile does not exist.
    pub winner: Option<Version>,
    /// Differences from the body of the current version to the refused one.
    pub differences: Vec<Difference>,
}

/// One difference between two JSON values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Difference {
    /// JSON pointer of the value; empty for the whole document.
    pub place: String,
    /// Value in the first document; absent when it has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<serde_json::Value>,
    /// Value in the second document; absent when it has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<serde_json::Value>,
}

/// Changes that a proposed profile would make.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Diff {
    /// Version that the proposal is compared with; zero when the profile does not exist.
    pub version: u32,
    /// Differences from that version to the proposal.
    pub differences: Vec<Difference>,
}

/// Query parameters for the instances on which a change is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct InForceQuery {
    /// Offset of the change in the log; absent for all changes that the serving instance knows.
    pub offset: Option<Offset>,
}

/// Rollout state of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct InForce {
    /// Offset of the change in the log.
    pub offset: Offset,
    /// Number of instances on which the change is in force.
    pub reached: u32,
    /// Number of instances that the platform lists as live.
    pub total: u32,
    /// Instances on which the change is not known to be in force, sorted by id.
    pub missing: Vec<Missing>,
}

/// An instance on which a change is not known to be in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Missing {
    /// Id of the instance.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// First offset that the instance has not applied; absent when it cannot be reached.
    pub next: Option<Offset>,
}

/// The part of an instance's status that the administration API reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// First offset that the instance has not applied.
    pub next: Offset,
}
