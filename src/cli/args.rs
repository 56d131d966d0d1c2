//! Global options, and parsing of option values.

use std::path::PathBuf;

use clap::{
    Arg,
    ArgMatches,
    builder::PossibleValuesParser,
    value_parser, //
};

use crate::{
    cli::exit::Failure,
    ids, //
};

/// Option, environment variable and default for the address of a server.
#[derive(Debug, Clone, Copy)]
pub struct Address {
    /// Name of the option.
    pub option: &'static str,
    /// Environment variable that is read if the option is missing.
    pub variable: &'static str,
    /// Address that is used if both are missing.
    pub default: &'static str,
}

/// API of an entry instance for callers.
pub const ENTRY: Address = Address {
    option: "entry",
    variable: "BAMBOOLOCK_ENTRY",
    default: "127.0.0.1:21010",
};

/// Administration API.
pub const ADMIN: Address = Address {
    option: "admin",
    variable: "BAMBOOLOCK_ADMIN",
    default: "127.0.0.1:21012",
};

/// Returns the options that every command accepts.
#[must_use]
pub fn global_options() -> [Arg; 5] {
    let address = |address: &Address, help: &str| {
        let Address {
            option,
            variable,
            default,
        } = *address;
        let help = format!("{help} [default: ${variable}, or {default}]");
        Arg::new(option)
            .long(option)
            .value_name("IP:PORT")
            .help(help)
            .global(true)
    };
    [
        address(
            &ENTRY,
            "Address of the entry instance, for callers' commands",
        ),
        address(
            &ADMIN,
            "Address of the administration API, for operators' commands",
        ),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File with the token of the administration API [default: $BAMBOOLOCK_TOKEN]")
            .global(true),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SPAN")
            .default_value("10s")
            .help("Time limit of one HTTP request, such as 500ms, 10s or 2m")
            .global(true),
        Arg::new("output")
            .long("output")
            .short('o')
            .value_name("FORM")
            .value_parser(PossibleValuesParser::new(["table", "json", "html"]))
            .default_value("table")
            .help("Output format; html is for reports only")
            .global(true),
    ]
}

/// Returns the address from the option, the environment or the default, in this order.
#[must_use]
pub fn address(args: &ArgMatches, address: &Address) -> String {
    let given = args.get_one::<String>(address.option).cloned();
    given
        .or_else(|| std::env::var(address.variable).ok())
        .unwrap_or_else(|| address.default.to_owned())
}

/// Returns the value of an option as text.
#[must_use]
pub fn string<'a>(args: &'a ArgMatches, name: &str) -> Option<&'a str> {
    args.get_one::<String>(name).map(String::as_str)
}

/// Returns the duration of an option with a default, in milliseconds.
///
/// # Errors
///
/// Returns a usage failure if the value is not a duration.
pub fn duration(args: &ArgMatches, name: &str) -> Result<u64, Failure> {
    optional_duration(args, name).map(Option::unwrap_or_default)
}

/// Returns the duration of an option, in milliseconds; `None` if the option is missing.
///
/// # Errors
///
/// Returns a usage failure if the value is not a duration.
pub fn optional_duration(args: &ArgMatches, name: &str) -> Result<Option<u64>, Failure> {
    let Some(text) = string(args, name) else {
        return Ok(None);
    };
    let invalid = |why: String| {
        let reason =
            format!("--{name} {text:?}: {why}; use a duration such as 500ms, 10s, 5m, 2h or 7d");
        Failure::Usage(reason)
    };
    let span: jiff::Span = text
        .parse()
        .map_err(|e: jiff::Error| invalid(e.to_string()))?;
    let unit = (
        jiff::Unit::Millisecond,
        jiff::SpanRelativeTo::days_are_24_hours(),
    );
    let millis = span.total(unit).map_err(|e| invalid(e.to_string()))?;
    if millis < 1.0 {
        return Err(invalid("it must be at least 1ms".to_owned()));
    }
    Ok(Some(millis as u64))
}

/// Parses an identifier from the command line.
///
/// # Errors
///
/// Returns a usage failure that names the violated rule.
pub fn identifier<T>(what: &str, text: &str) -> Result<T, Failure>
where
    T: std::str::FromStr<Err = ids::Error>,
{
    text.parse()
        .map_err(|e| Failure::Usage(format!("{what} {text:?}: {e}")))
}
