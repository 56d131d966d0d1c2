//! An index of usable workers by the number of free slots.

use crate::kernel::WorkerKey;

/// Workers with more free slots than this share the last bucket.
const MAX_BUCKET: usize = 64;

/// Where a worker stands in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    bucket: usize,
    at: usize,
}

/// The usable workers, in buckets by free slots.
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

/// The bucket of a number of free slots.
fn bucket(slots: u32) -> usize {
    usize::try_from(slots).unwrap_or(MAX_BUCKET).min(MAX_BUCKET)
}

impl Index {
    /// How many workers it holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a worker and returns where it stands.
    pub fn add(&mut self, key: WorkerKey, slots: u32) -> Position {
        let bucket = bucket(slots);
        let row = &mut self.buckets[bucket];
        row.push(key);
        self.len += 1;
        let at = row.len() - 1;
        Position { bucket, at }
    }

    /// Takes a worker out. Returns the worker that now stands in its place, if any.
    pub fn remove(&mut self, position: Position) -> Option<WorkerKey> {
        let row = &mut self.buckets[position.bucket];
        row.swap_remove(position.at);
        self.len -= 1;
        row.get(position.at).copied()
    }

    /// Whether a worker with that many free slots belongs where `position` is.
    #[must_use]
    pub fn fits(&self, position: Position, slots: u32) -> bool {
        position.bucket == bucket(slots)
    }

    /// The workers with at least `slots` free, from a place chosen by `random` and round.
    pub fn from_random(&self, slots: u32, random: u64) -> impl Iterator<Item = WorkerKey> + '_ {
        let low = bucket(slots);
        let count: usize = self.buckets[low..].iter().map(Vec::len).sum();
        let skip = random.checked_rem(count as u64).unwrap_or(0);
        let (start, at) = self.locate(low, usize::try_from(skip).unwrap_or(0));
        let head = self.buckets[start..].iter().flatten().skip(at);
        let tail = self.buckets[low..].iter().flatten();
        head.chain(tail).take(count).copied()
    }

    /// The workers with at least `slots` free, those with the fewest first.
    pub fn tightest(&self, slots: u32, random: u64) -> impl Iterator<Item = WorkerKey> + '_ {
        let low = bucket(slots);
        self.buckets[low..].iter().flat_map(move |row| {
            let skip = random.checked_rem(row.len() as u64).unwrap_or(0);
            let (tail, head) = row.split_at(usize::try_from(skip).unwrap_or(0));
            head.iter().chain(tail).copied()
        })
    }

    /// The bucket and the place in it of the `skip`-th worker from the bucket `low` on.
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
