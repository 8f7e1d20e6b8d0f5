//! Stand-ins for the platform's store, replicas and callers, and the checks of the cases
//! that are scripts. Uses only the standard library, so that `rustc` alone builds it.
//!
//! Usage: `review-2 CASE FOLDER`. The exit code is 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod case_bodies;
mod case_full;
mod case_memory;
mod case_items;
mod case_single;
mod fleet;
mod http;
mod replica;
mod slow;
mod store;

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Instant,
};

/// What was sent, answered and run, written to `record.txt` at the end.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn add(&self, line: impl Into<String>) {
        let at = self.start.elapsed().as_millis();
        let line = format!("{:>7} ms  {}", at, line.into());
        self.lines.lock().expect("the record").push(line);
    }
}

pub struct Case {
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-2 CASE FOLDER");
        std::process::exit(2);
    };
    let record = Arc::new(Record {
        start: Instant::now(),
        lines: Mutex::default(),
    });
    let case = Case {
        record: Arc::clone(&record),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match name.as_str() {
        "items" => case_items::run(&case),
        "memory" => case_memory::run(&case),
        "bodies" => case_bodies::run(&case),
        "single" => case_single::run(&case),
        "full" => case_full::run(&case),
        _ => Err(format!("no case {name}")),
    };
    let (code, verdict) = match outcome {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(what)) => (1, format!("the rule was broken: {what}")),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.add(&verdict);
    println!("{verdict}");
    let lines = record.lines.lock().expect("the record").join("\n");
    let path = PathBuf::from(folder).join("record.txt");
    if let Err(err) = fs::write(&path, lines + "\n") {
        eprintln!("{}: {err}", path.display());
    }
    std::process::exit(code);
}
