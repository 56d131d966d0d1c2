//! Runs the command-line program and captures its output.

use std::{
    path::Path,
    process::{
        Command,
        Output, //
    }, //
};

/// Exit code and output of a finished program.
#[derive(Debug)]
pub(crate) struct Captured {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Captured {
    /// Parses the standard output as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

impl From<Output> for Captured {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Returns the program as a command that runs in the package root, without options from the
/// environment.
pub(crate) fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bamboolock"));
    command.args(args).current_dir(env!("CARGO_MANIFEST_DIR"));
    for variable in ["BAMBOOLOCK_TOKEN", "BAMBOOLOCK_ENTRY", "BAMBOOLOCK_ADMIN"] {
        command.env_remove(variable);
    }
    command
}

pub(crate) fn run(args: &[&str]) -> Captured {
    command(args).output().unwrap().into()
}

/// Creates an empty folder for a test.
pub(crate) fn folder(name: &str) -> std::path::PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}
