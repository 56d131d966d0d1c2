//! What every long-running program shares: its command line, its logs, its run loop.

use std::{
    fmt::Display,
    io::Write,
    path::PathBuf,
    process::ExitCode,
    sync::{
        LazyLock,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        mpsc, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command,
    value_parser, //
};
use log::kv::{
    self,
    Key,
    Value,
    VisitSource, //
};
use prometheus_client::metrics::counter::Counter;

use crate::findings::Findings;

/// Exit status of a program that was given bad settings.
pub const BAD_SETTINGS: u8 = 1;

/// Exit status of a program that could not start or go on.
pub const FAILED: u8 = 3;

/// A command with the options that every long-running program has.
#[must_use]
pub fn command(name: &'static str, about: &'static str) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .short('s')
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file (JSON)");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings, report every fault and exit");
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .arg(settings)
        .arg(check)
        .after_help(
            "Log levels by module: RUST_LOG, for example RUST_LOG=info,bamboolock::ledger=debug\n\
             Exit status: 0 stopped gracefully, 1 bad settings, 2 usage, 3 failed",
        )
}

/// The settings file that the command line names.
///
/// # Panics
///
/// Panics when `matches` does not come from [`command`].
#[must_use]
pub fn settings_path(matches: &ArgMatches) -> &PathBuf {
    matches.get_one("settings").expect("the option is required")
}

/// Prints all findings to the standard error stream.
#[must_use]
pub fn report(findings: &Findings) -> ExitCode {
    eprintln!("{findings}");
    eprintln!("{} finding(s), nothing was started", findings.list.len());
    ExitCode::from(BAD_SETTINGS)
}

/// Writes one line an event to the standard error stream: time, level, module, text, fields.
pub fn logs() {
    start_logs(env_logger::Target::Stderr);
}

/// Writes one line an event to standard output, from a thread of its own: a slow reader costs
/// lines, which are counted, and never time.
pub fn logs_to_output() {
    let (lines, queue) = mpsc::sync_channel(LOG_LINES);
    let writer = std::thread::Builder::new().name("logs".to_owned());
    if let Err(e) = writer.spawn(move || write_lines(&queue)) {
        eprintln!("no thread for logs: {e}");
    }
    start_logs(env_logger::Target::Pipe(Box::new(Lines(lines))));
}

/// Lines that wait to be written at most: some seconds of a busy instance.
const LOG_LINES: usize = 4_096;

/// Time for which lines are gathered before they are written.
const LOG_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for lines to be written before a program ends: a slow reader must not keep it.
const LAST_LINES: Duration = Duration::from_millis(500);

/// Time between two looks at whether they are.
const LAST_LOOK: Duration = Duration::from_millis(5);

/// Lines that wait to be written.
static WAITING: AtomicUsize = AtomicUsize::new(0);

static DROPPED: LazyLock<Counter> = LazyLock::new(Counter::default);

/// Counts the log lines that were dropped because the reader was slow.
#[must_use]
pub fn dropped() -> Counter {
    DROPPED.clone()
}

/// Hands whole lines to the writing thread.
struct Lines(mpsc::SyncSender<Vec<u8>>);

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        WAITING.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            WAITING.fetch_sub(1, Ordering::Relaxed);
            DROPPED.inc();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &mpsc::Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    let mut lines = Vec::new();
    while let Ok(line) = queue.recv() {
        lines.extend(line);
        std::thread::sleep(LOG_PAUSE);
        let mut count = 1;
        for line in queue.try_iter() {
            lines.extend(line);
            count += 1;
        }
        // Nobody is left to tell when the output is closed.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
        lines.clear();
        WAITING.fetch_sub(count, Ordering::Relaxed);
    }
}

/// Waits until the last lines are written, which say why a program ends.
fn finish_logs() {
    let began = Instant::now();
    while WAITING.load(Ordering::Relaxed) > 0 && began.elapsed() < LAST_LINES {
        std::thread::sleep(LAST_LOOK);
    }
}

fn start_logs(target: env_logger::Target) {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    builder.target(target);
    builder.format(|out, record| {
        let time = out.timestamp_millis();
        let level = record.level();
        let module = record.target();
        write!(
            out,
            "{time} {level} {module} {:?}",
            record.args().to_string()
        )?;
        // A field that cannot be written is left out; the event itself stands.
        let _ = record.key_values().visit(&mut Fields(out));
        writeln!(out)
    });
    // A second call, in a test, keeps the first.
    let _ = builder.try_init();
}

/// Writes fields as ` key=value`.
struct Fields<'a, W: Write>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for Fields<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

/// Runs a program to its end.
pub fn run<E: Display>(program: impl Future<Output = Result<(), E>>) -> ExitCode {
    let code = match actix::System::new().block_on(program) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("stopped: {e}");
            ExitCode::from(FAILED)
        }
    };
    finish_logs();
    code
}

/// Waits until the process is asked to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signals cannot be watched.
pub async fn stop_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{
        SignalKind,
        signal, //
    };
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
