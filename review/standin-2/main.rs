//! Stand-ins and drivers of the second review's scripts. It uses the standard library only.
//!
//! `standin engine ...` is one engine, as a process of its own, so that a crash of it is the
//! end of a process. `standin case N FOLDER` starts the project's programs, the engines and
//! the platform's list, plays case N, writes `record.txt` to FOLDER and judges the rule.

mod cases;
mod client;
mod engine;
mod http;
mod proxy;
mod site;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["engine", rest @ ..] => engine::main(rest),
        ["case", number, folder] => cases::main(number, folder),
        _ => {
            eprintln!("usage: standin engine ... | standin case N FOLDER");
            ExitCode::from(2)
        }
    }
}
