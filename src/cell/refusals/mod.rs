//! Refused submissions of which a copy may still be under way.
//!
//! An instance repeats a submission that the owner does not answer. If the owner refuses a later copy, the
//! caller is told that its request never runs, while an earlier copy may arrive at any time: the bytes of
//! a connection that was cut off are delivered once the path is back. All copies of a request share a
//! number, so the owner remembers the numbers that it has refused and takes none of them afterwards.
//!
//! Copies name the term of their owner, so nothing is remembered across terms.

/// Number of refused requests that are remembered one by one for each instance. Beyond it the older half
/// counts as one range, so this exceeds the requests that an instance has in progress during an outage.
pub const MAX_NUMBERS: usize = 1_024;

/// Number of incarnations of instances that are remembered.
pub const MAX_INSTANCES: usize = 1_024;

/// Time after its last refusal for which an incarnation is remembered, in milliseconds: longer than a
/// connection lives whose bytes are not acknowledged.
pub const RETENTION_MS: u64 = 30 * 60 * 1_000;

/// A caller's request to submit a job, of which several copies may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Incarnation of the instance that received the request; a random number.
    pub incarnation: u64,
    /// Number of the request there, from 1 on; 0 if the instance does not number its requests.
    pub number: u64,
}

/// Refused requests of one incarnation of an instance.
#[derive(Debug)]
struct Instance {
    incarnation: u64,
    /// Local time of the last refusal, in milliseconds.
    refused_at: u64,
    /// Highest number of which it is no longer known whether the request was refused.
    floor: u64,
    /// Refused requests above the floor, sorted.
    numbers: Vec<u64>,
}

impl Instance {
    fn contains(&self, number: u64) -> bool {
        number <= self.floor || self.numbers.binary_search(&number).is_ok()
    }

    fn insert(&mut self, number: u64) {
        if number <= self.floor {
            return;
        }
        let Err(at) = self.numbers.binary_search(&number) else {
            return;
        };
        self.numbers.insert(at, number);
        if self.numbers.len() > MAX_NUMBERS {
            let older = MAX_NUMBERS / 2;
            self.floor = self.numbers[older - 1];
            self.numbers.drain(..older);
        }
    }
}

/// Refusals of one owner in one term.
#[derive(Debug, Default)]
pub struct Refusals {
    /// Sorted by incarnation.
    instances: Vec<Instance>,
}

impl Refusals {
    fn find(&self, incarnation: u64) -> Result<usize, usize> {
        self.instances
            .binary_search_by_key(&incarnation, |instance| instance.incarnation)
    }

    /// Whether a copy of the request must not be taken, because another one was refused or may have been.
    #[must_use]
    pub fn contains(&self, attempt: Attempt) -> bool {
        let found = self.find(attempt.incarnation);
        attempt.number > 0 && found.is_ok_and(|at| self.instances[at].contains(attempt.number))
    }

    /// Remembers at local time `now`, in milliseconds, that a request is refused. Returns whether the
    /// refusal holds for all copies; it does not if they cannot be recognised, or if too many instances
    /// are remembered.
    #[must_use]
    pub fn record(&mut self, attempt: Attempt, now: u64) -> bool {
        let Attempt {
            incarnation,
            number,
        } = attempt;
        if number == 0 {
            return false;
        }
        if self.find(incarnation).is_err() && self.instances.len() >= MAX_INSTANCES {
            self.instances
                .retain(|instance| now < instance.refused_at + RETENTION_MS);
        }
        let at = match self.find(incarnation) {
            Ok(at) => at,
            Err(_) if self.instances.len() >= MAX_INSTANCES => return false,
            Err(at) => {
                let instance = Instance {
                    incarnation,
                    refused_at: now,
                    floor: 0,
                    numbers: Vec::new(),
                };
                self.instances.insert(at, instance);
                at
            }
        };
        let instance = &mut self.instances[at];
        instance.refused_at = now;
        instance.insert(number);
        true
    }
}
