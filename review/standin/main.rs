//! Stand-ins and judge of the review's scripts: the platform's list of engines, engines,
//! clients and an operator, all on loopback addresses. It starts the project's programs as
//! the deploy file does, each with a settings file of its own, and ends them.
//!
//! `review-standin CASE FOLDER` plays a case, writes `record.txt` into the folder, and exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod fast_crash;
mod late_order;
mod shrunken_group;
mod unreadable_entry;
mod world;

use std::{env, process::ExitCode, thread, time::Duration};
use world::Outcome;

/// Longest run of a case. A case that takes longer could not run.
const LONGEST: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").is_ok_and(|text| text == "0");
    let trouble = !trouble;
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("the case took too long");
        world::end_all();
        std::process::exit(2);
    });
    let outcome = std::panic::catch_unwind(|| match case.as_str() {
        "unreadable-entry" => unreadable_entry::play(folder, trouble),
        "shrunken-group" => shrunken_group::play(folder, trouble),
        "fast-crash" => fast_crash::play(folder, trouble),
        "late-order" => late_order::play(folder, trouble),
        _ => Outcome::Failed(format!("there is no case `{case}`")),
    });
    world::end_all();
    match outcome {
        Ok(Outcome::Held(text)) => {
            println!("held: {text}");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken(text)) => {
            println!("broken: {text}");
            ExitCode::from(1)
        }
        Ok(Outcome::Failed(text)) => {
            println!("could not run: {text}");
            ExitCode::from(2)
        }
        Err(_panic) => ExitCode::from(2),
    }
}
