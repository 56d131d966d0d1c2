//! Which instances, and the store, were without disruption long enough for bounds in time to hold.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Calm time after which bounds hold, by the platform's description.
const STABLE_AFTER: Duration = Duration::from_millis(4_000);

#[derive(Debug, Clone, Copy, Default)]
struct Site {
    active: u32,
    ended: Option<Instant>,
}

impl Site {
    fn is_stable(&self) -> bool {
        self.active == 0 && self.ended.is_none_or(|at| at.elapsed() > STABLE_AFTER)
    }
}

/// Where a fault is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Location {
    Instance(usize),
    Store,
    /// Location workers, which bounds on instances do not ask about.
    Elsewhere,
}

/// All sites.
#[derive(Debug)]
pub(super) struct Disruptions {
    sites: Mutex<Vec<Site>>,
    instances: usize,
}

impl Disruptions {
    pub(super) fn new(instances: usize) -> Self {
        Self {
            sites: Mutex::new(vec![Site::default(); instances + 2]),
            instances,
        }
    }

    fn index(&self, at: Location) -> usize {
        match at {
            Location::Instance(n) => n,
            Location::Store => self.instances,
            Location::Elsewhere => self.instances + 1,
        }
    }

    pub(super) fn begin(&self, at: Location) {
        self.sites.lock().unwrap()[self.index(at)].active += 1;
    }

    pub(super) fn end(&self, at: Location) {
        let site = &mut self.sites.lock().unwrap()[self.index(at)];
        site.active -= 1;
        site.ended = Some(Instant::now());
    }

    /// Whether bounds hold for an instance.
    pub(super) fn is_stable(&self, instance: usize) -> bool {
        let sites = self.sites.lock().unwrap();
        sites[instance].is_stable() && sites[self.instances].is_stable()
    }

    /// Whether nothing at all is disturbed.
    pub(super) fn all_stable(&self) -> bool {
        self.sites.lock().unwrap().iter().all(Site::is_stable)
    }
}
