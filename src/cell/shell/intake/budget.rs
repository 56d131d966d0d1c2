//! Budget of the bytes that the requests of one address hold: heads, bodies and decoded jobs.
//!
//! While the budget is exhausted, requests wait: their clients are not read. If that does not help,
//! a body is given up: the one whose client has sent nothing for longest, and where all clients
//! send, the newest.

use slotmap::SecondaryMap;

use super::ConnectionKey;

/// Size up to which a request may use the reserve, in bytes: an ordinary job.
pub const SMALL_BYTES: usize = 16 << 10;

/// Part of the budget that is reserved for small requests: one eighth.
const RESERVE_PART: usize = 8;

/// Time for which a request waits before a slow one is given up, in milliseconds.
pub const GIVE_UP_SLOW_MS: u64 = 200;

/// Time for which a request waits before one is given up whose client sends, in milliseconds: most
/// bodies that arrive are complete by then, and handled.
pub const GIVE_UP_MS: u64 = 1_000;

/// Time without a byte after which a client counts as slow, in milliseconds.
pub const SLOW_MS: u64 = 500;

/// Longest time for which a request waits, in milliseconds: less than the usual deadline of a
/// caller, 3,000.
pub const MAX_WAIT_MS: u64 = 2_000;

/// What a request holds, and what it waits for.
#[derive(Debug, Clone, Copy)]
struct Hold {
    /// Bytes of the head.
    head: usize,
    /// Bytes of the body or of the decoded job.
    body: usize,
    /// Further bytes that it waits for; 0 if it does not wait.
    wanted: usize,
    /// Whether the whole body is small.
    small: bool,
    began: u64,
    waits_since: u64,
    progress_at: u64,
    /// Whether all bytes have arrived.
    complete: bool,
    given_up: bool,
}

/// Bytes that are held and waited for.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    used: usize,
    holds: SecondaryMap<ConnectionKey, Hold>,
    /// Requests that wait, oldest first.
    waiting: Vec<ConnectionKey>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            holds: SecondaryMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Number of bytes that are held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn fits(&self, bytes: usize, small: bool) -> bool {
        let limit = match small {
            true => self.limit,
            false => self.limit - self.limit / RESERVE_PART,
        };
        self.used.saturating_add(bytes) <= limit
    }

    /// Begins a request at time `now`; `small` says whether its whole body is.
    pub fn begin(&mut self, key: ConnectionKey, small: bool, now: u64) {
        let head = self.holds.get(key).map_or(0, |hold| hold.head);
        let hold = Hold {
            head,
            body: 0,
            wanted: 0,
            small,
            began: now,
            waits_since: now,
            progress_at: now,
            complete: false,
            given_up: false,
        };
        self.holds.insert(key, hold);
    }

    /// Charges the head of a request with `bytes` in all; returns whether there is room for it.
    pub fn charge_head(&mut self, key: ConnectionKey, bytes: usize, now: u64) -> bool {
        if !self.holds.contains_key(key) {
            self.begin(key, true, now);
        }
        let held = self.holds.get(key).map_or(0, |hold| hold.head);
        let more = bytes.saturating_sub(held);
        if !self.fits(more, true) {
            return false;
        }
        if let Some(hold) = self.holds.get_mut(key) {
            hold.head += more;
            self.used += more;
        }
        true
    }

    /// Charges a body with `bytes` more; returns whether they are granted now. Otherwise the request
    /// waits for them.
    pub fn charge(&mut self, key: ConnectionKey, bytes: usize, now: u64) -> bool {
        let Some(hold) = self.holds.get(key) else {
            return false;
        };
        let first = hold.small || self.waiting.is_empty();
        let granted = first && self.fits(bytes, hold.small);
        let Some(hold) = self.holds.get_mut(key) else {
            return false;
        };
        if granted {
            hold.body += bytes;
            self.used += bytes;
            return true;
        }
        hold.wanted = bytes;
        hold.waits_since = now;
        self.waiting.push(key);
        false
    }

    /// Replaces what a complete body is charged with by `bytes`; returns whether there is room.
    pub fn replace(&mut self, key: ConnectionKey, bytes: usize) -> bool {
        let Some(hold) = self.holds.get(key) else {
            return true;
        };
        let more = bytes.saturating_sub(hold.body);
        if !self.fits(more, bytes <= SMALL_BYTES) {
            return false;
        }
        if let Some(hold) = self.holds.get_mut(key) {
            self.used = self.used - hold.body + bytes;
            hold.body = bytes;
        }
        true
    }

    /// Notes that a byte of a body has arrived.
    pub fn progress(&mut self, key: ConnectionKey, now: u64) {
        if let Some(hold) = self.holds.get_mut(key) {
            hold.progress_at = now;
        }
    }

    /// Notes that all bytes of a body have arrived: it is not given up any more.
    pub fn complete(&mut self, key: ConnectionKey) {
        if let Some(hold) = self.holds.get_mut(key) {
            hold.complete = true;
        }
    }

    /// Releases what a request holds.
    pub fn release(&mut self, key: ConnectionKey) {
        if let Some(hold) = self.holds.remove(key) {
            self.used -= hold.head + hold.body;
            if hold.wanted > 0 {
                self.waiting.retain(|other| *other != key);
            }
        }
    }

    /// Grants what the next request waits for that has room: small ones first, then the oldest.
    pub fn grant(&mut self, now: u64) -> Option<ConnectionKey> {
        let fitting = |at: &usize| {
            let hold = self.holds.get(self.waiting[*at]);
            hold.is_some_and(|hold| (hold.small || *at == 0) && self.fits(hold.wanted, hold.small))
        };
        let at = (0..self.waiting.len()).find(fitting)?;
        let key = self.waiting.remove(at);
        let hold = self.holds.get_mut(key)?;
        hold.body += hold.wanted;
        self.used += hold.wanted;
        hold.wanted = 0;
        // Its client was not read meanwhile.
        hold.progress_at = now;
        Some(key)
    }

    /// Chooses a body to give up at time `now`, if one has to be. It is chosen once, and releases
    /// what it holds later.
    pub fn give_up(&mut self, now: u64) -> Option<ConnectionKey> {
        let live = |key: &&ConnectionKey| self.holds.get(**key).is_some_and(|h| !h.given_up);
        let oldest = *self.waiting.iter().find(live)?;
        let hold = self.holds.get(oldest)?;
        if now < hold.waits_since + GIVE_UP_SLOW_MS {
            return None;
        }
        let chosen = if now >= hold.waits_since + MAX_WAIT_MS {
            oldest
        } else {
            self.expendable(oldest, hold, now)?
        };
        self.holds.get_mut(chosen)?.given_up = true;
        Some(chosen)
    }

    /// Body whose end lets `oldest` go on, which holds and waits as in `wait`; `None` if those that were
    /// given up before suffice, or if it has to wait longer.
    fn expendable(&self, oldest: ConnectionKey, wait: &Hold, now: u64) -> Option<ConnectionKey> {
        let ending = self.holds.values().filter(|hold| hold.given_up);
        let ending: usize = ending.map(|hold| hold.head + hold.body).sum();
        let usable = self.limit - self.limit / RESERVE_PART;
        if (self.used - ending).saturating_add(wait.wanted) <= usable {
            return None;
        }
        let others = || {
            let holds = self.holds.iter();
            holds.filter(|(key, hold)| {
                *key != oldest && hold.body > 0 && !hold.complete && !hold.given_up
            })
        };
        let slow = others().filter(|(_, h)| h.wanted == 0 && now >= h.progress_at + SLOW_MS);
        let slowest = slow.min_by_key(|(_, hold)| hold.progress_at);
        let long = now >= wait.waits_since + GIVE_UP_MS;
        let newest = || others().filter(|_| long).max_by_key(|(_, hold)| hold.began);
        slowest.or_else(newest).map(|(key, _)| key)
    }
}
