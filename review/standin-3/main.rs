//! The scripts of the review's cases: `cases NAME FOLDER`.
//!
//! Each starts a small deployment, brings about its disruption unless `TROUBLE` is 0, and
//! writes `record.txt` into its folder. It ends with 1 if the rule was broken, with 0 if it held,
//! and with 2 if the case could not run.

mod first_ack;
mod first_start;
mod late_crash;
mod revoked;
mod site;

use site::{Record, Result};
use std::{path::Path, process::ExitCode};

fn run(name: &str, folder: &Path, trouble: bool) -> Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    let held = match name {
        "first-ack" => first_ack::run(&record, trouble),
        "first-start" => first_start::run(&record, trouble),
        "late-crash" => late_crash::run(&record, trouble),
        "revoked" => revoked::run(&record, trouble),
        _ => Err(format!("there is no case `{name}`")),
    };
    match &held {
        Ok(true) => record.line("the rule held"),
        Ok(false) => record.line("THE RULE WAS BROKEN"),
        Err(why) => record.line(format!("the case could not run: {why}")),
    }
    held
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &words[..] else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match run(name, Path::new(folder), trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}
