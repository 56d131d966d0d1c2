//! Clock of the stand-in: milliseconds since its start, measured on the runtime's clock.

use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use tokio::time;

use crate::ids::Millis;

/// Clock that counts from the start of the stand-in.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Start time on the runtime's clock.
    start: time::Instant,
    /// Start time in milliseconds since 1970.
    epoch: u64,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start: time::Instant::now(),
            epoch: since.map(millis).unwrap_or_default(),
        }
    }

    /// Returns the time in milliseconds since the start.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(millis(self.start.elapsed()))
    }

    /// Converts a time of this clock to milliseconds since 1970.
    #[must_use]
    pub fn wall(&self, at: Millis) -> Millis {
        at.plus(self.epoch)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
