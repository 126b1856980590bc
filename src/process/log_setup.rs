//! Sets up the logger of the daemon.

use std::path::Path;

use log::LevelFilter;

use crate::error::Error;
use crate::error::Result;

/// Writes log lines of `level` or more severe to a file, or to standard error. Lines of other
/// crates are written only if they are at least warnings.
///
/// # Errors
///
/// Returns an error if the file cannot be opened.
pub fn start_logging(level: LevelFilter, file: Option<&Path>) -> Result<()> {
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("zincpier", level)
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {} {} {message}",
                crate::process::now_ms(),
                record.level(),
                record.target()
            ));
        });
    let dispatch = match file {
        None => dispatch.chain(std::io::stderr()),
        Some(path) => {
            let opened = fern::log_file(path).map_err(|source| Error::ReadFile {
                path: path.to_owned(),
                source,
            })?;
            dispatch.chain(opened)
        }
    };
    // The logger is global: a second daemon in the same process logs through the first one's.
    let _ = dispatch.apply();
    Ok(())
}
