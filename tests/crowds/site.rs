//! One instance on a small machine, what it may take of the machine, and an ordinary request.

use std::{
    fs,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use serde_json::json;

use super::{
    processes::{
        self,
        Instance, //
    },
    standin,
    workers::JobSpec, //
};

/// Memory of the machine, in megabytes. The debug build takes about 20 MB by itself.
const MEMORY_MB: u64 = 96;

/// Largest resident memory of the process, in KiB: 0.7 of the machine's memory.
const MAX_RESIDENT_KB: u64 = MEMORY_MB * 700_000 / 1_024;

/// Descriptors of a machine on which memory is scarcer.
pub(super) const MANY_DESCRIPTORS: usize = 2_000;

/// Descriptors of a machine on which they are scarce.
pub(super) const FEW_DESCRIPTORS: usize = 300;

/// Longest time that an ordinary request is repeated, and its job waited for.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause before a request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Held by the test that runs: the processes of one test would slow down those of another.
static TURN: Mutex<()> = Mutex::new(());

/// An instance, alone in its cell, with the platform that it runs on.
pub(super) struct Site {
    pub(super) instance: Instance,
    platform: standin::Shared,
    max_fds: usize,
    /// Largest number of open descriptors seen.
    descriptors: usize,
    /// Number of ordinary jobs.
    jobs: u64,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts an instance whose machine has `max_fds` descriptors.
    pub(super) fn start(max_fds: usize) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let (address, platform) = standin::start(4, 8_000);
        let config = json!({
            "version": 3,
            "routes": [{"name": "q", "host": "h", "path_prefix": "/q/", "service": "s", "target_latency_ms": 1_000}],
            "services": [{"name": "s"}],
        });
        platform
            .lock()
            .unwrap()
            .publish("keyed.op", "config", &config);
        let limits = json!({"memory_mb": MEMORY_MB, "max_fds": max_fds});
        let name = format!("crowd-{}", address.port());
        let site = Self {
            instance: Instance::start_with_limits(&name, address, &limits),
            platform,
            max_fds,
            descriptors: 0,
            jobs: 0,
            _turn: turn,
        };
        wait_until("the instance is ready", || site.instance.is_ready());
        site
    }

    /// Notes the number of open descriptors.
    pub(super) fn sample(&mut self) {
        let listed = fs::read_dir(format!("/proc/{}/fd", self.instance.pid()));
        let open = listed.map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(open);
    }

    /// Returns a value of the process's status, in KiB.
    fn status(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.instance.pid());
        let text = fs::read_to_string(path).unwrap_or_default();
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        let number = value.and_then(|text| text.split_whitespace().next());
        number.map_or(0, |text| text.parse().unwrap())
    }

    /// Checks that the process lives, within its memory and descriptors.
    pub(super) fn check(&mut self) {
        self.sample();
        assert!(!self.instance.has_ended(), "the process has ended");
        let (now, peak) = (self.status("VmRSS"), self.status("VmHWM"));
        let (open, most) = (self.descriptors, self.max_fds);
        println!("resident {now} KiB, at most {peak} KiB; descriptors {open}");
        assert!(
            peak <= MAX_RESIDENT_KB,
            "{peak} KiB resident, more than {MAX_RESIDENT_KB}"
        );
        assert!(open <= most, "{open} descriptors, more than {most}");
    }

    /// Hands in a job and waits until it is completed. A refusal under load is repeated.
    pub(super) fn serve_job(&mut self) {
        self.jobs += 1;
        let id = format!("{:016x}", 0xC000 + self.jobs);
        let job = JobSpec {
            steps: vec![(1, 100, false, Vec::new())],
            accepted: true,
            cancelled: None,
        };
        let mut platform = self.platform.lock().unwrap();
        platform.judge.attempts = 9;
        platform.judge.jobs.insert(id.clone(), job);
        drop(platform);
        let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 100, "mem_mb": 8, "estimated_ms": 300}]});
        let (body, path, front) = (body.to_string(), format!("/q/{id}"), self.instance.front);
        wait_until("an ordinary job is accepted", || match processes::exchange(
            front, "POST", &path, &body,
        ) {
            Some((200, _)) => true,
            Some((503 | 504 | 408, _)) | None => false,
            other => panic!("{id}: {other:?}"),
        });
        wait_until("an ordinary job is completed", || {
            let shown = processes::exchange(front, "GET", &path, "");
            shown.is_some_and(|(status, body)| status == 200 && body.contains("completed"))
        });
        let platform = self.platform.lock().unwrap();
        let judge = &platform.judge;
        assert!(judge.violations.is_empty(), "{:?}", judge.violations);
        assert!(judge.is_done(&id), "reported as completed before it was");
    }
}

pub(super) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(
            began.elapsed() < ORDINARY_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(RETRY_PAUSE);
    }
}
