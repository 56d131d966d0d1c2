//! Whether a copy may be served from. A copy that is being built passes through versions that were
//! replaced long ago; an accepted change must not seem to revert while that lasts.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use tokio::time::Instant;

use crate::ids::Offset;

/// How long a fresh copy that cannot reach the log listens for peers that are ahead.
const LISTEN: Duration = Duration::from_secs(1);

/// Tracks a copy from its start until it has caught up once.
#[derive(Debug)]
pub(super) struct Fresh {
    current: Arc<AtomicBool>,
    goal: Offset,
    start: Instant,
}

impl Fresh {
    pub(super) fn new() -> Self {
        Self {
            current: Arc::new(AtomicBool::new(false)),
            goal: Offset(0),
            start: Instant::now(),
        }
    }

    /// The flag that readers look at; once set it stays.
    pub(super) fn flag(&self) -> Arc<AtomicBool> {
        self.current.clone()
    }

    /// Notes that a peer has applied everything below `next`.
    pub(super) fn ahead(&mut self, next: Offset) {
        self.goal = self.goal.max(next);
    }

    /// Notes that the log ends at `end` and this copy stands at `next`.
    pub(super) fn read(&mut self, next: Offset, end: Offset) {
        if next >= end {
            self.current.store(true, Ordering::Release);
        }
    }

    /// Decides by what peers said, if the log has not been reached.
    pub(super) fn review(&mut self, next: Offset) {
        if self.goal > Offset(0) && next >= self.goal && self.start.elapsed() >= LISTEN {
            self.current.store(true, Ordering::Release);
        }
    }
}
