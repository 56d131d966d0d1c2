//! Group commit: collects records into batches and tracks the batches until their outcome is known.
//!
//! One append is in progress at a time. A batch whose response was lost keeps its id and text and
//! is appended again until it is read back from the log. Records are idempotent, so a duplicate
//! batch has no further effect.

use std::collections::VecDeque;

use tokio::time::Instant;

use crate::{
    ids::ChangeId,
    ledger::{
        effect::{
            Applied,
            Effect, //
        },
        record, //
    }, //
};

/// Maximum size of the records in one batch, in bytes, unless a single item is larger.
pub const MAX_BATCH_BYTES: usize = 512 * 1_024;

/// Records that are appended together, with a reply handle.
#[derive(Debug)]
pub struct Item<T> {
    /// Reply handle of the sender.
    pub reply: T,
    /// The records; they are written in one batch.
    pub records: Vec<serde_json::Value>,
    /// Time at which the sender stops waiting.
    pub deadline: Instant,
}

/// A batch that was sent to the log and not yet read back.
#[derive(Debug)]
struct InFlight<T> {
    id: ChangeId,
    text: String,
    /// The items and the index of the first record of each.
    items: Vec<(usize, Item<T>)>,
    /// Number of appends that may have left this process.
    sends: u32,
    /// Whether the log has acknowledged an append of the batch.
    acknowledged: bool,
}

/// A batch to append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Id of the batch.
    pub id: ChangeId,
    /// The batch as JSON text.
    pub text: String,
}

/// An item whose deadline has passed.
#[derive(Debug)]
pub struct Expired<T> {
    /// Reply handle of the sender.
    pub reply: T,
    /// Whether the records may still take effect.
    pub pending: bool,
}

/// Records that wait for an append or are being appended.
#[derive(Debug)]
pub struct Queue<T> {
    by: record::Author,
    max_records: usize,
    count: u64,
    waiting: VecDeque<Item<T>>,
    in_flight: Vec<InFlight<T>>,
}

impl<T> Queue<T> {
    /// Creates an empty queue of an author whose batches hold at most `max_records` records, or one
    /// larger item.
    #[must_use]
    pub fn new(by: record::Author, max_records: usize) -> Self {
        Self {
            by,
            max_records,
            count: 0,
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
        }
    }

    /// Adds an item to the next batch.
    pub fn push(&mut self, item: Item<T>) {
        self.waiting.push_back(item);
    }

    /// The number of records that wait for an append.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.iter().map(|i| i.records.len()).sum()
    }

    /// Whether no record waits and no batch is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// The batch to append next: the unacknowledged one again, or a new batch of the waiting
    /// records.
    pub fn next_outgoing(&mut self) -> Option<Outgoing> {
        if let Some(open) = self.in_flight.iter_mut().find(|f| !f.acknowledged) {
            open.sends += 1;
            return Some(Outgoing {
                id: open.id.clone(),
                text: open.text.clone(),
            });
        }
        self.compose_batch()
    }

    /// Marks a batch as acknowledged by the log, so that the next batch can be appended.
    pub fn acknowledge(&mut self, id: &ChangeId) {
        let batch = self.in_flight.iter_mut().find(|f| f.id == *id);
        if let Some(batch) = batch {
            batch.acknowledged = true;
        }
    }

    /// Records that the last append of a batch did not leave this process. The items of the batch
    /// wait again if no other append may have left.
    pub fn requeue_unsent(&mut self, id: &ChangeId) {
        let Some(at) = self.in_flight.iter().position(|f| f.id == *id) else {
            return;
        };
        self.in_flight[at].sends -= 1;
        if self.in_flight[at].sends > 0 {
            return;
        }
        let batch = self.in_flight.remove(at);
        for (_, item) in batch.items.into_iter().rev() {
            self.waiting.push_front(item);
        }
    }

    /// Removes a batch that the log rejects for good. Returns the reply handles of its items.
    pub fn reject(&mut self, id: &ChangeId) -> Vec<T> {
        let Some(at) = self.in_flight.iter().position(|f| f.id == *id) else {
            return Vec::new();
        };
        let batch = self.in_flight.remove(at);
        batch.items.into_iter().map(|(_, i)| i.reply).collect()
    }

    /// Whether a batch is in flight and neither acknowledged nor read back from the log.
    #[must_use]
    pub fn is_unacknowledged(&self, id: &ChangeId) -> bool {
        self.in_flight
            .iter()
            .any(|f| f.id == *id && !f.acknowledged)
    }

    /// Removes a batch that was read back from the log. Returns the effects of each of its items.
    pub fn complete(&mut self, applied: &Applied) -> Vec<(T, Vec<Effect>)> {
        let id = applied.batch.as_ref();
        let Some(at) = self.in_flight.iter().position(|f| Some(&f.id) == id) else {
            return Vec::new();
        };
        let batch = self.in_flight.remove(at);
        batch
            .items
            .into_iter()
            .map(|(first, item)| {
                let end = first + item.records.len();
                (item.reply, effects(applied, first, end))
            })
            .collect()
    }

    /// Removes the items whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Expired<T>> {
        let mut expired = Vec::new();
        expire_waiting(&mut self.waiting, now, &mut expired);
        for batch in &mut self.in_flight {
            expire_in_flight(batch, now, &mut expired);
        }
        self.in_flight.retain(|f| !f.items.is_empty());
        expired
    }

    fn compose_batch(&mut self) -> Option<Outgoing> {
        let mut records = Vec::new();
        let mut items = Vec::new();
        let mut bytes = 0;
        while let Some(item) = self.waiting.front() {
            bytes += encoded_len(item);
            let full =
                records.len() + item.records.len() > self.max_records || bytes > MAX_BATCH_BYTES;
            if full && !items.is_empty() {
                break;
            }
            let Some(item) = self.waiting.pop_front() else {
                break;
            };
            let first = records.len();
            records.extend(item.records.iter().cloned());
            items.push((first, item));
        }
        if items.is_empty() {
            return None;
        }
        self.dispatch(records, items)
    }

    fn dispatch(
        &mut self,
        records: Vec<serde_json::Value>,
        items: Vec<(usize, Item<T>)>,
    ) -> Option<Outgoing> {
        let id = self.next_id()?;
        let batch = record::Batch {
            format: record::FORMAT,
            id: id.clone(),
            by: self.by.clone(),
            records,
        };
        let text = serde_json::to_string(&batch).ok()?;
        self.in_flight.push(InFlight {
            id: id.clone(),
            text: text.clone(),
            items,
            sends: 1,
            acknowledged: false,
        });
        Some(Outgoing { id, text })
    }

    /// An id that no other author and no other incarnation of this author uses.
    fn next_id(&mut self) -> Option<ChangeId> {
        self.count += 1;
        let author = xxhash_rust::xxh3::xxh3_64(self.by.instance.as_str().as_bytes());
        let id = format!("{author:016x}.{}.{}", self.by.incarnation, self.count);
        id.parse().ok()
    }
}

/// The length of an item's records as JSON text, in bytes.
fn encoded_len<T>(item: &Item<T>) -> usize {
    let texts = item.records.iter().map(serde_json::Value::to_string);
    texts.map(|text| text.len()).sum()
}

fn expire_waiting<T>(waiting: &mut VecDeque<Item<T>>, now: Instant, expired: &mut Vec<Expired<T>>) {
    let (late, rest) = waiting.drain(..).partition(|i| i.deadline <= now);
    *waiting = rest;
    let late: VecDeque<Item<T>> = late;
    expired.extend(late.into_iter().map(|item| Expired {
        reply: item.reply,
        pending: false,
    }));
}

fn expire_in_flight<T>(batch: &mut InFlight<T>, now: Instant, expired: &mut Vec<Expired<T>>) {
    let (late, rest) = batch.items.drain(..).partition(|(_, i)| i.deadline <= now);
    batch.items = rest;
    let late: Vec<(usize, Item<T>)> = late;
    expired.extend(late.into_iter().map(|(_, item)| Expired {
        reply: item.reply,
        pending: true,
    }));
}

fn effects(applied: &Applied, first: usize, end: usize) -> Vec<Effect> {
    let pairs = applied.effects.iter().zip(&applied.origins);
    pairs
        .filter(|(_, origin)| (first..end).contains(*origin))
        .map(|(effect, _)| effect.clone())
        .collect()
}
