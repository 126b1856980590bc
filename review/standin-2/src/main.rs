//! Runs one case of the review: entry hosts as processes over stand-ins of platform, executors and consumers.

mod case;
mod entries;
mod fleet;
mod http;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, name, record] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    case::run(name, record)
}
