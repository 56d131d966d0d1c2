//! The example profiles are valid, and the faulty ones give the errors that the documentation shows.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::{
    collections::BTreeSet,
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use bamboolock::{
    findings,
    ids::ProfileName,
    profile::{
        Kind,
        Profile, //
    }, //
};

fn files(folder: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let mut found: Vec<_> = fs::read_dir(root.join(folder))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    found.sort();
    found
}

fn read(path: &Path) -> Result<Profile, findings::Findings> {
    let source = path.file_name().unwrap().to_str().unwrap();
    findings::read(source, &fs::read_to_string(path).unwrap())
}

#[test]
fn every_example_profile_is_valid_and_each_user_has_all_kinds() {
    for user in ["gatewise", "notice-hub"] {
        let mut kinds = BTreeSet::new();
        for path in files(&format!("{user}/profiles")) {
            let profile = read(&path).unwrap_or_else(|e| panic!("{e}"));
            let name = path.file_stem().unwrap().to_str().unwrap();
            name.parse::<ProfileName>().unwrap();
            kinds.insert(profile.kind);
        }
        let all = [Kind::Request, Kind::Run, Kind::Gang, Kind::Service];
        assert_eq!(kinds, BTreeSet::from(all), "{user}");
    }
}

#[test]
fn the_faulty_examples_report_all_errors_at_once() {
    let expected: [(&str, &[&str]); 2] = [
        (
            "jet-bridge-assign",
            &[
                "/demand/slots",
                "/objective/wait",
                "/hedge/budget",
                "/quota",
                "/policies/route",
                "/policies/pack",
            ],
        ),
        (
            "ramp-check",
            &["/", "/kind", "/objective/share", "/priority"],
        ),
    ];
    for (path, (name, places)) in files("faulty").iter().zip(expected) {
        assert_eq!(path.file_stem().unwrap(), name);
        let mut found: Vec<_> = read(path).unwrap_err().list;
        found.sort_by_key(|f| places.iter().position(|p| *p == f.place));
        let found: Vec<_> = found.iter().map(|f| f.place.as_str()).collect();
        assert_eq!(found, places, "{name}");
    }
}
