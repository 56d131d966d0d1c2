//! Jobs survive failures of instances and of the store, and each task completes exactly once.

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use serde_json::{
    Value,
    json, //
};

use super::{
    processes::{
        self,
        Instance, //
    },
    standin::{
        self,
        Shared, //
    },
    workers::JobSpec, //
};

/// Longest time that a caller retries the submission of a job.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time until all jobs are completed.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);

pub(super) struct Cell {
    pub(super) platform: Shared,
    pub(super) instances: Vec<Instance>,
    jobs: Vec<String>,
}

impl Cell {
    pub(super) fn start(instances: usize) -> Self {
        Self::start_with_links(instances, 0.0)
    }

    /// Starts a cell in which each instance has a link of `mbps` megabits per second; 0 for no
    /// limit.
    pub(super) fn start_with_links(instances: usize, mbps: f64) -> Self {
        let (address, platform) = standin::start(4, 8_000);
        Self::start_at(address, platform, instances, mbps)
    }

    /// Starts a cell at a stand-in that was started before.
    pub(super) fn start_at(
        address: SocketAddr,
        platform: Shared,
        instances: usize,
        mbps: f64,
    ) -> Self {
        let config = json!({
            "version": 3,
            "routes": [{"name": "q", "host": "h", "path_prefix": "/q/", "service": "s", "target_latency_ms": 1_000,
                        "max_attempts": 9, "stretch": 2.0}],
            "services": [{"name": "s"}],
        });
        {
            let mut state = platform.lock().unwrap();
            state.judge.attempts = 9;
            state.publish("keyed.op", "config", &config);
        }
        let start = |n: usize| {
            Instance::start_with_link(&format!("i{n}-{}", address.port()), address, mbps)
        };
        let cell = Self {
            platform,
            instances: (0..instances).map(start).collect(),
            jobs: Vec::new(),
        };
        wait_until("all instances are ready", || {
            cell.instances.iter().all(Instance::is_ready)
        });
        cell
    }

    /// Submits a job, at one instance after the other until one accepts it.
    fn submit(&mut self) {
        let n = self.jobs.len() as u32;
        let id = format!("{:016x}", 0xA000 + n);
        let (count, cpu, gang) = (1 + n % 4, 500 + n % 3 * 700, n.is_multiple_of(5));
        let second = n.is_multiple_of(3);
        let mut steps = vec![
            json!({"count": count, "cpu": cpu, "mem_mb": 64, "estimated_ms": 300, "gang": gang}),
        ];
        let mut known = vec![(count, cpu, gang, Vec::new())];
        if second {
            steps.push(json!({"count": 2, "cpu": 400, "mem_mb": 64, "estimated_ms": 300, "depends_on": [0]}));
            known.push((2, 400, false, vec![0]));
        }
        let known = JobSpec {
            steps: known,
            accepted: true,
            cancelled: None,
        };
        self.platform
            .lock()
            .unwrap()
            .judge
            .jobs
            .insert(id.clone(), known);
        let body = json!({"spec": "x", "steps": steps}).to_string();
        self.send(n as usize, &id, &body);
        self.jobs.push(id);
    }

    /// Submits a job of one step with `tasks` tasks, first at the instance `at`.
    pub(super) fn submit_at(&mut self, at: usize, id: u32, body: &str, (tasks, cpu): (u32, u32)) {
        let id = format!("{id:016x}");
        let known = JobSpec {
            steps: vec![(tasks, cpu, false, Vec::new())],
            accepted: true,
            cancelled: None,
        };
        let mut state = self.platform.lock().unwrap();
        state.judge.jobs.insert(id.clone(), known);
        drop(state);
        self.send(at, &id, body);
        self.jobs.push(id);
    }

    /// Submits a job, at the instance `first` and then at the others, until one accepts it.
    fn send(&self, first: usize, id: &str, body: &str) {
        let began = Instant::now();
        for attempt in first.. {
            let front = self.instances[attempt % self.instances.len()].front;
            match processes::exchange(front, "POST", &format!("/q/{id}"), body) {
                Some((200, _)) => break,
                Some((503 | 504, _)) | None => thread::sleep(Duration::from_millis(200)),
                other => panic!("{id}: {other:?}"),
            }
            assert!(
                began.elapsed() < SUBMIT_TIMEOUT,
                "{id} was not accepted in time"
            );
        }
    }

    pub(super) fn submit_for(&mut self, span: Duration) {
        let began = Instant::now();
        while began.elapsed() < span {
            self.submit();
            thread::sleep(Duration::from_millis(40));
        }
    }

    /// Returns the index of the instance that owns the cell.
    pub(super) fn owner(&self) -> usize {
        let record = self
            .platform
            .lock()
            .unwrap()
            .newest("keyed.owner", "owner")
            .unwrap();
        let record: Value = serde_json::from_slice(&record).unwrap();
        let name = record["instance"].as_str().unwrap();
        self.instances.iter().position(|i| i.name == name).unwrap()
    }

    /// Waits until all jobs are reported as completed, and checks what the judge has recorded.
    pub(super) fn finish(&self) {
        let front = |id: &str| {
            let answers = self
                .instances
                .iter()
                .map(|i| processes::exchange(i.front, "GET", &format!("/q/{id}"), ""));
            answers.flatten().find(|(status, _)| *status == 200)
        };
        let done = |id: &String| front(id).is_some_and(|(_, body)| body.contains("completed"));
        wait_until("all jobs are completed", || self.jobs.iter().all(done));
        let state = self.platform.lock().unwrap();
        assert!(
            state.judge.violations.is_empty(),
            "{:?}",
            state.judge.violations
        );
        assert!(
            self.jobs.iter().all(|id| state.judge.is_done(id)),
            "reported as completed before it was"
        );
        assert!(state.judge.completions as usize >= self.jobs.len());
    }
}

pub(super) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(
            began.elapsed() < COMPLETION_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn jobs_survive_repeated_kills_of_the_owner() {
    let mut cell = Cell::start(3);
    for _ in 0..2 {
        cell.submit_for(Duration::from_millis(1_500));
        let owner = cell.owner();
        cell.instances[owner].kill();
        cell.submit_for(Duration::from_millis(1_500));
        assert_ne!(cell.owner(), owner);
        cell.instances[owner].launch();
    }
    cell.finish();
}

#[test]
fn a_resumed_former_owner_is_fenced() {
    let mut cell = Cell::start(3);
    cell.submit_for(Duration::from_millis(1_500));
    let owner = cell.owner();
    cell.instances[owner].signal("STOP");
    cell.submit_for(Duration::from_millis(4_000));
    assert_ne!(cell.owner(), owner);
    cell.instances[owner].signal("CONT");
    cell.submit_for(Duration::from_millis(1_000));
    cell.finish();
}

#[test]
fn heartbeats_of_an_earlier_build_are_answered_with_a_list() {
    let cell = Cell::start(2);
    let beat = json!({"instance": "old", "address": "127.0.0.1:1", "term": 0, "strength": 1});
    for instance in &cell.instances {
        let answer = processes::exchange(instance.peer, "POST", "/ping", &beat.to_string());
        let (status, body) = answer.unwrap();
        let reply: Value = serde_json::from_str(&body).unwrap();
        assert_eq!(status, 200);
        assert!(reply["members"].is_array(), "{body}");
    }
}

#[test]
fn a_claimant_that_still_reads_the_stored_jobs_is_not_replaced() {
    let mut cell = Cell::start(4);
    cell.submit_for(Duration::from_millis(1_000));
    let owner = cell.owner();
    cell.platform.lock().unwrap().fault.slow_jobs = 1_500;
    cell.instances[owner].kill();
    let begun = |cell: &Cell| {
        let logs = cell.instances.iter().map(Instance::log);
        logs.map(|log| log.matches("term begins").count())
            .sum::<usize>()
    };
    wait_until("another term begins", || begun(&cell) > 1);
    thread::sleep(Duration::from_millis(1_500));
    cell.platform.lock().unwrap().fault.slow_jobs = 0;
    cell.submit_for(Duration::from_millis(500));
    assert_eq!(begun(&cell), 2, "one term after the first");
    cell.finish();
}

#[test]
fn jobs_survive_a_kill_of_all_instances() {
    let mut cell = Cell::start(2);
    cell.submit_for(Duration::from_millis(1_500));
    cell.instances.iter_mut().for_each(Instance::kill);
    cell.instances.iter_mut().for_each(Instance::launch);
    cell.submit_for(Duration::from_millis(1_000));
    cell.finish();
}

#[test]
fn a_job_that_was_sent_to_the_store_is_not_rejected_when_the_term_ends() {
    let cell = Cell::start(1);
    let front = cell.instances[0].front;
    {
        let mut state = cell.platform.lock().unwrap();
        state.silent_epoch = 1;
        state.applied_silently = true;
        state.silent_claims = true;
    }
    let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 1}]}).to_string();
    let caller =
        thread::spawn(move || processes::exchange(front, "POST", "/q/00000000000000ff", &body));
    wait_until("the job is stored", || {
        let state = cell.platform.lock().unwrap();
        state.newest("keyed.jobs", "a00000000000000ff").is_some()
    });
    cell.platform.lock().unwrap().fence(2);
    let answer = caller.join().unwrap();
    assert_eq!(
        answer.map(|(status, _)| status),
        Some(504),
        "the next owner runs the job"
    );
}

#[test]
fn a_store_outage_rejects_new_jobs_only() {
    let mut cell = Cell::start(2);
    cell.submit_for(Duration::from_millis(1_000));
    let owner = cell.owner();
    cell.platform.lock().unwrap().fault.down = true;
    thread::sleep(Duration::from_millis(1_500));
    let body = json!({"steps": [{"count": 1, "cpu": 1}]}).to_string();
    let began = Instant::now();
    let answer = processes::exchange(
        cell.instances[0].front,
        "POST",
        "/q/00000000000000ff",
        &body,
    );
    assert_eq!(
        answer.map(|(status, _)| status),
        Some(503),
        "the job is rejected"
    );
    assert!(
        began.elapsed() < Duration::from_millis(600),
        "the rejection is immediate"
    );
    cell.platform.lock().unwrap().fault.down = false;
    cell.submit_for(Duration::from_millis(1_500));
    assert_eq!(cell.owner(), owner, "the owner stays the same");
    cell.finish();
}
