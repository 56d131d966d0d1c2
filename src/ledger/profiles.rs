//! The published profiles: accepted changes, the active version of each profile, and its history.
//!
//! Only the order of the log decides whether a change is accepted, never how a reader interprets
//! its body, so that readers of different releases agree on every version. A body that this release
//! cannot read also gets a version, with a finding, and the last readable version stays active.

use std::sync::{
    Arc,
    OnceLock, //
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    findings::{
        self,
        Check, //
    },
    ids::{
        ChangeId,
        Millis,
        Offset,
        ProfileName, //
    },
    ledger::{
        effect::Effect,
        record, //
    },
    profile::Profile, //
};

/// Maximum number of versions kept for one profile.
pub const MAX_VERSIONS: usize = 32;

/// Retention of the verdict on a change, in milliseconds of log time.
pub const VERDICT_RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that the change created.
    pub version: u32,
    /// The version on which the change is based.
    pub base: u32,
    /// Id of the change.
    pub change: ChangeId,
    /// The operator who made the change.
    pub operator: CompactString,
    /// Time of the append, on the platform's clock in milliseconds since 1970.
    pub at: Millis,
    /// Offset of the change in the log.
    pub offset: Offset,
    /// The profile as JSON text; `null` when the profile was withdrawn.
    pub body: Box<str>,
}

impl Change {
    /// Whether the change withdrew the profile.
    #[must_use]
    pub fn withdrawn(&self) -> bool {
        &*self.body == "null"
    }

    /// The body as a JSON value; null when the profile was withdrawn.
    #[must_use]
    pub fn value(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// One version of a profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Change", into = "Change")]
pub struct Version {
    /// The change that created the version.
    pub change: Change,
    /// The parsed profile; `None` if it was withdrawn or this release cannot read it.
    pub profile: Option<Arc<Profile>>,
}

impl From<Change> for Version {
    fn from(change: Change) -> Self {
        let profile = read(&change.value()).map(Arc::new);
        Self { change, profile }
    }
}

impl From<Version> for Change {
    fn from(version: Version) -> Self {
        version.change
    }
}

/// The version under which new work is admitted; it applies to the work until the work ends.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveVersion {
    /// Number of the version.
    pub version: u32,
    /// The parsed profile.
    pub profile: Arc<Profile>,
}

/// The versions of one profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versions {
    /// Name of the profile.
    pub name: ProfileName,
    /// The last [`MAX_VERSIONS`] versions, oldest first; never empty.
    pub history: Vec<Version>,
}

impl Versions {
    /// The number of the newest version, on which the next change must be based.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.history.last().map_or(0, |v| v.change.version)
    }

    /// The version with a number, while it is kept.
    #[must_use]
    pub fn get(&self, version: u32) -> Option<&Version> {
        let found = self
            .history
            .binary_search_by_key(&version, |v| v.change.version);
        self.history.get(found.ok()?)
    }

    /// The newest version that this release can read, unless the profile was withdrawn after it.
    #[must_use]
    pub fn current(&self) -> Option<&Version> {
        let newest = self.history.iter().rev();
        let mut since_withdrawal = newest.take_while(|v| !v.change.withdrawn());
        since_withdrawal.find(|v| v.profile.is_some())
    }
}

/// The verdict on a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Id of the change.
    pub change: ChangeId,
    /// The current version after the change.
    pub version: u32,
    /// Whether the change was accepted and created `version`.
    pub accepted: bool,
    /// Time of the verdict, on the log's clock.
    pub at: Millis,
}

/// Position of a record in the log.
#[derive(Debug, Clone, Copy)]
pub struct Position {
    /// Offset of the entry.
    pub offset: Offset,
    /// The log's clock at the entry; never decreases.
    pub at: Millis,
}

/// All profiles.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Profiles {
    /// The profiles, withdrawn ones too, sorted by name.
    list: Vec<Versions>,
    /// The verdicts of the last [`VERDICT_RETENTION_MS`], sorted by change id.
    verdicts: Vec<Verdict>,
}

impl Profiles {
    /// All profiles, withdrawn ones too, sorted by name.
    #[must_use]
    pub fn list(&self) -> &[Versions] {
        &self.list
    }

    /// The versions of a profile, even if it is withdrawn.
    #[must_use]
    pub fn get(&self, name: &ProfileName) -> Option<&Versions> {
        let found = self.list.binary_search_by(|n| n.name.cmp(name));
        self.list.get(found.ok()?)
    }

    /// The version under which new work of a profile is admitted.
    #[must_use]
    pub fn profile(&self, name: &ProfileName) -> Option<ActiveVersion> {
        let version = self.get(name)?.current()?;
        Some(ActiveVersion {
            version: version.change.version,
            profile: version.profile.clone()?,
        })
    }

    /// The verdict on a change, while it is retained.
    #[must_use]
    pub fn verdict(&self, change: &ChangeId) -> Option<&Verdict> {
        let found = self.verdicts.binary_search_by(|v| v.change.cmp(change));
        self.verdicts.get(found.ok()?)
    }

    /// Accepts or rejects a change. A duplicate gets the first verdict again and changes nothing.
    pub fn apply(&mut self, change: &record::ProfileChange, position: Position) -> Vec<Effect> {
        self.expire_verdicts(position.at);
        if let Some(known) = self.verdict(&change.change) {
            return vec![effect(change, known.version, known.accepted)];
        }
        let current = self.get(&change.name).map_or(0, Versions::version);
        let accepted = change.base == current && !self.withdraws_nothing(change);
        let version = if accepted { current + 1 } else { current };
        self.remember(change, version, accepted, position.at);
        let mut effects = vec![effect(change, version, accepted)];
        if accepted {
            effects.extend(self.publish(change, version, position));
        }
        effects
    }

    /// Whether the change withdraws a profile that is not published.
    fn withdraws_nothing(&self, change: &record::ProfileChange) -> bool {
        let last = self.get(&change.name).and_then(|n| n.history.last());
        change.body.is_null() && last.is_none_or(|v| v.change.withdrawn())
    }

    /// Adds an accepted version. Returns a finding if this release cannot read it.
    fn publish(
        &mut self,
        change: &record::ProfileChange,
        version: u32,
        position: Position,
    ) -> Option<Effect> {
        let added = Version::from(Change {
            version,
            base: change.base,
            change: change.change.clone(),
            operator: change.operator.clone(),
            at: position.at,
            offset: position.offset,
            body: change.body.to_string().into(),
        });
        let readable = added.profile.is_some() || added.change.withdrawn();
        self.add(&change.name, added);
        (!readable).then(|| Effect::Skipped(unreadable(change, version)))
    }

    fn add(&mut self, name: &ProfileName, version: Version) {
        let at = match self.list.binary_search_by(|n| n.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let versions = Versions {
                    name: name.clone(),
                    history: Vec::new(),
                };
                self.list.insert(at, versions);
                at
            }
        };
        let history = &mut self.list[at].history;
        history.push(version);
        let surplus = history.len().saturating_sub(MAX_VERSIONS);
        history.drain(..surplus);
    }

    fn remember(
        &mut self,
        change: &record::ProfileChange,
        version: u32,
        accepted: bool,
        at: Millis,
    ) {
        let found = self
            .verdicts
            .binary_search_by(|v| v.change.cmp(&change.change));
        let Err(index) = found else {
            return;
        };
        let verdict = Verdict {
            change: change.change.clone(),
            version,
            accepted,
            at,
        };
        self.verdicts.insert(index, verdict);
    }

    fn expire_verdicts(&mut self, now: Millis) {
        self.verdicts
            .retain(|v| now.since(v.at) < VERDICT_RETENTION_MS);
    }
}

fn effect(change: &record::ProfileChange, version: u32, accepted: bool) -> Effect {
    Effect::Profile {
        change: change.change.clone(),
        name: change.name.clone(),
        version,
        accepted,
    }
}

/// Finding for the first error of a body that this release cannot read.
fn unreadable(change: &record::ProfileChange, version: u32) -> findings::Finding {
    let source = format!("{} version {version}", change.name);
    let first = findings::from_value::<Profile>(&source, change.body.clone())
        .err()
        .and_then(|found| found.list.into_iter().next());
    let mut finding = first.unwrap_or_else(|| findings::Finding {
        source: source.into(),
        place: "/".to_owned(),
        problem: "the profile cannot be read".to_owned(),
        hint: String::new(),
    });
    finding.hint = "the last readable version stays active on this instance".to_owned();
    finding
}

/// Parses a body by the rules of [`findings::from_value`], with the schema compiled once.
fn read(body: &serde_json::Value) -> Option<Profile> {
    static SCHEMA: OnceLock<Option<jsonschema::Validator>> = OnceLock::new();
    let schema = SCHEMA.get_or_init(|| {
        let schema = schemars::schema_for!(Profile);
        jsonschema::validator_for(schema.as_value()).ok()
    });
    if !schema.as_ref()?.is_valid(body) {
        return None;
    }
    let profile = Profile::deserialize(body).ok()?;
    let mut findings = findings::Findings::default();
    profile.check("", &mut findings);
    findings.is_empty().then_some(profile)
}
