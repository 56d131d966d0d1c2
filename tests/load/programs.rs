//! Runs the programs of the stand-in and of the load generator as processes.

use std::{
    net::TcpStream,
    path::PathBuf,
    process::{
        Child,
        Command,
        Output,
        Stdio, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use bamboolock::load::{
    report::Report,
    schedule, //
};

const STANDIN: &str = env!("CARGO_BIN_EXE_bamboolock-standin");
const LOAD: &str = env!("CARGO_BIN_EXE_bamboolock-load");

/// Time limit for a start or a stop of the stand-in; ample on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// Returns a loopback address derived from the process id, so that test processes that run at the
/// same time do not share ports.
fn host() -> String {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    format!("127.{}.{b}.{c}", a.max(1))
}

/// Creates a directory for the files of one test.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("bamboolock-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().unwrap()
}

/// The stand-in's process, which is killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already, which makes both calls fail.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn start(settings: &str, platform: &str) -> Self {
        let mut command = Command::new(STANDIN);
        command.args(["--settings", settings]).stderr(Stdio::null());
        let process = Self(command.spawn().unwrap());
        let start = Instant::now();
        while TcpStream::connect(platform).is_err() {
            assert!(
                start.elapsed() < PATIENCE,
                "the stand-in does not accept connections"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        process
    }

    /// Sends SIGTERM and waits for the exit. Returns the exit status.
    fn stop(mut self) -> Option<i32> {
        let script = format!("kill -TERM {}", self.0.id());
        assert!(run("sh", &["-c", &script]).status.success());
        let start = Instant::now();
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status.code();
            }
            assert!(start.elapsed() < PATIENCE, "the stand-in does not stop");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn exit_statuses_and_messages_identify_the_error() {
    let folder = folder("exit");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let bad = file("bad.json", r#"{"threads": 0, "colour": 1}"#);
    let good = file("good.json", r#"{"threads": 1}"#);
    let line = file("bad.jsonl", "{}\n");
    let arrivals = file("none.jsonl", "");
    let missing = folder.join("missing.json");
    let missing = missing.to_str().unwrap();
    let cases: [(&str, &str, &[&str], i32, &str); 8] = [
        ("checked", STANDIN, &["--settings", &good, "--check"], 0, ""),
        (
            "bad settings",
            STANDIN,
            &["--settings", &bad],
            1,
            "/threads",
        ),
        (
            "no file",
            STANDIN,
            &["--settings", missing],
            1,
            "missing.json",
        ),
        ("unknown option", STANDIN, &["--colour"], 2, "--colour"),
        ("bad mix", LOAD, &["--mix", &bad], 1, "bad.json"),
        ("bad arrivals", LOAD, &["--arrivals", &line], 1, "line 1"),
        ("no input", LOAD, &[], 2, "--mix"),
        (
            "no platform",
            LOAD,
            &[
                "--arrivals",
                &arrivals,
                "--direct",
                "--platform",
                "127.0.0.1:1",
            ],
            3,
            "platform",
        ),
    ];
    for (name, program, arguments, status, text) in cases {
        let output = run(program, arguments);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(status), "{name}: {errors}");
        assert!(errors.contains(text), "{name}: {errors}");
    }
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_recorded_mix_is_sent_and_reported_and_the_stand_in_stops_on_sigterm() {
    let folder = folder("whole");
    let path = |name: &str| folder.join(name).to_str().unwrap().to_owned();
    let host = host();
    let platform = format!("{host}:18080");
    let settings = path("standin.json");
    let text = format!(r#"{{"listen": "{platform}", "workers": "{host}:19000"}}"#);
    std::fs::write(&settings, text).unwrap();
    let mix = r#"{"duration": 500, "streams": [{"profile": "check", "rate": 100}]}"#;
    std::fs::write(path("mix.json"), mix).unwrap();

    let recorded = path("arrivals.jsonl");
    let output = run(LOAD, &["--mix", &path("mix.json"), "--record", &recorded]);
    assert!(output.status.success());
    let arrivals = schedule::read(recorded.as_ref()).unwrap();
    assert!(!arrivals.is_empty());

    let standin = Process::start(&settings, &platform);
    let (json, plot) = (path("report.json"), path("report.svg"));
    let arguments = [
        "--arrivals",
        &recorded,
        "--direct",
        "--platform",
        &platform,
        "--json",
        &json,
        "--plot",
        &plot,
    ];
    let output = run(LOAD, &arguments);
    assert!(output.status.success(), "{output:?}");
    let report = std::fs::read_to_string(json).unwrap();
    let report: Report = serde_json::from_str(&report).unwrap();
    assert_eq!(report.rows[0].sent, arrivals.len() as u64);
    assert_eq!(
        report.judge.unwrap().counters.requests,
        arrivals.len() as u64
    );
    assert!(
        std::fs::read_to_string(plot)
            .unwrap()
            .contains("latency in ms")
    );
    assert_eq!(standin.stop(), Some(0));
    std::fs::remove_dir_all(folder).unwrap();
}
