//! `zincpier explain`: diagnoses jobs from log lines alone.

use std::fs;
use std::io;
use std::io::stdin;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use serde_json::json;

use zincpier::error::Error;
use zincpier::error::Result;
use zincpier::operator::jobs_not_completed_in_time;
use zincpier::operator::JobDiagnosis;
use zincpier::operator::JobTimeline;
use zincpier::operator::LogLine;

/// Explain from entry hosts' logs why a job was refused, late or failed.
///
/// Reads the logs of all entry hosts from files, or from standard input.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArguments {
    /// job id (default: every job that was refused, late or failed, with one line each)
    #[argh(positional)]
    pub(crate) job: Option<String>,
    /// log file (repeatable)
    #[argh(option)]
    pub(crate) log: Vec<PathBuf>,
    /// time after which a job counts as late, in ms (default 5000)
    #[argh(option, default = "5_000")]
    pub(crate) late_ms: u64,
    /// explain a random sample of this many jobs
    #[argh(option)]
    pub(crate) draw: Option<usize>,
    /// seed of the random choice (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Explains one job, or all or a random sample of the jobs that were refused, late or failed;
/// returns whether every diagnosis is conclusive.
pub(crate) fn explain(arguments: &ExplainArguments) -> Result<bool> {
    let lines = read_lines(&arguments.log)?;
    let jobs = match (&arguments.job, arguments.draw) {
        (Some(job), _) => vec![job.clone()],
        (None, count) => {
            let failed = jobs_not_completed_in_time(&lines, arguments.late_ms);
            let mut random = SmallRng::seed_from_u64(arguments.seed);
            let count = count.unwrap_or(failed.len());
            failed
                .choose_multiple(&mut random, count)
                .cloned()
                .collect()
        }
    };
    let mut all_explained = true;
    for job in &jobs {
        let timeline = JobTimeline::new(&lines, job);
        let diagnosis = timeline.diagnose(arguments.late_ms);
        all_explained &= !matches!(
            diagnosis,
            JobDiagnosis::Inconclusive(_)
                | JobDiagnosis::NoLogLines
                | JobDiagnosis::NotSampled { .. }
        );
        print_diagnosis(job, &timeline, &diagnosis, arguments);
    }
    Ok(all_explained)
}

/// Prints the diagnosis; the log lines follow in JSON, or if a single job was requested.
fn print_diagnosis(
    job: &str,
    timeline: &JobTimeline<'_>,
    diagnosis: &JobDiagnosis,
    arguments: &ExplainArguments,
) {
    if arguments.json {
        let lines: Vec<_> = timeline.lines().iter().map(|line| &line.text).collect();
        let report = json!({ "job": job, "cause": diagnosis.to_string(), "lines": lines });
        println!("{report}");
        return;
    }
    println!("{job}  {diagnosis}");
    if arguments.job.is_none() {
        return;
    }
    for line in timeline.lines() {
        let host = line.host.as_deref().unwrap_or("-");
        println!("  {host}  {}", line.text);
    }
}

fn read_lines(files: &[PathBuf]) -> Result<Vec<LogLine>> {
    let mut text = String::new();
    if files.is_empty() {
        let read = stdin().read_to_string(&mut text);
        read.map_err(|source| read_error(Path::new("standard input"), source))?;
    }
    for file in files {
        let part = fs::read_to_string(file).map_err(|source| read_error(file, source))?;
        text.push_str(&part);
        text.push('\n');
    }
    let mut lines: Vec<_> = text.lines().filter_map(LogLine::parse).collect();
    lines.sort_by_key(|line| line.time_ms);
    Ok(lines)
}

fn read_error(path: &Path, source: io::Error) -> Error {
    Error::ReadFile {
        path: path.to_owned(),
        source,
    }
}
