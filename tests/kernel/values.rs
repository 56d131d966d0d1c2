//! Constructors of test values.

use std::time::Duration;

use bamboolock::{
    configs,
    ids::{
        Incarnation,
        InstanceId,
        Millis,
        ProfileName,
        RunId,
        WorkerId, //
    },
    kernel::{
        members,
        runs, //
    },
    ledger::record,
    profile,
    resources::Resources,
    wire::{
        list,
        worker::{
            self,
            TaskId, //
        }, //
    }, //
};

pub(super) fn instance(at: usize) -> InstanceId {
    format!("entry-{at}").parse().unwrap()
}

pub(super) fn worker(at: usize) -> WorkerId {
    format!("worker-{at}").parse().unwrap()
}

pub(super) fn run(name: &str) -> RunId {
    name.parse().unwrap()
}

pub(super) fn profile_name() -> ProfileName {
    "plans".parse().unwrap()
}

pub(super) fn task(run_name: &str, index: u32, attempt: u32) -> TaskId {
    TaskId {
        run: run(run_name),
        index,
        attempt,
    }
}

/// A task that a worker reports as running.
pub(super) fn running(id: TaskId) -> worker::Task {
    worker::Task {
        id,
        state: worker::State::Running,
        demand: demand(1, 500),
        checkpoint: 0,
        reason: "".into(),
    }
}

pub(super) fn me(at: usize, zone: &str, incarnation: u64) -> members::Identity {
    members::Identity {
        id: instance(at),
        incarnation: Incarnation(incarnation),
        zone: zone.parse().unwrap(),
        region: "island".parse().unwrap(),
    }
}

pub(super) fn author(at: usize, incarnation: u64) -> record::Author {
    record::Author {
        instance: instance(at),
        incarnation: Incarnation(incarnation),
    }
}

pub(super) fn demand(slots: u32, millicores: u32) -> Resources {
    Resources {
        millicores,
        memory: 256,
        accelerators: 0,
        slots,
        connections: 0,
    }
}

pub(super) fn request_demand() -> Resources {
    Resources {
        slots: 1,
        connections: 1,
        ..Resources::default()
    }
}

pub(super) fn capacity() -> Resources {
    Resources {
        millicores: 4_000,
        memory: 4_096,
        accelerators: 1,
        slots: 4,
        connections: 8,
    }
}

pub(super) fn accepted(name: &str, kind: profile::Kind, tasks: u32) -> record::Accepted {
    record::Accepted {
        run: run(name),
        profile: profile_name(),
        version: 1,
        zone: "a".parse().unwrap(),
        tasks,
        demand: demand(1, 500),
        terms: record::Terms {
            kind,
            attempts: 3,
            ..record::Terms::default()
        },
        estimate: 0,
        deadline: 60_000,
        key: None,
        payload: serde_json::Value::Null,
    }
}

pub(super) fn listed(id: &str, role: list::Role, zone: &str) -> list::Instance {
    list::Instance {
        id: id.into(),
        role,
        zone: zone.parse().unwrap(),
        region: "island".parse().unwrap(),
        rack: "rack-1".parse().unwrap(),
        address: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        state: list::State::Live,
        incarnation: bamboolock::ids::WorkerIncarnation(1),
    }
}

pub(super) fn listing(mut instances: Vec<list::Instance>) -> list::Listing {
    instances.sort_by(|a, b| a.id.cmp(&b.id));
    list::Listing {
        at: Millis(0),
        instances,
    }
}

/// Returns lease settings whose margin tolerates clocks that deviate by 5%.
pub(super) fn lease() -> configs::lease::Lease {
    configs::lease::Lease::default()
}

pub(super) fn membership() -> configs::membership::Membership {
    configs::membership::Membership::default()
}

pub(super) fn runs_cfg() -> configs::runs::Runs {
    configs::runs::Runs {
        backoff: Duration::from_millis(100),
        ..configs::runs::Runs::default()
    }
}

/// A single published profile, returned for every name.
pub(super) struct Published(pub(super) profile::Profile);

impl Published {
    pub(super) fn new() -> Self {
        let text = r#"{"kind": "run", "team": "gates"}"#;
        Self(serde_json::from_str(text).unwrap())
    }
}

impl runs::Profiles for Published {
    fn profile(&self, _: &ProfileName) -> Option<&profile::Profile> {
        Some(&self.0)
    }
}
