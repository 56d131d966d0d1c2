//! Kinds of tasks: a queue, and an image or the number of a step.

use compact_str::{
    CompactString,
    format_compact, //
};

use crate::cell::model;

/// Maximum number of kinds, so that a set of them fits into 64 bits.
pub const MAX_KINDS: usize = 64;

/// Time after which a kind without runs may give its place to another one, in milliseconds: all
/// samples of runs beside it have expired by then.
const IDLE_MS: u64 = 60_000;

/// Key of a kind in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind(u8);

impl Kind {
    /// Position of the kind in arrays of [`MAX_KINDS`] elements.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Set that contains only this kind.
    #[must_use]
    pub fn bit(self) -> u64 {
        1 << self.0
    }

    /// Kinds of a set.
    pub fn all_of(mut set: u64) -> impl Iterator<Item = Self> {
        std::iter::from_fn(move || {
            let first = set.trailing_zeros();
            set &= set.wrapping_sub(1);
            (first < u64::BITS).then_some(Self(first as u8))
        })
    }
}

/// Part of a queue's tasks that is one kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    Image(CompactString),
    Step(u32),
}

impl Part {
    fn new(step: &model::Step, number: u32) -> Self {
        match step.image.is_empty() {
            true => Self::Step(number),
            false => Self::Image(step.image.clone()),
        }
    }
}

/// Name of a kind for logs and metrics, with `_` for characters that the text format of metrics escapes:
/// the encoder writes label values as they are, and callers choose the names of images.
fn label(queue: &str, part: &Part) -> CompactString {
    let name = match part {
        Part::Image(image) => format_compact!("{queue}:{image}"),
        Part::Step(number) => format_compact!("{queue}#{number}"),
    };
    let is_special = |c: char| c.is_control() || matches!(c, '"' | '\\');
    let plain = name.chars().map(|c| if is_special(c) { '_' } else { c });
    plain.collect()
}

#[derive(Debug, Clone)]
struct Entry {
    label: CompactString,
    /// Configuration of the queue in the newest job.
    queue: model::Queue,
    /// Time at which the newest job was accepted, in Unix milliseconds.
    newest: u64,
    /// Number of runs on all workers.
    live: u32,
    /// Local time at which the last run began or ended, in milliseconds.
    used_at: u64,
}

/// What became of a kind when a run of it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// The kind is known.
    Known(Kind),
    /// The configuration of the queue has changed: earlier samples no longer count.
    Changed(Kind),
    /// The kind has a place that another one may have had before.
    New(Kind),
}

impl Found {
    /// The kind.
    #[must_use]
    pub fn kind(self) -> Kind {
        match self {
            Found::Known(kind) | Found::Changed(kind) | Found::New(kind) => kind,
        }
    }
}

/// Table of at most [`MAX_KINDS`] kinds.
#[derive(Debug, Default)]
pub struct Kinds {
    entries: Vec<Entry>,
    /// Names of the kinds and their keys, sorted.
    index: Vec<((CompactString, Part), Kind)>,
}

impl Kinds {
    fn position(&self, queue: &str, part: &Part) -> Result<usize, usize> {
        self.index
            .binary_search_by(|((name, other), _)| (name.as_str(), other).cmp(&(queue, part)))
    }

    /// Kind of the tasks of step `number`, if it is known.
    #[must_use]
    pub fn find(&self, queue: &str, step: &model::Step, number: u32) -> Option<Kind> {
        let at = self.position(queue, &Part::new(step, number)).ok()?;
        Some(self.index[at].1)
    }

    /// Counts a run of step `number` of a job that was accepted at `accepted`, in Unix milliseconds.
    /// Returns `None` if the table is full of kinds in use.
    pub fn enter(
        &mut self,
        queue: &model::Queue,
        (step, number): (&model::Step, u32),
        accepted: u64,
        now: u64,
    ) -> Option<Found> {
        let part = Part::new(step, number);
        let found = match self.position(&queue.name, &part) {
            Ok(at) => {
                let kind = self.index[at].1;
                let entry = &mut self.entries[kind.index()];
                // Jobs keep the configuration with which they were accepted.
                let changed = accepted >= entry.newest && entry.queue != *queue;
                if changed {
                    entry.queue = queue.clone();
                }
                entry.newest = entry.newest.max(accepted);
                match changed {
                    true => Found::Changed(kind),
                    false => Found::Known(kind),
                }
            }
            Err(_) => Found::New(self.add(queue, part, accepted, now)?),
        };
        let entry = &mut self.entries[found.kind().index()];
        entry.live += 1;
        entry.used_at = now;
        Some(found)
    }

    fn add(&mut self, queue: &model::Queue, part: Part, accepted: u64, now: u64) -> Option<Kind> {
        let entry = Entry {
            label: label(&queue.name, &part),
            queue: queue.clone(),
            newest: accepted,
            live: 0,
            used_at: now,
        };
        let kind = match self.entries.len() < MAX_KINDS {
            true => {
                self.entries.push(entry);
                Kind((self.entries.len() - 1) as u8)
            }
            false => {
                let idle = |e: &Entry| e.live == 0 && e.used_at + IDLE_MS <= now;
                let idle = self.entries.iter().enumerate().filter(|(_, e)| idle(e));
                let (at, _) = idle.min_by_key(|(_, e)| e.used_at)?;
                self.entries[at] = entry;
                let kind = Kind(at as u8);
                self.index.retain(|(_, other)| *other != kind);
                kind
            }
        };
        let name = (queue.name.clone(), part);
        let at = self.index.partition_point(|(other, _)| *other < name);
        self.index.insert(at, (name, kind));
        Some(kind)
    }

    /// Counts the end of a run.
    pub fn leave(&mut self, kind: Kind, now: u64) {
        if let Some(entry) = self.entries.get_mut(kind.index()) {
            entry.live = entry.live.saturating_sub(1);
            entry.used_at = now;
        }
    }

    /// Name of a kind for logs and metrics: `queue#step` or `queue:image`.
    #[must_use]
    pub fn label(&self, kind: Kind) -> &str {
        let entry = self.entries.get(kind.index());
        entry.map_or("", |entry| entry.label.as_str())
    }

    /// Number of kinds in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no kinds.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
