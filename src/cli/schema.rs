//! `schema`: generates the committed schemas and settings tables from the Rust types.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use clap::ArgMatches;

use crate::cli::{
    args,
    documents::{
        self,
        Document, //
    },
    exit::Failure,
    output,
    tables, //
};

/// Prints a schema or the settings tables, or writes all schemas to a folder.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn schema(args: &ArgMatches) -> Result<(), Failure> {
    if let Some(folder) = args.get_one::<PathBuf>("write") {
        return write(folder);
    }
    if args.get_flag("tables") {
        output::print(&tables::page());
        return Ok(());
    }
    match args::string(args, "name").and_then(documents::find) {
        Some(document) => output::print(&render(document)),
        None => output::print(&list()),
    }
    Ok(())
}

/// Renders the schema of a document as in its file.
#[must_use]
pub fn render(document: &Document) -> String {
    output::json(&(document.schema)())
}

fn list() -> String {
    let lines = documents::ALL.iter().map(|d| {
        let Document { name, summary, .. } = d;
        format!("{name:<14}{summary}\n")
    });
    lines.collect()
}

fn write(folder: &Path) -> Result<(), Failure> {
    let file_error = |path: &Path, e| Failure::File(path.to_owned(), e);
    fs::create_dir_all(folder).map_err(|e| file_error(folder, e))?;
    for document in &documents::ALL {
        let path = folder.join(format!("{}.json", document.name));
        fs::write(&path, render(document)).map_err(|e| file_error(&path, e))?;
        output::progress(&format!("wrote {}", path.display()));
    }
    Ok(())
}
