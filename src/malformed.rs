//! Counts and logs the malformed entries of lists that others write. Both the lines and the memory
//! are bounded, however many entries there are.

use std::{
    fmt::Display,
    sync::{
        LazyLock,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use compact_str::{
    CompactString,
    ToCompactString, //
};
use log::warn;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family, //
    }, //
};
use tokio::time::Instant;

/// Number of entries that are remembered, so that each is logged once while it stays malformed.
const MAX_KNOWN: usize = 1_024;

/// Number of lines about single entries in each interval.
const MAX_LINES: u32 = 16;

/// Interval of the lines that sum up the entries without a line of their own.
const INTERVAL: Duration = Duration::from_secs(10);

/// Maximum length of a name or a cause in a line, in characters.
const MAX_CHARS: usize = 80;

/// List that an entry belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum List {
    /// Registrations of workers.
    Registrations,
    /// Records that an owner of the cell stored.
    Records,
    /// Items in the store's pages.
    Items,
    /// Reports of workers, and their rows.
    Reports,
    /// Permits of the placement policy.
    Permits,
    /// The operator's configuration.
    Configuration,
    /// The list of instances.
    Instances,
}

impl List {
    fn name(self) -> &'static str {
        match self {
            List::Registrations => "registrations",
            List::Records => "records",
            List::Items => "items",
            List::Reports => "reports",
            List::Permits => "permits",
            List::Configuration => "configuration",
            List::Instances => "instances",
        }
    }
}

/// Labels of the counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Labels {
    /// Name of the list.
    pub list: &'static str,
}

/// Malformed entries of all lists of a process.
#[derive(Debug, Default)]
pub struct Entries {
    counts: Family<Labels, Counter>,
    /// Entries that are malformed now and have had their line, sorted.
    known: Vec<(List, CompactString)>,
    /// Start of the present interval.
    began: Option<Instant>,
    /// Number of lines in the present interval.
    lines: u32,
    /// Number of entries without a line in the present interval.
    unlogged: u64,
}

impl Entries {
    /// Counts a malformed entry. Returns whether it gets a line, and the number of entries without
    /// one if an interval has ended.
    pub fn note(&mut self, list: List, name: &str, now: Instant) -> (bool, Option<u64>) {
        let labels = Labels { list: list.name() };
        self.counts.get_or_create(&labels).inc();
        let mut unlogged = None;
        if self.began.is_none_or(|began| now >= began + INTERVAL) {
            unlogged = Some(self.unlogged).filter(|count| *count > 0);
            (self.began, self.lines, self.unlogged) = (Some(now), 0, 0);
        }
        let entry = (list, clip(name));
        let fresh = match self.known.binary_search(&entry) {
            Ok(_) => false,
            Err(at) => {
                if self.known.len() < MAX_KNOWN {
                    self.known.insert(at, entry);
                }
                true
            }
        };
        let logged = fresh && self.lines < MAX_LINES;
        if logged {
            self.lines += 1;
        } else {
            self.unlogged += 1;
        }
        (logged, unlogged)
    }

    /// Forgets an entry that is well-formed or removed; it gets a line when it turns malformed
    /// again.
    pub fn forget(&mut self, list: List, name: &str) {
        if let Ok(at) = self.known.binary_search(&(list, clip(name))) {
            self.known.remove(at);
        }
    }
}

/// Shortens a text for a log line, and escapes what is not printable.
fn clip(text: &str) -> CompactString {
    let end = text
        .char_indices()
        .nth(MAX_CHARS)
        .map_or(text.len(), |c| c.0);
    text[..end].escape_debug().to_compact_string()
}

static ENTRIES: LazyLock<Mutex<Entries>> = LazyLock::new(Mutex::default);

/// Counts a malformed entry of `list`, and logs it when it first turns malformed.
pub fn note(list: List, name: &str, cause: &dyn Display) {
    let mut entries = ENTRIES.lock().unwrap_or_else(PoisonError::into_inner);
    let (logged, unlogged) = entries.note(list, name, Instant::now());
    drop(entries);
    if let Some(count) = unlogged {
        warn!(entries = count; "more malformed entries ignored");
    }
    if logged {
        warn!(list = list.name(), entry = clip(name).as_str(), cause = clip(&cause.to_string()).as_str(); "malformed entry ignored");
    }
}

/// Forgets an entry of `list` that is well-formed or removed.
pub fn forget(list: List, name: &str) {
    let mut entries = ENTRIES.lock().unwrap_or_else(PoisonError::into_inner);
    entries.forget(list, name);
}

/// Returns the counter of malformed entries of this process, with a series for each of `lists`.
#[must_use]
pub fn counts(lists: &[List]) -> Family<Labels, Counter> {
    let entries = ENTRIES.lock().unwrap_or_else(PoisonError::into_inner);
    for list in lists {
        // A series exists from its first use.
        entries
            .counts
            .get_or_create(&Labels { list: list.name() })
            .inc_by(0);
    }
    entries.counts.clone()
}
