//! Why a command failed, and the exit code that says so.

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

/// The work was refused or failed, or the input has findings.
pub const REFUSED: u8 = 1;

/// The command line is wrong, or a file cannot be read or written.
pub const USAGE: u8 = 2;

/// No usable answer came from the server; nothing was changed.
pub const UNREACHABLE: u8 = 3;

/// Another change was faster.
pub const CONFLICT: u8 = 4;

/// The call may have taken effect.
pub const OUTCOME_UNKNOWN: u8 = 5;

/// What was waited for did not come about in time.
pub const TIMED_OUT: u8 = 6;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Failure {
        /// The input has faults.
        Findings(list: Findings) {
            display("{}", list)
        }
        /// The server refused.
        Refused(refusal: Box<Refusal>) {
            display("{}", refusal.message)
        }
        /// Another change was faster.
        Conflict(conflict: Box<Conflict>) {
            display("{}", conflict.refusal.message)
        }
        /// The work ended, but not well.
        Failed(reason: String) {
            display("{}", reason)
        }
        /// The command line is wrong.
        Usage(reason: String) {
            display("{}", reason)
        }
        /// A file cannot be read or written.
        File(path: PathBuf, source: std::io::Error) {
            display("{}: {}", path.display(), source)
            source(source)
        }
        /// No usable answer came.
        Unreachable(address: String, reason: String) {
            display("{}: {}", address, reason)
        }
        /// The call was sent and its answer did not come whole.
        OutcomeUnknown(address: String, reason: String) {
            display("{}: {}; the call may have taken effect", address, reason)
        }
        /// What was waited for did not come about in time.
        TimedOut(reason: String) {
            display("{}", reason)
        }
    }
}

impl Failure {
    /// The exit code.
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
