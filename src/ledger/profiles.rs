//! The published profiles: which change won, what is in force, and the history.
//!
//! The order of the log alone decides whether a change is accepted, never what a reader makes of
//! its body: readers of different releases agree on every version. A body that this release cannot
//! read gets its version too, with a finding, and the last readable version stays in force.

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

/// Versions of one profile that are kept readable.
pub const MAX_VERSIONS: usize = 32;

/// How long the verdict on a change is remembered, in milliseconds of log time.
pub const VERDICT_RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it added.
    pub version: u32,
    /// The version that it was based on.
    pub base: u32,
    /// The change.
    pub change: ChangeId,
    /// Who made it.
    pub operator: CompactString,
    /// When the platform took it, on the platform's clock since 1970.
    pub at: Millis,
    /// Its place in the log.
    pub offset: Offset,
    /// The profile as JSON text; `null` when it was withdrawn.
    pub body: Box<str>,
}

impl Change {
    /// Whether the change withdrew the profile.
    #[must_use]
    pub fn withdrawn(&self) -> bool {
        &*self.body == "null"
    }

    /// The body as a JSON value; null when it was withdrawn.
    #[must_use]
    pub fn value(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// One version of a profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Change", into = "Change")]
pub struct Version {
    /// How it came about.
    pub change: Change,
    /// The profile, if it was not withdrawn and this release can read it.
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

/// A version that work is admitted under. It stays valid while the work lasts.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveVersion {
    /// Its number.
    pub version: u32,
    /// The profile.
    pub profile: Arc<Profile>,
}

/// One profile's versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Versions {
    /// Its name.
    pub name: ProfileName,
    /// The kept versions, oldest first; never empty.
    pub history: Vec<Version>,
}

impl Versions {
    /// The number of the newest version; the base of the next change.
    #[must_use]
    pub fn version(&self) -> u32 {
        self.history.last().map_or(0, |v| v.change.version)
    }

    /// The version of that number, while it is kept.
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
    /// The change.
    pub change: ChangeId,
    /// The version that was current afterwards.
    pub version: u32,
    /// Whether the change made it.
    pub accepted: bool,
    /// When it was decided, by the log's clock.
    pub at: Millis,
}

/// Where a record stands.
#[derive(Debug, Clone, Copy)]
pub struct Position {
    /// The entry's offset.
    pub offset: Offset,
    /// The log's clock at the entry; never falls.
    pub at: Millis,
}

/// All profiles.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Profiles {
    /// The profiles, withdrawn ones too, sorted by name.
    list: Vec<Versions>,
    /// The verdicts of the last [`VERDICT_RETENTION_MS`], sorted by change.
    verdicts: Vec<Verdict>,
}

impl Profiles {
    /// All profiles, withdrawn ones too, sorted by name.
    #[must_use]
    pub fn list(&self) -> &[Versions] {
        &self.list
    }

    /// The profile of that name, withdrawn or not.
    #[must_use]
    pub fn get(&self, name: &ProfileName) -> Option<&Versions> {
        let found = self.list.binary_search_by(|n| n.name.cmp(name));
        self.list.get(found.ok()?)
    }

    /// What new work of that profile is admitted under.
    #[must_use]
    pub fn profile(&self, name: &ProfileName) -> Option<ActiveVersion> {
        let version = self.get(name)?.current()?;
        Some(ActiveVersion {
            version: version.change.version,
            profile: version.profile.clone()?,
        })
    }

    /// The verdict on a change, while it is remembered.
    #[must_use]
    pub fn verdict(&self, change: &ChangeId) -> Option<&Verdict> {
        let found = self.verdicts.binary_search_by(|v| v.change.cmp(change));
        self.verdicts.get(found.ok()?)
    }

    /// Decides a change. A repeat gets the first verdict again and changes nothing.
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
                let named = Versions {
                    name: name.clone(),
                    history: Vec::new(),
                };
                self.list.insert(at, named);
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

/// The first fault of a body that this release cannot read.
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
    finding.hint = "the last readable version stays in force here".to_owned();
    finding
}

/// Reads a body by the same rules as [`findings::from_value`], with the schema compiled once.
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
