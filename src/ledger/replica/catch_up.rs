//! Tracks whether a replica has caught up and may serve reads.
//!
//! A replica that is still replaying shows outdated versions; serving them would make an accepted
//! change seem to revert.

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

/// How long a new replica that cannot reach the log waits for the offsets of its peers.
const PEER_WAIT: Duration = Duration::from_secs(1);

/// Tracks a replica from its start until it has caught up once.
#[derive(Debug)]
pub(super) struct CatchUp {
    caught_up: Arc<AtomicBool>,
    peer_offset: Offset,
    started: Instant,
}

impl CatchUp {
    pub(super) fn new() -> Self {
        Self {
            caught_up: Arc::new(AtomicBool::new(false)),
            peer_offset: Offset(0),
            started: Instant::now(),
        }
    }

    /// The flag that readers check; it stays set once the replica has caught up.
    pub(super) fn flag(&self) -> Arc<AtomicBool> {
        self.caught_up.clone()
    }

    /// Records that a peer has applied all entries below `next`.
    pub(super) fn peer_at(&mut self, next: Offset) {
        self.peer_offset = self.peer_offset.max(next);
    }

    /// Records that the log ends at `end` and this replica has applied all entries below `next`.
    pub(super) fn log_read(&mut self, next: Offset, end: Offset) {
        if next >= end {
            self.caught_up.store(true, Ordering::Release);
        }
    }

    /// Determines by the offsets of peers whether the replica has caught up, for the case that the
    /// log is unreachable.
    pub(super) fn check_peers(&mut self, next: Offset) {
        if self.peer_offset > Offset(0)
            && next >= self.peer_offset
            && self.started.elapsed() >= PEER_WAIT
        {
            self.caught_up.store(true, Ordering::Release);
        }
    }
}
