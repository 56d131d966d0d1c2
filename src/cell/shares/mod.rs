//! Shares of the organisations in the cell: caps, weights, rates and early refusal.
//!
//! Handles organisations that compete for too little capacity. The decisions are functions of counters
//! and a clock; the engine keeps the counters, and asks before it places a step or accepts a job.

use compact_str::CompactString;

use self::{
    amounts::Amounts,
    usage::Usage, //
};
use super::model;

pub mod amounts;
pub mod notices;
pub mod rate;
pub mod standing;
pub mod usage;
pub mod waiting;

/// Weight of the jobs without an organisation, which count as one.
const UNNAMED_WEIGHT: f64 = 1.0;

/// Age from which a configuration is too old to start tasks under a cap unless the settings state
/// another one, in milliseconds: the platform's usual time for a new configuration to be in force.
const MAX_AGE_MS: u64 = 4_000;

/// Part of the tolerated overage of a cap that the owner uses. The rest is the margin for runs that it
/// cannot see.
const USED_OVERAGE: f64 = 0.8;

/// Key of an organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u32);

impl Key {
    /// Key of the jobs without an organisation.
    pub const NONE: Self = Self(0);

    /// Position in lists with one entry for each organisation.
    #[must_use]
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// An organisation as the owner knows it.
#[derive(Debug, Clone, Default)]
struct Organisation {
    name: CompactString,
    /// Weight by the configuration in force.
    weight: f64,
    /// Cap by the newest configuration that names the organisation; 0 for no limit.
    cap: Amounts,
    /// Whether the configuration in force names the organisation.
    listed: bool,
    bucket: rate::Bucket,
    notices: notices::Notices,
    /// Tasks that its cap kept from starting at the last placement pass.
    withheld: u32,
    /// Tasks placed since the counts were last taken.
    placed: u64,
    /// Jobs refused since the counts were last taken.
    refused: u64,
}

/// Figures of an organisation, for metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stats {
    /// Name of the organisation; empty for the jobs without one.
    pub name: CompactString,
    /// CPU that its runs take, in millicores.
    pub running: u64,
    /// Number of waiting steps.
    pub waiting: u32,
    /// Tasks that its cap kept from starting at the last placement pass.
    pub withheld: u32,
    /// Tasks placed since the last call.
    pub placed: u64,
    /// Jobs refused since the last call.
    pub refused: u64,
}

/// Change of whether an organisation's cap keeps tasks from starting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapChange {
    /// Organisation.
    pub organisation: Key,
    /// Whether it is at its cap now.
    pub reached: bool,
    /// Tasks that the cap keeps from starting.
    pub withheld: u32,
}

/// All organisations and what they share.
#[derive(Debug)]
pub struct Shares {
    /// Organisations by key; the first one is that of the jobs without an organisation.
    list: Vec<Organisation>,
    /// Names and keys, sorted by name.
    index: Vec<(CompactString, Key)>,
    /// Whether a configuration is known.
    configured: bool,
    /// Number of organisations in the configuration in force.
    listed: usize,
    /// Least weight in the configuration in force.
    least: f64,
    /// Local time at which the configuration in force was the newest, in milliseconds.
    proven_at: u64,
    /// Age from which the configuration is too old to start tasks under a cap, in milliseconds.
    max_age: u64,
    /// Whether the configuration was too old when last looked at.
    outdated: bool,
    /// Part by which the runs of an organisation may exceed its cap.
    overage: f64,
    /// Upper bound on what runs that the owner does not know take, by key.
    unknown: Vec<Amounts>,
    standing: standing::Standing,
    waiting: waiting::Waiting,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            list: vec![Organisation::default()],
            index: Vec::new(),
            configured: false,
            listed: 0,
            least: UNNAMED_WEIGHT,
            proven_at: 0,
            max_age: MAX_AGE_MS,
            outdated: false,
            overage: 0.0,
            unknown: Vec::new(),
            standing: standing::Standing::default(),
            waiting: waiting::Waiting::default(),
        }
    }
}

impl Shares {
    /// Key of an organisation that is known.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<Key> {
        let at = self
            .index
            .binary_search_by(|(known, _)| known.as_str().cmp(name));
        at.ok().map(|at| self.index[at].1)
    }

    /// Key of an organisation, added if it is not known; [`Key::NONE`] for an empty name.
    pub fn intern(&mut self, name: &str) -> Key {
        if name.is_empty() {
            return Key::NONE;
        }
        let at = self
            .index
            .binary_search_by(|(known, _)| known.as_str().cmp(name));
        match at {
            Ok(at) => self.index[at].1,
            Err(at) => {
                let key = Key(self.list.len() as u32);
                self.list.push(Organisation {
                    name: name.into(),
                    ..Organisation::default()
                });
                self.index.insert(at, (name.into(), key));
                key
            }
        }
    }

    /// Applies the organisations of a configuration. One that it no longer names keeps its cap and has
    /// the least weight.
    pub fn configure(&mut self, organisations: &[model::Organisation]) {
        self.configured = true;
        self.listed = organisations.len();
        for known in &mut self.list {
            known.listed = false;
        }
        for entry in organisations {
            let key = self.intern(&entry.name);
            let known = &mut self.list[key.index()];
            known.listed = true;
            known.cap = Amounts::of(&entry.cap).raised(self.overage * USED_OVERAGE);
            let sound = entry.weight.is_finite() && entry.weight >= 0.0;
            known.weight = if sound { entry.weight } else { UNNAMED_WEIGHT };
        }
        let listed = self.list.iter().filter(|known| known.listed);
        let least = listed.map(|known| known.weight).reduce(f64::min);
        self.least = least.unwrap_or(UNNAMED_WEIGHT);
    }

    /// Whether the configuration in force has organisations, so that steps are ordered by shares.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.listed > 0
    }

    /// Whether an organisation is known.
    #[must_use]
    pub fn is_used(&self) -> bool {
        !self.index.is_empty()
    }

    fn keys(&self) -> impl Iterator<Item = Key> + use<> {
        (0..self.list.len() as u32).map(Key)
    }

    /// Name of an organisation.
    #[must_use]
    pub fn name(&self, organisation: Key) -> &str {
        let known = self.list.get(organisation.index());
        known.map_or("", |known| known.name.as_str())
    }

    /// Weight of an organisation, which is also its rate in jobs a second.
    #[must_use]
    pub fn weight(&self, organisation: Key) -> f64 {
        match self.list.get(organisation.index()) {
            _ if organisation == Key::NONE => UNNAMED_WEIGHT,
            Some(known) if known.listed => known.weight,
            _ => self.least,
        }
    }

    /// Cap of an organisation; 0 for no limit.
    #[must_use]
    pub fn cap(&self, organisation: Key) -> Amounts {
        let known = self.list.get(organisation.index());
        known.map_or_else(Amounts::default, |known| known.cap)
    }

    /// Sets the age from which the configuration is too old to start tasks under a cap, in
    /// milliseconds.
    pub fn set_max_age(&mut self, age: u64) {
        self.max_age = age;
    }

    /// Sets the part by which the runs of an organisation may exceed its cap, for the configurations
    /// that follow.
    pub fn set_overage(&mut self, overage: f64) {
        self.overage = overage.max(0.0);
    }

    /// Sets the local time at which the configuration in force was known to be the newest, in
    /// milliseconds.
    pub fn set_proven_at(&mut self, at: u64) {
        self.proven_at = at;
    }

    /// Whether the caps are known well enough at local time `now`, in milliseconds, to start a task of
    /// an organisation: a configuration is known, and recent enough if it states a cap.
    #[must_use]
    pub fn is_current(&self, organisation: Key, now: u64) -> bool {
        organisation == Key::NONE
            || self.configured
                && (self.cap(organisation) == Amounts::default() || !self.is_outdated(now))
    }

    fn is_outdated(&self, now: u64) -> bool {
        now.saturating_sub(self.proven_at) >= self.max_age
    }

    /// Returns whether the configuration is too old at local time `now`, in milliseconds, if that has
    /// changed and there are caps.
    pub fn note_age(&mut self, now: u64) -> Option<bool> {
        let caps = self
            .list
            .iter()
            .any(|known| known.cap != Amounts::default());
        let outdated = caps && self.is_outdated(now);
        let changed = std::mem::replace(&mut self.outdated, outdated) != outdated;
        changed.then_some(outdated)
    }

    /// Sets the upper bound on what runs that the owner does not know take, by key.
    pub fn set_unknown(&mut self, unknown: Vec<Amounts>) {
        self.unknown = unknown;
    }

    /// Whether there may be runs that the owner does not know.
    #[must_use]
    pub fn has_unknown(&self) -> bool {
        !self.unknown.is_empty()
    }

    /// Number of tasks of `demand` that an organisation's cap leaves room for. Runs that may exist
    /// count as running.
    #[must_use]
    pub fn room(&self, organisation: Key, usage: &Usage, demand: Amounts) -> u32 {
        let unknown = self.unknown.get(organisation.index()).copied();
        let used = usage.of(organisation).plus(unknown.unwrap_or_default());
        self.cap(organisation).room(used, demand)
    }

    /// Whether the tracked runs of an organisation are within its cap, which may have been lowered.
    #[must_use]
    pub fn is_within_cap(&self, organisation: Key, usage: &Usage) -> bool {
        usage.of(organisation).is_within(self.cap(organisation))
    }

    /// Whether one more job at Unix time `unix`, in milliseconds, would be beyond the rate of an
    /// organisation.
    #[must_use]
    pub fn is_excess(&self, organisation: Key, unix: u64) -> bool {
        let rate = self.weight(organisation);
        let known = self.list.get(organisation.index());
        organisation != Key::NONE && known.is_some_and(|known| !known.bucket.admits(rate, unix))
    }

    /// Counts a job that is accepted at Unix time `unix`, in milliseconds; returns whether it is beyond
    /// the rate of its organisation.
    pub fn count_job(&mut self, organisation: Key, unix: u64) -> bool {
        let rate = self.weight(organisation);
        match self.list.get_mut(organisation.index()) {
            Some(known) if organisation != Key::NONE => !known.bucket.take(rate, unix),
            _ => false,
        }
    }

    /// Counts a task that is placed.
    pub fn count_placed(&mut self, organisation: Key) {
        if let Some(known) = self.list.get_mut(organisation.index()) {
            known.placed += 1;
        }
    }

    /// Counts a refused job at local time `now`, in milliseconds. Returns the number of refusals before
    /// it that were not logged if it is to be logged.
    pub fn count_refused(&mut self, organisation: Key, now: u64) -> Option<u32> {
        let known = self.list.get_mut(organisation.index())?;
        known.refused += 1;
        known.notices.refuse(now)
    }

    /// Forgets which tasks the caps kept from starting.
    pub fn clear_withheld(&mut self) {
        for known in &mut self.list {
            known.withheld = 0;
        }
    }

    /// Counts tasks that a cap keeps from starting.
    pub fn add_withheld(&mut self, organisation: Key, tasks: u32) {
        if let Some(known) = self.list.get_mut(organisation.index()) {
            known.withheld = known.withheld.saturating_add(tasks);
        }
    }

    /// Organisations that have reached or left their cap by local time `now`, in milliseconds.
    pub fn take_cap_changes(&mut self, now: u64) -> Vec<CapChange> {
        let mut changes = Vec::new();
        for (at, known) in self.list.iter_mut().enumerate() {
            let withheld = known.withheld;
            if let Some(reached) = known.notices.note_cap(withheld > 0, now) {
                changes.push(CapChange {
                    organisation: Key(at as u32),
                    reached,
                    withheld,
                });
            }
        }
        changes
    }

    /// Figures of all organisations; their counts begin anew.
    pub fn take_stats(&mut self, usage: &Usage) -> Vec<Stats> {
        let mut all = Vec::with_capacity(self.list.len());
        for key in self.keys() {
            let waiting = self.waiting_steps(key);
            let known = &mut self.list[key.index()];
            all.push(Stats {
                name: known.name.clone(),
                running: usage.of(key).millicores(),
                waiting,
                withheld: known.withheld,
                placed: std::mem::take(&mut known.placed),
                refused: std::mem::take(&mut known.refused),
            });
        }
        all
    }
}
