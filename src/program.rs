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
pub const EXIT_BAD_SETTINGS: u8 = 1;

/// Exit status of a program that could not start or go on.
pub const EXIT_FAILED: u8 = 3;

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
pub fn print_findings(findings: &Findings) -> ExitCode {
    eprintln!("{findings}");
    eprintln!("{} finding(s), nothing was started", findings.list.len());
    ExitCode::from(EXIT_BAD_SETTINGS)
}

/// Writes one line an event to the standard error stream: time, level, module, text, fields.
pub fn log_to_stderr() {
    init_logger(env_logger::Target::Stderr);
}

/// Writes one line an event to standard output, from a thread of its own: a slow reader costs
/// lines, which are counted, and never time.
pub fn log_to_stdout() {
    let (lines, queue) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let writer = std::thread::Builder::new().name("logs".to_owned());
    if let Err(e) = writer.spawn(move || write_lines(&queue)) {
        eprintln!("no thread for logs: {e}");
    }
    init_logger(env_logger::Target::Pipe(Box::new(LineSender(lines))));
}

/// LineSender that wait to be written at most: some seconds of a busy instance.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time for which lines are gathered before they are written.
const WRITE_DELAY: Duration = Duration::from_millis(50);

/// Longest wait for lines to be written before a program ends: a slow reader must not keep it.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two looks at whether they are.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// LineSender that wait to be written.
static QUEUED_LINES: AtomicUsize = AtomicUsize::new(0);

static DROPPED_LINES: LazyLock<Counter> = LazyLock::new(Counter::default);

/// Counts the log lines that were dropped because the reader was slow.
#[must_use]
pub fn dropped_lines() -> Counter {
    DROPPED_LINES.clone()
}

/// Hands whole lines to the writing thread.
struct LineSender(mpsc::SyncSender<Vec<u8>>);

impl Write for LineSender {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        QUEUED_LINES.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            QUEUED_LINES.fetch_sub(1, Ordering::Relaxed);
            DROPPED_LINES.inc();
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
        std::thread::sleep(WRITE_DELAY);
        let mut count = 1;
        for line in queue.try_iter() {
            lines.extend(line);
            count += 1;
        }
        // Nobody is left to tell when the output is closed.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
        lines.clear();
        QUEUED_LINES.fetch_sub(count, Ordering::Relaxed);
    }
}

/// Waits until the last lines are written, which say why a program ends.
fn flush_lines() {
    let started = Instant::now();
    while QUEUED_LINES.load(Ordering::Relaxed) > 0 && started.elapsed() < FLUSH_TIMEOUT {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

fn init_logger(target: env_logger::Target) {
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
        let _ = record.key_values().visit(&mut FieldWriter(out));
        writeln!(out)
    });
    // A second call, in a test, keeps the first.
    let _ = builder.try_init();
}

/// Writes fields as ` key=value`.
struct FieldWriter<'a, W: Write>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for FieldWriter<'_, W> {
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
            ExitCode::from(EXIT_FAILED)
        }
    };
    flush_lines();
    code
}

/// Waits until the process is asked to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signals cannot be watched.
pub async fn shutdown_signal() -> std::io::Result<()> {
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
