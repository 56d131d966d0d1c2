//! Which instances, and the store, were without disruption long enough for bounds in time to hold.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Calm time after which bounds hold, by the platform's description.
const CONTACT: Duration = Duration::from_millis(4_000);

#[derive(Debug, Clone, Copy, Default)]
struct Place {
    active: u32,
    ended: Option<Instant>,
}

impl Place {
    fn is_calm(&self) -> bool {
        self.active == 0 && self.ended.is_none_or(|at| at.elapsed() > CONTACT)
    }
}

/// Where a fault is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum At {
    Instance(usize),
    Store,
    /// At workers, which bounds on instances do not ask about.
    Elsewhere,
}

/// All places.
#[derive(Debug)]
pub(super) struct Touch {
    places: Mutex<Vec<Place>>,
    instances: usize,
}

impl Touch {
    pub(super) fn new(instances: usize) -> Self {
        Self {
            places: Mutex::new(vec![Place::default(); instances + 2]),
            instances,
        }
    }

    fn index(&self, at: At) -> usize {
        match at {
            At::Instance(n) => n,
            At::Store => self.instances,
            At::Elsewhere => self.instances + 1,
        }
    }

    pub(super) fn begin(&self, at: At) {
        self.places.lock().unwrap()[self.index(at)].active += 1;
    }

    pub(super) fn end(&self, at: At) {
        let place = &mut self.places.lock().unwrap()[self.index(at)];
        place.active -= 1;
        place.ended = Some(Instant::now());
    }

    /// Whether bounds hold for an instance.
    pub(super) fn has(&self, instance: usize) -> bool {
        let places = self.places.lock().unwrap();
        places[instance].is_calm() && places[self.instances].is_calm()
    }

    /// Whether nothing at all is disturbed.
    pub(super) fn is_calm(&self) -> bool {
        self.places.lock().unwrap().iter().all(Place::is_calm)
    }
}
