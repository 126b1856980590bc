//! Implementation of the `job` commands.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use monoio::time::sleep;
use serde_json::json;
use serde_json::Value;

use zincpier::error::Result;
use zincpier::id::JobId;
use zincpier::job::JobSpec;
use zincpier::operator::JobSummary;
use zincpier::operator::OperatorClient;

use crate::job_arguments::CancelArguments;
use crate::job_arguments::JobCommand;
use crate::job_arguments::JobListArguments;
use crate::job_arguments::SubmitArguments;
use crate::operator_access::operator_client;
use crate::printer::finish_progress;
use crate::printer::print_list;
use crate::printer::print_progress;

const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a `job` command; returns `false` if the job of `job submit --wait` did not finish
/// successfully, or if `job cancel` names a job that is not open.
pub(crate) async fn run_job(command: JobCommand) -> Result<bool> {
    match command {
        JobCommand::Submit(submit) => submit_job(&submit).await,
        JobCommand::Show(show) => {
            let job = read_job(&operator_client(show.server), &show.job).await?;
            print_jobs(&[job], show.json);
            Ok(true)
        }
        JobCommand::List(list) => list_jobs(&list).await,
        JobCommand::Cancel(cancel) => cancel_jobs(&cancel).await,
    }
}

async fn submit_job(arguments: &SubmitArguments) -> Result<bool> {
    let client = operator_client(arguments.server);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let deadline = now.unwrap_or_default() + Duration::from_secs_f64(arguments.within.max(0.0));
    let spec = JobSpec {
        team: arguments.team.clone(),
        service: arguments.service.clone(),
        kind: arguments.kind.clone(),
        size: arguments.size,
        run_ms: Duration::from_secs_f64(arguments.seconds.max(0.0)).as_millis() as u64,
        deadline_ms: deadline.as_millis() as u64,
        urgent: arguments.urgent,
        repeatable: arguments.repeatable,
        checkpoints: arguments.checkpoints,
        work: arguments.work.clone(),
    };
    let job = client.submit_job(&arguments.key, &spec).await?;
    println!("{}", job.id);
    match arguments.wait {
        true => wait_for_job(&client, &job.id).await,
        false => Ok(true),
    }
}

async fn wait_for_job(client: &OperatorClient, id: &JobId) -> Result<bool> {
    loop {
        let job = read_job(client, id).await?;
        if job.over {
            finish_progress();
            println!("{}", job.state);
            return Ok(job.state == "finished");
        }
        print_progress(&job.state);
        sleep(WAIT_POLL_INTERVAL).await;
    }
}

async fn read_job(client: &OperatorClient, id: &JobId) -> Result<JobSummary> {
    client.get(&format!("/jobs/{id}")).await
}

async fn list_jobs(arguments: &JobListArguments) -> Result<bool> {
    let state = if arguments.ended { "ended" } else { "open" };
    let path = format!("/jobs/{state}?after={}", arguments.after);
    let client = operator_client(arguments.server);
    let jobs = client.get::<Vec<JobSummary>>(&path).await?;
    print_jobs(&jobs, arguments.json);
    Ok(true)
}

async fn cancel_jobs(arguments: &CancelArguments) -> Result<bool> {
    let body = json!({ "jobs": arguments.jobs });
    let client = operator_client(arguments.server);
    let answer = client.post::<Value>("/jobs/cancel", &body).await?;
    let cancelled = answer["cancelled"].as_array().cloned().unwrap_or_default();
    for job in &cancelled {
        println!("{}", job.as_str().unwrap_or_default());
    }
    Ok(cancelled.len() == arguments.jobs.len())
}

fn print_jobs(jobs: &[JobSummary], as_json: bool) {
    let headings = ["JOB", "TEAM", "KIND", "RUNS", "STATE"];
    print_list(jobs, as_json, &headings, |job| {
        vec![
            job.id.to_string(),
            job.team.to_string(),
            job.kind.clone(),
            job.runs.to_string(),
            job.state.clone(),
        ]
    });
}
