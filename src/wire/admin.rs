//! Operators, by HTTP and JSON: the administration API. docs/openapi-admin.json describes it.

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
    /// The profile.
    pub name: ProfileName,
    /// The version's number.
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
    /// Whether the serving release can read it; an unreadable one is not in force there.
    pub readable: bool,
    /// The profile; null when this version withdrew it.
    pub body: serde_json::Value,
}

/// A profile as it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Profile {
    /// The version that new work is admitted under; absent when there is none.
    pub effective: Option<u32>,
    /// The newest version: the base of the next change.
    pub latest: Version,
}

/// A profile in the list of all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Summary {
    /// The profile.
    pub name: ProfileName,
    /// The version that new work is admitted under; absent when there is none.
    pub effective: Option<u32>,
    /// The newest version's number.
    pub version: u32,
    /// Who made it.
    #[schemars(with = "String")]
    pub operator: CompactString,
    /// When the platform took it, on the platform's clock since 1970.
    pub at: Millis,
}

/// Publishes a profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// The version that it is based on; zero for a new profile.
    pub base: u32,
    /// Unique for each change. A repeat with the same one is the same change.
    pub change: ChangeId,
    /// The profile.
    pub body: serde_json::Value,
}

impl findings::Check for Publish {
    fn check(&self, source: &str, findings: &mut findings::Findings) {
        if self.body.is_null() {
            findings.add(
                source,
                "/body",
                "found null, a profile is needed".to_owned(),
                "DELETE withdraws a profile",
            );
        }
    }
}

/// Publishes the body of an earlier version again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rollback {
    /// The version that is current.
    pub base: u32,
    /// Unique for each change. A repeat with the same one is the same change.
    pub change: ChangeId,
    /// The version to go back to.
    pub version: u32,
}

impl findings::Check for Rollback {
    fn check(&self, _: &str, _: &mut findings::Findings) {}
}

/// Query of a withdrawal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Withdraw {
    /// The version that is current.
    pub base: u32,
    /// Unique for each change. A repeat with the same one is the same change.
    pub change: ChangeId,
}

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Published {
    /// The profile.
    pub name: ProfileName,
    /// The change.
    pub change: ChangeId,
    /// The version that it made.
    pub version: u32,
    /// Its place in the log: it is in force where a higher offset comes next.
    pub offset: Offset,
}

/// Answer to a change that lost to another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Conflict {
    /// The refusal.
    #[serde(flatten)]
    pub refusal: Refusal,
    /// The version that won; absent when the profile does not exist.
    pub winner: Option<Version>,
    /// What differs, from the winner's body to the refused one.
    pub differences: Vec<Difference>,
}

/// One place at which two JSON values differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Difference {
    /// The JSON pointer of the value; empty for the whole.
    pub place: String,
    /// What stands there in the first one; absent when nothing does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<serde_json::Value>,
    /// What stands there in the second one; absent when nothing does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<serde_json::Value>,
}

/// What a proposed profile would change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Diff {
    /// The version that it is compared with; zero when the profile does not exist.
    pub version: u32,
    /// What differs.
    pub differences: Vec<Difference>,
}

/// Query of the instances on which a change is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AskInForce {
    /// The change's place in the log; absent for all that the serving instance knows.
    pub offset: Option<Offset>,
}

/// How far a change has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct InForce {
    /// The change's place in the log.
    pub offset: Offset,
    /// Instances on which it is in force.
    pub reached: u32,
    /// Instances that the platform lists as live.
    pub total: u32,
    /// The instances on which it is not known to be in force, sorted by id.
    pub missing: Vec<Missing>,
}

/// An instance on which a change is not known to be in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Missing {
    /// The instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The first offset that it has not applied; absent when it is cut off and did not answer.
    pub next: Option<Offset>,
}

/// The part of an instance's status that the administration API reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The first offset that the instance has not applied.
    pub next: Offset,
}
