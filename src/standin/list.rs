//! List of instances, which shows their states with a lag.

use crate::{
    ids::{
        Millis, //
        WorkerIncarnation,
    },
    wire::list::{
        Instance,
        Listing,
        State, //
    }, //
};

/// Instance with the history of its states.
#[derive(Debug)]
struct Row {
    instance: Instance,
    /// Time, state and incarnation of each change, in order of time.
    changes: Vec<(Millis, State, WorkerIncarnation)>,
}

/// List of instances; its rows are sorted by id.
#[derive(Debug, Default)]
pub struct List {
    rows: Vec<Row>,
    /// Lag, in milliseconds.
    lag: u64,
    /// Time since which updates are stopped.
    frozen: Option<Millis>,
}

impl List {
    /// Creates a list of the instances with a lag in milliseconds.
    #[must_use]
    pub fn new(instances: Vec<Instance>, lag: u64) -> Self {
        let mut rows: Vec<_> = instances.into_iter().map(Row::new).collect();
        rows.sort_by(|a, b| a.instance.id.cmp(&b.instance.id));
        Self {
            rows,
            lag,
            frozen: None,
        }
    }

    /// Returns the lag, in milliseconds.
    #[must_use]
    pub fn lag(&self) -> u64 {
        self.lag
    }

    /// Sets the lag, in milliseconds.
    pub fn set_lag(&mut self, lag: u64) {
        self.lag = lag;
    }

    /// Stops or resumes updates of the list.
    pub fn freeze(&mut self, now: Millis, frozen: bool) {
        self.frozen = frozen.then_some(self.frozen.unwrap_or(now));
    }

    /// Whether updates are stopped.
    #[must_use]
    pub fn frozen(&self) -> bool {
        self.frozen.is_some()
    }

    /// Records a change of an instance. Returns whether the id is known.
    pub fn change(
        &mut self,
        now: Millis,
        id: &str,
        state: State,
        boot: Option<WorkerIncarnation>,
    ) -> bool {
        let found = self
            .rows
            .binary_search_by(|r| r.instance.id.as_str().cmp(id));
        let Ok(at) = found else {
            return false;
        };
        let row = &mut self.rows[at];
        let last = row.changes.last().map_or(row.instance.incarnation, |c| c.2);
        row.changes.push((now, state, boot.unwrap_or(last)));
        true
    }

    /// Returns the list as shown at `now`; its timestamp is on the same clock as `now`.
    #[must_use]
    pub fn snapshot(&self, now: Millis) -> Listing {
        let seen = self.frozen.unwrap_or(now).since(Millis(self.lag));
        Listing {
            at: Millis(seen),
            instances: self.rows.iter().map(|r| r.snapshot(Millis(seen))).collect(),
        }
    }
}

impl Row {
    fn new(instance: Instance) -> Self {
        Self {
            instance,
            changes: Vec::new(),
        }
    }

    fn snapshot(&self, at: Millis) -> Instance {
        let mut instance = self.instance.clone();
        let last = self.changes.iter().rev().find(|c| c.0 <= at);
        if let Some((_, state, boot)) = last {
            instance.state = *state;
            instance.incarnation = *boot;
        }
        instance
    }
}
