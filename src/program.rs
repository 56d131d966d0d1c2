//! Common parts of the long-running programs: command line, logging and run loop.

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

/// Exit status of a program with invalid settings.
pub const EXIT_BAD_SETTINGS: u8 = 1;

/// Exit status of a program that failed to start or to continue.
pub const EXIT_FAILED: u8 = 3;

/// Creates a command with the options that all long-running programs share.
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
        .help("Check the settings, report all errors and exit");
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

/// Returns the path of the settings file from the command line.
///
/// # Panics
///
/// Panics if `matches` does not come from [`command`].
#[must_use]
pub fn settings_path(matches: &ArgMatches) -> &PathBuf {
    matches.get_one("settings").expect("the option is required")
}

/// Prints all findings to standard error and returns the exit status for invalid settings.
#[must_use]
pub fn print_findings(findings: &Findings) -> ExitCode {
    eprintln!("{findings}");
    eprintln!("{} finding(s), nothing was started", findings.list.len());
    ExitCode::from(EXIT_BAD_SETTINGS)
}

/// Initialises logging to standard error: one line per event with time, level, module, text and
/// fields.
pub fn log_to_stderr() {
    init_logger(env_logger::Target::Stderr);
}

/// Initialises logging to standard output, one line per event. A separate thread writes the lines,
/// so that a slow reader never blocks the program; lines that do not fit into the queue are dropped
/// and counted.
pub fn log_to_stdout() {
    let (lines, queue) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let writer = std::thread::Builder::new().name("logs".to_owned());
    if let Err(e) = writer.spawn(move || write_lines(&queue)) {
        eprintln!("cannot start the log thread: {e}");
    }
    init_logger(env_logger::Target::Pipe(Box::new(LineSender(lines))));
}

/// Maximum number of queued log lines: some seconds of output of a busy instance.
const MAX_QUEUED_LINES: usize = 4_096;

/// How long lines are collected before they are written together.
const WRITE_DELAY: Duration = Duration::from_millis(50);

/// Maximum wait for queued lines at exit, so that a slow reader cannot block the exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which the exit checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of log lines that are queued and not yet written.
static QUEUED_LINES: AtomicUsize = AtomicUsize::new(0);

/// Number of log lines that were dropped because the queue was full.
static DROPPED_LINES: LazyLock<Counter> = LazyLock::new(Counter::default);

/// Returns the counter of log lines that were dropped because the reader was too slow.
#[must_use]
pub fn dropped_lines() -> Counter {
    DROPPED_LINES.clone()
}

/// Sends complete lines to the writing thread.
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
        // A closed output cannot be reported anywhere.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
        lines.clear();
        QUEUED_LINES.fetch_sub(count, Ordering::Relaxed);
    }
}

/// Waits until the queued lines are written, since the last ones say why the program exits.
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
        // A field that cannot be written is omitted; the rest of the line is still written.
        let _ = record.key_values().visit(&mut FieldWriter(out));
        writeln!(out)
    });
    // Tests may call this more than once; the first logger stays.
    let _ = builder.try_init();
}

/// Writes the fields of a log event as ` key=value`. Control characters are escaped, since a value
/// from outside could begin a line of its own.
struct FieldWriter<'a, W: Write>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for FieldWriter<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let text = value.to_string();
        match text.contains(char::is_control) {
            true => write!(self.0, " {key}={}", text.escape_debug())?,
            false => write!(self.0, " {key}={text}")?,
        }
        Ok(())
    }
}

/// Runs a program until it exits and returns its exit status.
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

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the signal handlers cannot be installed.
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
