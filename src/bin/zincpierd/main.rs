//! `zincpierd`: the entry host daemon.

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use argh::FromArgs;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use zincpier::error::Result;
use zincpier::process::start_logging;
use zincpier::process::Daemon;
use zincpier::process::DaemonSettings;
use zincpier::process::ShutdownSignal;

/// Exit code when a second signal aborts the graceful shutdown.
const EXIT_ABORTED: i32 = 3;

/// Run the entry host daemon: route callers' requests to backend servers.
///
/// Exit codes: 0 after a graceful shutdown, 1 after an error, 3 if a second
/// signal aborts the shutdown.
#[derive(FromArgs)]
struct Arguments {
    /// path of the settings file
    #[argh(positional)]
    settings: PathBuf,
    /// validate the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("zincpierd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<()> {
    let settings = DaemonSettings::read(&arguments.settings)?;
    if arguments.check {
        return Ok(());
    }
    start_logging(settings.log_level, settings.log_file.as_deref())?;
    let name = settings.name.clone();
    let daemon = Daemon::new(settings)?;
    let addresses = daemon.addresses();
    println!(
        "{name} callers={} operators={} peers={}",
        addresses.callers, addresses.operators, addresses.peers
    );
    handle_signals(daemon.shutdown());
    daemon.run()
}

/// Starts a graceful shutdown on the first SIGINT or SIGTERM and exits at once on the second.
fn handle_signals(shutdown: ShutdownSignal) {
    let Ok(mut signals) = Signals::new([SIGINT, SIGTERM]) else {
        log::error!(target: "zincpier::process", "cannot register handlers for SIGINT and SIGTERM; graceful shutdown by signal is unavailable");
        return;
    };
    thread::spawn(move || {
        let mut signals = signals.forever();
        signals.next();
        shutdown.give_notice();
        signals.next();
        std::process::exit(EXIT_ABORTED);
    });
}
