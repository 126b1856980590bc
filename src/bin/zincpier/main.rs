//! `zincpier`: command line tool for operators.

mod arguments;
mod commands;
mod explain_command;
mod fleet_commands;
mod job_arguments;
mod job_commands;
mod operator_access;
mod organisation_command;
mod printer;

use std::process::ExitCode;

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

use zincpier::error::Error;

use crate::arguments::Arguments;

/// Exit code if a service text has findings.
const EXIT_FINDINGS: u8 = 2;
/// Exit code if a daemon, or the platform behind it, refused a request.
const EXIT_REFUSED: u8 = 3;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let mut runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("zincpier: cannot create the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::run(arguments)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("zincpier: {error}");
            exit_code(&error)
        }
    }
}

fn exit_code(error: &Error) -> ExitCode {
    match error {
        Error::Findings(_) => ExitCode::from(EXIT_FINDINGS),
        Error::DaemonRefused { .. } => ExitCode::from(EXIT_REFUSED),
        _ => ExitCode::FAILURE,
    }
}
