//! Tracks active faults by location, to tell where time bounds apply.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Time without faults after which time bounds apply, by the platform's description.
const STABLE_AFTER: Duration = Duration::from_millis(4_000);

#[derive(Debug, Clone, Copy, Default)]
struct Site {
    active: u32,
    /// End of the latest fault.
    ended: Option<Instant>,
}

impl Site {
    fn is_stable(&self) -> bool {
        self.active == 0 && self.ended.is_none_or(|at| at.elapsed() > STABLE_AFTER)
    }
}

/// Location of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Location {
    Instance(usize),
    Store,
    /// At workers; bounds on instances apply regardless of these faults.
    Elsewhere,
}

/// Active and past faults of all locations.
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

    /// Whether time bounds apply to an instance.
    pub(super) fn is_stable(&self, instance: usize) -> bool {
        let sites = self.sites.lock().unwrap();
        sites[instance].is_stable() && sites[self.instances].is_stable()
    }

    /// Whether time bounds apply everywhere.
    pub(super) fn all_stable(&self) -> bool {
        self.sites.lock().unwrap().iter().all(Site::is_stable)
    }
}
