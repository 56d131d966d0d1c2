//! Tests of the arrivals that are generated from a mix.

use bamboolock::{
    findings,
    load::{
        mix::Mix,
        schedule::{
            self,
            Arrival, //
        }, //
    }, //
};

const MIX: &str = r#"{"seed": 7, "duration": 20000, "streams": [
    {"profile": "check", "rate": 100, "deadline": 300,
     "bursts": [{"at": 8000, "rise": 1000, "hold": 4000, "factor": 10}],
     "time": {"median": 5, "spread": 0.5, "stragglers": 0.01, "stretch": 100}},
    {"profile": "letter", "rate": 50, "keyed": 1.0, "repeated": 0.2},
    {"profile": "plan", "rate": 5, "time": {"median": 400},
     "job": {"tasks": 3, "declared": 0.5, "payload": {"fail_until_attempt": 2}}}]}"#;

fn mix() -> Mix {
    findings::read("mix.json", MIX).unwrap()
}

fn of<'a>(arrivals: &'a [Arrival], profile: &str) -> Vec<&'a Arrival> {
    let wanted = |a: &&Arrival| a.profile.as_str() == profile;
    arrivals.iter().filter(wanted).collect()
}

#[test]
fn the_same_seed_generates_the_same_arrivals() {
    let one = schedule::generate(&mix(), 1.0, "run");
    assert_eq!(one, schedule::generate(&mix(), 1.0, "run"));
    let other = Mix { seed: 8, ..mix() };
    assert_ne!(one, schedule::generate(&other, 1.0, "run"));
    assert!(one.is_sorted_by_key(|a| a.at));
}

#[test]
fn a_burst_raises_the_rate_tenfold() {
    let arrivals = schedule::generate(&mix(), 1.0, "run");
    let checks = of(&arrivals, "check");
    let within = |from: u64, to: u64| {
        let span = from * 1_000..to * 1_000;
        checks.iter().filter(|a| span.contains(&a.at)).count()
    };
    let calm = within(4_000, 8_000);
    let crest = within(9_000, 13_000);
    assert!((350..450).contains(&calm), "{calm}");
    assert!((3_800..4_200).contains(&crest), "{crest}");
    let marked = checks.iter().filter(|a| a.crest).count();
    assert!(marked.abs_diff(crest) <= 2, "{marked} and {crest}");
}

#[test]
fn the_scale_multiplies_the_rates() {
    let count = |scale| of(&schedule::generate(&mix(), scale, "run"), "letter").len() as f64;
    let ratio = count(4.0) / count(1.0);
    assert!((3.6..4.4).contains(&ratio), "{ratio}");
}

#[test]
fn run_times_have_a_median_and_stragglers() {
    let arrivals = schedule::generate(&mix(), 1.0, "run");
    let mut times: Vec<_> = of(&arrivals, "check").iter().map(|a| a.time).collect();
    times.sort_unstable();
    assert_eq!(times[times.len() / 2], 5);
    let long = times.iter().filter(|t| **t > 100).count() as f64 / times.len() as f64;
    assert!((0.005..0.02).contains(&long), "{long}");
}

#[test]
fn a_repeat_has_the_name_and_key_of_the_original() {
    let arrivals = schedule::generate(&mix(), 1.0, "run");
    let mut letters = of(&arrivals, "letter");
    letters.sort_by_key(|a| (&a.work, a.at));
    let pairs = letters.windows(2).filter(|p| p[0].work == p[1].work);
    let repeats = pairs.inspect(|p| assert_eq!(p[0].key, p[1].key)).count();
    let share = repeats as f64 / (letters.len() - repeats) as f64;
    assert!((0.15..0.25).contains(&share), "{share}");
    assert!(letters.iter().all(|a| a.key.is_some()));
    assert!(of(&arrivals, "check").iter().all(|a| a.key.is_none()));
}

#[test]
fn a_job_payload_holds_the_run_time() {
    let arrivals = schedule::generate(&mix(), 1.0, "run");
    let job = of(&arrivals, "plan")[0].submission().unwrap();
    assert_eq!((job.tasks, job.estimate), (3, 200));
    assert_eq!(job.payload["run_ms"], 400);
    assert_eq!(job.payload["fail_until_attempt"], 2);
    assert!(of(&arrivals, "check")[0].submission().is_none());
}

#[test]
fn recorded_arrivals_are_read_back_unchanged() {
    let path = std::env::temp_dir().join(format!("bamboolock-{}.jsonl", std::process::id()));
    let arrivals = schedule::generate(&mix(), 0.1, "run");
    schedule::write(&path, &arrivals).unwrap();
    let read = schedule::read(&path).unwrap();
    std::fs::write(&path, "\n{\"at\": 1}\n").unwrap();
    let error = schedule::read(&path).unwrap_err().to_string();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(read, arrivals);
    assert!(error.contains("line 2"), "{error}");
}

#[test]
fn all_errors_of_a_mix_are_reported_together() {
    let text = r#"{"duration": 1, "streams": [
        {"profile": "a", "rate": 1, "repeated": 0.5},
        {"profile": "b", "rate": 1, "padding": 9, "job": {"tasks": 1}}]}"#;
    let found = findings::read::<Mix>("mix.json", text).unwrap_err();
    let places: Vec<_> = found.list.iter().map(|f| f.place.as_str()).collect();
    assert_eq!(places, ["/streams/0/repeated", "/streams/1/padding"]);
}
