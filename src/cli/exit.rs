//! Failures of commands and their exit codes.

use std::path::PathBuf;

use quick_error::quick_error;

use crate::{
    findings::Findings,
    wire::{
        admin::Conflict,
        caller::{
            Code,
            Ran,
            Refusal, //
        }, //
    }, //
};

/// Exit code: the work was refused or failed, or the input has findings.
pub const REFUSED: u8 = 1;

/// Exit code: the command line is invalid, or a file cannot be read or written.
pub const USAGE: u8 = 2;

/// Exit code: there was no usable response from the server, and nothing was changed.
pub const UNREACHABLE: u8 = 3;

/// Exit code: a concurrent change was applied first.
pub const CONFLICT: u8 = 4;

/// Exit code: the request may have taken effect.
pub const OUTCOME_UNKNOWN: u8 = 5;

/// Exit code: the condition that the command waited for was not met in time.
pub const TIMED_OUT: u8 = 6;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Failure {
        /// The input has findings.
        Findings(list: Findings) {
            display("{}", list)
        }
        /// The server refused the request.
        Refused(refusal: Box<Refusal>) {
            display("{}", refusal.message)
        }
        /// A concurrent change was applied first.
        Conflict(conflict: Box<Conflict>) {
            display("{}", conflict.refusal.message)
        }
        /// The work failed or was cancelled, or its result cannot be shown.
        Failed(reason: String) {
            display("{}", reason)
        }
        /// The command line is invalid.
        Usage(reason: String) {
            display("{}", reason)
        }
        /// A file cannot be read or written.
        File(path: PathBuf, source: std::io::Error) {
            display("{}: {}", path.display(), source)
            source(source)
        }
        /// There was no usable response, and nothing was changed.
        Unreachable(address: String, reason: String) {
            display("{}: {}", address, reason)
        }
        /// The request was sent and no complete response arrived.
        OutcomeUnknown(address: String, reason: String) {
            display("{}: {}; the request may have taken effect", address, reason)
        }
        /// The condition that the command waited for was not met in time.
        TimedOut(reason: String) {
            display("{}", reason)
        }
    }
}

impl Failure {
    /// Returns the exit code.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Failed(_) => REFUSED,
            Self::Refused(refusal) => refusal_code(refusal),
            Self::Conflict(_) => CONFLICT,
            Self::Usage(_) | Self::File(..) => USAGE,
            Self::Unreachable(..) => UNREACHABLE,
            Self::OutcomeUnknown(..) => OUTCOME_UNKNOWN,
            Self::TimedOut(_) => TIMED_OUT,
        }
    }
}

fn refusal_code(refusal: &Refusal) -> u8 {
    match (refusal.code, refusal.ran) {
        (Code::Conflict, _) => CONFLICT,
        (_, Ran::Unknown) => OUTCOME_UNKNOWN,
        (_, Ran::Yes | Ran::No) => REFUSED,
    }
}
