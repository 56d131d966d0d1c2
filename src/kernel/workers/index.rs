//! Index of usable workers by the number of free slots.

use crate::kernel::WorkerKey;

/// Number of the last bucket, which holds the workers with at least this many free slots.
const MAX_BUCKET: usize = 64;

/// Position of a worker in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    bucket: usize,
    at: usize,
}

/// Usable workers in buckets by free slots.
#[derive(Debug, Clone)]
pub struct Index {
    buckets: Vec<Vec<WorkerKey>>,
    len: usize,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            buckets: vec![Vec::new(); MAX_BUCKET + 1],
            len: 0,
        }
    }
}

/// Returns the bucket for a number of free slots.
fn bucket(slots: u32) -> usize {
    usize::try_from(slots).unwrap_or(MAX_BUCKET).min(MAX_BUCKET)
}

impl Index {
    /// Returns the number of workers in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the index is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a worker and returns its position.
    pub fn add(&mut self, key: WorkerKey, slots: u32) -> Position {
        let bucket = bucket(slots);
        let row = &mut self.buckets[bucket];
        row.push(key);
        self.len += 1;
        let at = row.len() - 1;
        Position { bucket, at }
    }

    /// Removes a worker. Returns the worker that was moved to its position, if any.
    pub fn remove(&mut self, position: Position) -> Option<WorkerKey> {
        let row = &mut self.buckets[position.bucket];
        row.swap_remove(position.at);
        self.len -= 1;
        row.get(position.at).copied()
    }

    /// Returns whether a worker with that many free slots belongs in the bucket of `position`.
    #[must_use]
    pub fn fits(&self, position: Position, slots: u32) -> bool {
        position.bucket == bucket(slots)
    }

    /// Returns the workers with at least `slots` free slots, starting at a position chosen by
    /// `random` and wrapping around.
    pub fn from_random(&self, slots: u32, random: u64) -> impl Iterator<Item = WorkerKey> + '_ {
        let low = bucket(slots);
        let count: usize = self.buckets[low..].iter().map(Vec::len).sum();
        let skip = random.checked_rem(count as u64).unwrap_or(0);
        let (start, at) = self.locate(low, usize::try_from(skip).unwrap_or(0));
        let head = self.buckets[start..].iter().flatten().skip(at);
        let tail = self.buckets[low..].iter().flatten();
        head.chain(tail).take(count).copied()
    }

    /// Returns the workers with at least `slots` free slots, those with the fewest first. Within a
    /// bucket, the order starts at a position chosen by `random`.
    pub fn tightest(&self, slots: u32, random: u64) -> impl Iterator<Item = WorkerKey> + '_ {
        let low = bucket(slots);
        self.buckets[low..].iter().flat_map(move |row| {
            let skip = random.checked_rem(row.len() as u64).unwrap_or(0);
            let (tail, head) = row.split_at(usize::try_from(skip).unwrap_or(0));
            head.iter().chain(tail).copied()
        })
    }

    /// Returns the bucket and the position in it of the `skip`-th worker, counted from the bucket
    /// `low`.
    fn locate(&self, low: usize, mut skip: usize) -> (usize, usize) {
        for (bucket, row) in self.buckets.iter().enumerate().skip(low) {
            if skip < row.len() {
                return (bucket, skip);
            }
            skip -= row.len();
        }
        (low, 0)
    }
}
