//! Replicated state: a pure function of the log's entries in order.

use quick_error::quick_error;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    findings,
    ids::{
        Millis,
        Offset, //
    },
    ledger::{
        accounting,
        effect::{
            Applied,
            Effect, //
        },
        jobs::Jobs,
        keys::Keys,
        outcomes::{
            Admission, //
            Outcomes,
        },
        profiles::{
            self,
            Profiles, //
        },
        reassembly::Reassembly,
        record::{
            self,
            Record, //
        }, //
    },
    wire::{
        caller,
        log,
        peer, //
    }, //
};

quick_error! {
    /// Reason why a snapshot cannot be used.
    #[derive(Debug)]
    pub enum Error {
        /// The content is not a state of this release.
        Content(e: serde_json::Error) {
            display("cannot parse the snapshot: {}", e)
            source(e)
        }
        /// The offsets of the message and of the contained state differ.
        Mismatch(named: Offset, found: Offset) {
            display("the snapshot for offset {} contains the state at offset {}", named, found)
        }
    }
}

/// The last complete snapshot in the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastSnapshot {
    /// The first offset that is not included in the snapshot.
    pub next: Offset,
    /// Offset of the snapshot's last part.
    pub offset: Offset,
}

/// The state after applying all entries below an offset.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The first offset that is not applied yet.
    next: Offset,
    /// The highest time of an entry, on the platform's clock in milliseconds since 1970.
    clock: Millis,
    /// The highest record format of an entry.
    format: u32,
    /// The last complete snapshot, if there is one.
    mark: Option<LastSnapshot>,
    /// The incomplete snapshots, without their text.
    parts: Reassembly,
    /// The profiles.
    pub profiles: Profiles,
    /// The idempotency keys.
    pub keys: Keys,
    /// The jobs.
    pub jobs: Jobs,
    /// The aggregated outcomes of work.
    pub outcomes: Outcomes,
}

impl State {
    /// Creates the state before the first entry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The first offset that is not applied yet.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The log's clock at the last entry, in milliseconds since 1970; never decreases.
    #[must_use]
    pub fn clock(&self) -> Millis {
        self.clock
    }

    /// The last complete snapshot in the log.
    #[must_use]
    pub fn last_snapshot(&self) -> Option<LastSnapshot> {
        self.mark
    }

    /// Whether this release supports the format of every entry. A state that skipped entries of a
    /// newer format must not be the basis of snapshots or changes.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.format <= record::FORMAT
    }

    /// Applies the next entry. An entry that was applied before or leaves a gap has no effect.
    pub fn apply(&mut self, entry: &log::Entry) -> Applied {
        let mut applied = Applied {
            offset: entry.offset,
            batch: None,
            effects: Vec::new(),
            origins: Vec::new(),
        };
        if entry.offset != self.next {
            return applied;
        }
        self.next = Offset(entry.offset.0 + 1);
        self.clock = self.clock.max(entry.at);
        match self.decode(entry) {
            Ok(batch) => self.apply_batch(batch, &mut applied),
            Err(finding) => push_effects(&mut applied, 0, [Effect::Skipped(finding)]),
        }
        applied
    }

    /// A snapshot of the state for peers and the log.
    #[must_use]
    pub fn snapshot(&self) -> peer::Snapshot {
        peer::Snapshot {
            next: self.next,
            state: serde_json::to_value(self).unwrap_or_default(),
        }
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns why the snapshot cannot be used.
    pub fn restore(snapshot: &peer::Snapshot) -> Result<Self, Error> {
        let state = Self::deserialize(&snapshot.state).map_err(Error::Content)?;
        if state.next != snapshot.next {
            return Err(Error::Mismatch(snapshot.next, state.next));
        }
        Ok(state)
    }

    fn decode(&mut self, entry: &log::Entry) -> Result<record::Batch, findings::Finding> {
        let value: serde_json::Value =
            serde_json::from_str(&entry.payload).map_err(|e| entry_finding(entry, "/", &e))?;
        let format = value.get("format").and_then(serde_json::Value::as_u64);
        let format = format.map_or(0, |f| u32::try_from(f).unwrap_or(u32::MAX));
        self.format = self.format.max(format);
        if format > record::FORMAT {
            let problem = format!(
                "format {format} is newer than {}, which this release reads",
                record::FORMAT
            );
            return Err(entry_finding(entry, "/format", &problem));
        }
        record::Batch::deserialize(value).map_err(|e| entry_finding(entry, "/", &e))
    }

    fn apply_batch(&mut self, batch: record::Batch, applied: &mut Applied) {
        applied.batch = Some(batch.id);
        for (i, value) in batch.records.into_iter().enumerate() {
            let effects = self.apply_value(value, &batch.by, applied.offset, i);
            push_effects(applied, i, effects);
        }
    }

    fn apply_value(
        &mut self,
        value: serde_json::Value,
        by: &record::Author,
        offset: Offset,
        index: usize,
    ) -> Vec<Effect> {
        match Record::deserialize(value) {
            Ok(record) => self.apply_record(record, by, offset),
            Err(e) => {
                let place = format!("/records/{index}");
                vec![Effect::Skipped(offset_finding(offset, &place, &e))]
            }
        }
    }

    fn apply_record(&mut self, record: Record, by: &record::Author, offset: Offset) -> Vec<Effect> {
        let at = self.clock;
        match record {
            Record::Profile(change) => self
                .profiles
                .apply(&change, profiles::Position { offset, at }),
            Record::Key(key) => vec![self.keys.acquire(&key, at)],
            Record::Answer(answer) => self.keys.answer(&answer, at).into_iter().collect(),
            Record::Snapshot(part) => self.track_snapshot(by, &part, offset),
            Record::Accepted(job) if job.tasks > caller::MAX_TASKS => {
                let problem = format!("a job of {} tasks", job.tasks);
                vec![Effect::Skipped(offset_finding(
                    offset, "/records", &problem,
                ))]
            }
            Record::Accepted(_) | Record::Claim(_) | Record::Ended(_) | Record::Cancel { .. } => {
                let effects = self.jobs.apply(at, by, &record);
                self.count_jobs(&effects);
                effects
            }
            Record::Outcomes(outcomes) => {
                let admission = self.outcomes.apply(by, &outcomes, at);
                outcomes_finding(admission, offset).into_iter().collect()
            }
        }
    }

    /// Counts the outcomes of the jobs that have ended.
    fn count_jobs(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Effect::Stopped { run, state } = effect else {
                continue;
            };
            let job = self.jobs.get(run);
            let work = job.and_then(|job| accounting::completed_work(job, *state, self.clock));
            if let Some(work) = work {
                self.outcomes.count(self.clock, &work);
            }
        }
    }

    /// Tracks the parts of a snapshot; the content is not applied to this state.
    fn track_snapshot(
        &mut self,
        by: &record::Author,
        part: &record::SnapshotPart,
        offset: Offset,
    ) -> Vec<Effect> {
        let next = part.next;
        if next > offset {
            let problem = format!("the snapshot's end offset {next} lies after its own entry");
            return vec![Effect::Skipped(offset_finding(
                offset, "/records", &problem,
            ))];
        }
        let whole = self.parts.track(by, part);
        if whole && self.mark.is_none_or(|m| m.next < next) {
            self.mark = Some(LastSnapshot { next, offset });
            self.parts.discard_below(next);
        }
        Vec::new()
    }
}

/// Finding for a record of outcomes that is not counted, except for a duplicate.
fn outcomes_finding(admission: Admission, offset: Offset) -> Option<Effect> {
    let problem = match admission {
        Admission::Counted | Admission::Duplicate => return None,
        Admission::UnknownAuthor => "outcomes of an unknown author may be a duplicate",
        Admission::Inconsistent => "good and bad work do not add up to the total",
    };
    Some(Effect::Skipped(offset_finding(
        offset, "/records", &problem,
    )))
}

fn push_effects(applied: &mut Applied, origin: usize, effects: impl IntoIterator<Item = Effect>) {
    for effect in effects {
        applied.effects.push(effect);
        applied.origins.push(origin);
    }
}

fn entry_finding(
    entry: &log::Entry,
    place: &str,
    problem: &dyn std::fmt::Display,
) -> findings::Finding {
    offset_finding(entry.offset, place, problem)
}

fn offset_finding(
    offset: Offset,
    place: &str,
    problem: &dyn std::fmt::Display,
) -> findings::Finding {
    findings::Finding {
        source: format!("log entry {offset}").into(),
        place: place.to_owned(),
        problem: problem.to_string(),
        hint: String::new(),
    }
}
