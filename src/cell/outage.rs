//! Whether submissions wait while the store does not answer.
//!
//! Handles the callers who arrive during an outage of a few seconds. The early ones cannot be served
//! and hear it at once; the later ones wait for the store, since each attempt that is refused brings
//! a caller closer to giving up.

/// Time for which a batch may wait to be stored before the store counts as unreachable, in
/// milliseconds.
pub const STORE_LOST_MS: u64 = 900;

/// Length of a usual outage, in milliseconds.
const USUAL_OUTAGE_MS: u64 = 4_500;

/// Whether a submission should be refused, given for how long the oldest batch has waited to be
/// stored and for how long its caller still waits, both in milliseconds.
#[must_use]
pub fn is_hopeless(waits: u64, left: u64) -> bool {
    waits > STORE_LOST_MS && waits.saturating_add(left) < USUAL_OUTAGE_MS
}
