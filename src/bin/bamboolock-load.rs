//! Load generator: sends work to a cell and checks the responses.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    rc::Rc,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use bamboolock::{
    load::{
        Error,
        balancer::Balancer,
        direct::Pool,
        judge, //
        mix::Mix,
        plot,
        report::Report,
        run::{
            self,
            Plan,
            Target, //
        },
        schedule::{
            self,
            Arrival, //
        },
        table,
    },
    program,
    settings, //
};
use clap::{
    Arg,
    ArgAction,
    ArgGroup,
    ArgMatches,
    Command,
    value_parser, //
};

/// Exit status when a response was wrong or duplicated, or when the judge found a violation.
const VIOLATION: u8 = 4;

/// Default time to wait for a response, in milliseconds.
const DEFAULT_PATIENCE_MS: &str = "30000";

fn main() -> ExitCode {
    let matches = command().get_matches();
    program::log_to_stderr();
    let arrivals = match load_arrivals(&matches) {
        Ok(arrivals) => arrivals,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(program::EXIT_BAD_SETTINGS);
        }
    };
    match actix_web::rt::System::new().block_on(run_load(&matches, arrivals)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(VIOLATION),
        Err(e) => {
            log::error!(error:% = e; "load test failed");
            ExitCode::from(program::EXIT_FAILED)
        }
    }
}

fn command() -> Command {
    let file_arg = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help(help)
    };
    let address_arg = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .help(help)
    };
    let entry = address_arg("entry", "An entry instance; may be given several times");
    let platform = address_arg(
        "platform",
        "The platform of the stand-in; the verdict of the judge is fetched at the end",
    );
    Command::new("bamboolock-load")
        .about("Sends work at its scheduled times and checks every response")
        .arg(file_arg(
            "mix",
            "A mix of work to draw arrivals from (JSON)",
        ))
        .arg(file_arg("arrivals", "Recorded arrivals (JSON lines)"))
        .group(
            ArgGroup::new("input")
                .args(["mix", "arrivals"])
                .required(true),
        )
        .arg(entry.action(ArgAction::Append))
        .arg(platform)
        .arg(direct_arg())
        .arg(scale_arg())
        .arg(patience_arg())
        .arg(saturate_arg())
        .arg(file_arg("record", "Write the arrivals (JSON lines)"))
        .arg(file_arg("json", "Write the report (JSON)"))
        .arg(file_arg("plot", "Draw latency and goodput over time (SVG)"))
        .after_help(
            "Examples:\n  \
             bamboolock-load --mix mix.json --entry 127.0.0.1:7001 --entry 127.0.0.1:7002\n  \
             bamboolock-load --arrivals morning.jsonl --entry 127.0.0.1:7001 --json report.json\n  \
             bamboolock-load --mix mix.json --direct --platform 127.0.0.1:18080\n  \
             bamboolock-load --mix mix.json --record morning.jsonl\n\n\
             Without --entry and --direct nothing is sent.\n\n\
             Exit status: 0 success, 1 bad input, 2 usage, 3 failed,\n\
             4 a wrong or duplicate response or a violation",
        )
}

fn direct_arg() -> Arg {
    Arg::new("direct")
        .long("direct")
        .action(ArgAction::SetTrue)
        .requires("platform")
        .conflicts_with("entry")
        .help("Send requests directly to the backend servers, without jobs")
}

fn scale_arg() -> Arg {
    Arg::new("scale")
        .long("scale")
        .value_name("FACTOR")
        .value_parser(value_parser!(f64))
        .default_value("1")
        .help("Multiply all rates of the mix")
}

fn saturate_arg() -> Arg {
    Arg::new("saturate")
        .long("saturate")
        .value_name("CONNECTIONS")
        .value_parser(value_parser!(u16).range(1..))
        .help("Ignore the scheduled times: keep this many requests active, print the throughput")
}

fn patience_arg() -> Arg {
    Arg::new("patience")
        .long("patience")
        .value_name("MS")
        .value_parser(value_parser!(u64))
        .default_value(DEFAULT_PATIENCE_MS)
        .help("How long to wait for a response or the end of a job")
}

/// Loads or generates the arrivals that the arguments select. The error is a message for the user.
fn load_arrivals(matches: &ArgMatches) -> Result<Vec<Arrival>, String> {
    if let Some(path) = matches.get_one::<PathBuf>("arrivals") {
        return schedule::read(path).map_err(|e| e.to_string());
    }
    let Some(path) = matches.get_one::<PathBuf>("mix") else {
        return Err("either --mix or --arrivals is required".to_owned());
    };
    let mix: Mix = settings::load(path).map_err(|e| e.to_string())?;
    let scale = matches.get_one::<f64>("scale").copied().unwrap_or(1.0);
    Ok(schedule::generate(&mix, scale, &run_name()))
}

/// Returns a name for this run, so that the names of work differ from those of earlier runs.
fn run_name() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    format!("{:x}", since.unwrap_or_default().as_millis())
}

/// Sends the work and reports the result. Returns whether all checks passed.
async fn run_load(matches: &ArgMatches, arrivals: Vec<Arrival>) -> Result<bool, Error> {
    if let Some(path) = matches.get_one::<PathBuf>("record") {
        schedule::write(path, &arrivals)?;
    }
    let Some(target) = connect_target(matches).await? else {
        log::info!(arrivals = arrivals.len(); "no target was given; nothing was sent");
        return Ok(true);
    };
    let patience = matches.get_one::<u64>("patience").copied();
    let plan = Plan {
        target,
        timeout: Duration::from_millis(patience.unwrap_or_default()),
    };
    let arrivals = Rc::new(arrivals);
    if let Some(connections) = matches.get_one::<u16>("saturate") {
        let (good, took) = run::saturate(plan, &arrivals, usize::from(*connections)).await;
        let rate = good as f64 / took.as_secs_f64();
        println!("good={good} sent={} rate={rate:.1}", arrivals.len());
        return Ok(good == arrivals.len());
    }
    let samples = run::run(plan, &arrivals, wait_for_stop()).await;
    let judge = match matches.get_one::<SocketAddr>("platform") {
        Some(platform) => {
            let refused = judge::refused_work(&arrivals, &samples);
            Some(judge::request_verdict(&run::client(), *platform, refused).await?)
        }
        None => None,
    };
    let report = Report::new(&arrivals, &samples, judge);
    write_report(matches, &report)?;
    Ok(report.passed())
}

async fn connect_target(matches: &ArgMatches) -> Result<Option<Target>, Error> {
    if matches.get_flag("direct") {
        let Some(platform) = matches.get_one::<SocketAddr>("platform") else {
            return Ok(None);
        };
        let pool = Pool::lease_all(&run::client(), *platform).await?;
        return Ok(Some(Target::Direct(pool)));
    }
    let entries = matches.get_many::<SocketAddr>("entry");
    Ok(entries.map(|e| Target::Entries(Balancer::new(e.copied().collect()))))
}

fn write_report(matches: &ArgMatches, report: &Report) -> Result<(), Error> {
    print!("{}", table::render(report));
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(report).map_err(Error::Json)?;
        fs::write(path, text).map_err(|e| Error::File(path.clone(), e))?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        plot::draw(path, report)?;
    }
    Ok(())
}

/// Waits for SIGTERM or SIGINT; never returns if the signals cannot be received.
async fn wait_for_stop() {
    if let Err(e) = program::shutdown_signal().await {
        log::warn!(error:% = e; "stop signals cannot be received");
        std::future::pending().await
    }
}
