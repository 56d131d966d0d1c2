//! Plays the platform's balancer: picks an entry instance for each exchange.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    time::Duration, //
};

use tokio::time;

/// How long an instance that refused a connection is passed over.
const PENALTY: Duration = Duration::from_millis(1_000);

/// The entry instances, taken in turn.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<SocketAddr>,
    turn: Cell<usize>,
    /// Until when each is passed over.
    down: RefCell<Vec<Option<time::Instant>>>,
}

impl Balancer {
    /// A balancer over these instances.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        let down = RefCell::new(vec![None; entries.len()]);
        Self {
            entries,
            turn: Cell::new(0),
            down,
        }
    }

    /// How many instances there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The next instance that is not passed over, or the next one when all are.
    pub fn next(&self) -> Option<SocketAddr> {
        let count = self.entries.len();
        let first = self.turn.get().checked_rem(count)?;
        self.turn.set(first + 1);
        let now = time::Instant::now();
        let down = self.down.borrow();
        let up = |i: &usize| down[*i].is_none_or(|until| until <= now);
        let order = (0..count).map(|i| (first + i) % count);
        let chosen = order.clone().find(up).unwrap_or(first);
        Some(self.entries[chosen])
    }

    /// Passes an instance over for a while.
    pub fn avoid(&self, entry: SocketAddr) {
        let until = time::Instant::now() + PENALTY;
        let pairs = self.entries.iter().enumerate();
        for (i, _) in pairs.filter(|(_, e)| **e == entry) {
            self.down.borrow_mut()[i] = Some(until);
        }
    }
}
