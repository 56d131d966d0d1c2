//! Local clock of an instance. It goes on while the machine is suspended, unlike the clock of the
//! runtime: leases at workers and the time that a successor waits go on as well.

use std::time::Duration;

use rustix::time::{
    self,
    ClockId, //
};

/// Local time at the start of the process, in milliseconds; not zero, so that earlier times are
/// representable.
const LOCAL_EPOCH_MS: u64 = 1_000_000;

/// Clock that counts from the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Duration,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: since_boot(),
        }
    }

    /// Returns the local time in milliseconds.
    #[must_use]
    pub fn now(&self) -> u64 {
        LOCAL_EPOCH_MS + since_boot().saturating_sub(self.started).as_millis() as u64
    }
}

/// Returns the time since the machine was booted, including the time in which it was suspended.
fn since_boot() -> Duration {
    let now = time::clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
