//! Options of every command, and their values.

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

/// An address that commands talk to.
#[derive(Debug, Clone, Copy)]
pub struct Address {
    /// The option.
    pub option: &'static str,
    /// The environment variable that is used without the option.
    pub variable: &'static str,
    /// The address that is used without either.
    pub default: &'static str,
}

/// Callers' side of an entry instance.
pub const ENTRY: Address = Address {
    option: "entry",
    variable: "BAMBOOLOCK_ENTRY",
    default: "127.0.0.1:21010",
};

/// The administration API.
pub const ADMIN: Address = Address {
    option: "admin",
    variable: "BAMBOOLOCK_ADMIN",
    default: "127.0.0.1:21012",
};

/// The options of every command.
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
        address(&ENTRY, "Entry instance for callers' commands"),
        address(&ADMIN, "Administration API for operators' commands"),
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
            .help("Longest wait for one answer, such as 500ms, 10s or 2m")
            .global(true),
        Arg::new("output")
            .long("output")
            .short('o')
            .value_name("FORM")
            .value_parser(PossibleValuesParser::new(["table", "json", "html"]))
            .default_value("table")
            .help("Form of the result; html is for reports")
            .global(true),
    ]
}

/// The address from the option, the environment or the default.
#[must_use]
pub fn address(args: &ArgMatches, address: &Address) -> String {
    let given = args.get_one::<String>(address.option).cloned();
    given
        .or_else(|| std::env::var(address.variable).ok())
        .unwrap_or_else(|| address.default.to_owned())
}

/// The text of an option.
#[must_use]
pub fn string<'a>(args: &'a ArgMatches, name: &str) -> Option<&'a str> {
    args.get_one::<String>(name).map(String::as_str)
}

/// The span of an option that has a default, in milliseconds.
///
/// # Errors
///
/// Returns a usage failure for a text that is no span.
pub fn duration(args: &ArgMatches, name: &str) -> Result<u64, Failure> {
    optional_duration(args, name).map(Option::unwrap_or_default)
}

/// The span of an option, in milliseconds.
///
/// # Errors
///
/// Returns a usage failure for a text that is no span.
pub fn optional_duration(args: &ArgMatches, name: &str) -> Result<Option<u64>, Failure> {
    let Some(text) = string(args, name) else {
        return Ok(None);
    };
    let invalid = |why: String| {
        let reason = format!("--{name} {text:?}: {why}; write spans like 500ms, 10s, 5m, 2h or 7d");
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

/// Checks an identifier of the command line.
///
/// # Errors
///
/// Returns a usage failure that names the rule.
pub fn identifier<T>(what: &str, text: &str) -> Result<T, Failure>
where
    T: std::str::FromStr<Err = ids::Error>,
{
    text.parse()
        .map_err(|e| Failure::Usage(format!("{what} {text:?}: {e}")))
}
