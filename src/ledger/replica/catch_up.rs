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
const PEER_WAIT: Duration = Duration::from_secs(1);

/// Tracks a copy from its started until it has caught up once.
#[derive(Debug)]
pub(super) struct CatchUp {
    current: Arc<AtomicBool>,
    peer_offset: Offset,
    started: Instant,
}

impl CatchUp {
    pub(super) fn new() -> Self {
        Self {
            current: Arc::new(AtomicBool::new(false)),
            peer_offset: Offset(0),
            started: Instant::now(),
        }
    }

    /// The flag that readers look at; once set it stays.
    pub(super) fn flag(&self) -> Arc<AtomicBool> {
        self.current.clone()
    }

    /// Notes that a peer has applied everything below `next`.
    pub(super) fn peer_at(&mut self, next: Offset) {
        self.peer_offset = self.peer_offset.max(next);
    }

    /// Notes that the log ends at `end` and this copy stands at `next`.
    pub(super) fn log_read(&mut self, next: Offset, end: Offset) {
        if next >= end {
            self.current.store(true, Ordering::Release);
        }
    }

    /// Decides by what peers said, if the log has not been reached.
    pub(super) fn check_peers(&mut self, next: Offset) {
        if self.peer_offset > Offset(0)
            && next >= self.peer_offset
            && self.started.elapsed() >= PEER_WAIT
        {
            self.current.store(true, Ordering::Release);
        }
    }
}
