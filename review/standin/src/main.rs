//! Plays a case of the review. Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod cancelled_early;
mod dropped_route;
mod failed_gang;
mod fleet;
mod hopeless_jobs;
mod http_server;
mod late_crash;
mod lost_executor;
mod scheduled_jobs;
mod store_proxy;
mod world;

use std::path::Path;
use std::process::ExitCode;

use fleet::Record;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, directory, record] = &arguments[..] else {
        eprintln!("usage: review-case CASE DIRECTORY RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Record::create(Path::new(record)).unwrap();
    let directory = Path::new(directory);
    let play = match case.as_str() {
        "cancelled-early" => cancelled_early::play,
        "dropped-route" => dropped_route::play,
        "failed-gang" => failed_gang::play,
        "hopeless-jobs" => hopeless_jobs::play,
        "late-crash" => late_crash::play,
        "lost-executor" => lost_executor::play,
        "scheduled-jobs" => scheduled_jobs::play,
        _ => {
            eprintln!("unknown case: {case}");
            return ExitCode::from(2);
        }
    };
    match play(directory, &record, has_trouble) {
        Ok(true) => {
            record.say("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("result: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("can't run: {error}"));
            ExitCode::from(2)
        }
    }
}
