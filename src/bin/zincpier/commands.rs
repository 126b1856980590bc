//! Command dispatch, and the text, status, audit, load and demo commands.

use std::path::Path;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;
use serde_json::json;

use zincpier::error::Error;
use zincpier::error::Result;
use zincpier::id::Revision;
use zincpier::operator::run_demo;
use zincpier::operator::LoadPlan;
use zincpier::operator::OperatorClient;
use zincpier::operator::StatusReport;
use zincpier::provider::AuditRecord;
use zincpier::version::ServiceText;

use crate::arguments::ApplyArguments;
use crate::arguments::Arguments;
use crate::arguments::AuditArguments;
use crate::arguments::Command;
use crate::arguments::DemoArguments;
use crate::arguments::DiffArguments;
use crate::arguments::LoadArguments;
use crate::arguments::StatusArguments;
use crate::arguments::TextCommand;
use crate::explain_command;
use crate::fleet_commands;
use crate::job_commands;
use crate::operator_access::operator_client;
use crate::organisation_command;
use crate::printer::finish_progress;
use crate::printer::print_progress;
use crate::printer::print_table;

/// Time limit of `text apply --wait`.
const APPLY_WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const APPLY_POLL_INTERVAL: Duration = Duration::from_millis(100);
const DEMO_TEXT: &str = include_str!("../../../examples/granite-bay.toml");

/// Runs a command; returns `false`, which becomes exit code 1, if it ran without an error but with
/// a negative result, such as a load with failed requests.
pub(crate) async fn run(arguments: Arguments) -> Result<bool> {
    match arguments.command {
        Command::Text(text) => match text.command {
            TextCommand::Check(check) => check_text(&check.file),
            TextCommand::Diff(diff) => diff_text(&diff).await,
            TextCommand::Apply(apply) => apply_text(&apply).await,
            TextCommand::Show(show) => {
                let (_, source) = OperatorClient::new(show.server).text().await?;
                print!("{source}");
                Ok(true)
            }
        },
        Command::Wave(wave) => fleet_commands::run_wave(wave.command).await,
        Command::Host(host) => fleet_commands::run_host(host.command).await,
        Command::Pool(pool) => fleet_commands::show_pools(&pool).await,
        Command::Job(job) => job_commands::run_job(job.command).await,
        Command::Entry(entry) => fleet_commands::run_entry(entry.command).await,
        Command::Budget(budget) => fleet_commands::show_budgets(&budget).await,
        Command::Organisations(organisations) => {
            organisation_command::show_organisations(&organisations).await
        }
        Command::Status(status) => show_status(&status).await,
        Command::Audit(audit) => show_audit(&audit).await,
        Command::Explain(explain) => explain_command::explain(&explain),
        Command::Load(load) => send_load(&load).await,
        Command::Demo(demo) => show_demo(&demo).await,
    }
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::ReadFile {
        path: path.to_owned(),
        source,
    })
}

fn parse_file(path: &Path) -> Result<(String, ServiceText)> {
    let source = read_file(path)?;
    let text = ServiceText::parse(&path.display().to_string(), &source)?;
    Ok((source, text))
}

fn check_text(path: &Path) -> Result<bool> {
    let (_, text) = parse_file(path)?;
    println!(
        "{}: {} services, {} pools, {} racks, no findings",
        path.display(),
        text.services.len(),
        text.pools.len(),
        text.racks.len()
    );
    Ok(true)
}

async fn diff_text(arguments: &DiffArguments) -> Result<bool> {
    let file_text = read_file(&arguments.file)?;
    let (_, latest_text) = operator_client(arguments.server).text().await?;
    for line in latest_text
        .lines()
        .filter(|line| !has_line(&file_text, line))
    {
        println!("-{line}");
    }
    for line in file_text
        .lines()
        .filter(|line| !has_line(&latest_text, line))
    {
        println!("+{line}");
    }
    Ok(true)
}

fn has_line(text: &str, line: &str) -> bool {
    text.lines().any(|other| other == line)
}

async fn apply_text(arguments: &ApplyArguments) -> Result<bool> {
    let (source, _) = parse_file(&arguments.file)?;
    let client = operator_client(arguments.server);
    let replaces = match arguments.replaces {
        Some(revision) => Revision::new(revision),
        None => client.text().await?.0,
    };
    let revision = client.apply_text(&source, replaces).await?;
    let report = match arguments.wait {
        true => Some(wait_until_in_force(&client, revision).await?),
        false => None,
    };
    if arguments.json {
        println!("{}", json!({ "revision": revision, "status": report }));
    } else {
        println!("revision {revision}");
        report.iter().for_each(print_entries);
    }
    Ok(report.is_none_or(|report| is_in_force(&report, revision)))
}

/// Polls the daemon until the revision is in force on every entry host or the time limit is over;
/// returns the last status.
async fn wait_until_in_force(client: &OperatorClient, revision: Revision) -> Result<StatusReport> {
    let deadline = Instant::now() + APPLY_WAIT_TIMEOUT;
    loop {
        let report = client.status().await?;
        if is_in_force(&report, revision) || Instant::now() >= deadline {
            finish_progress();
            return Ok(report);
        }
        let in_force = report
            .entries
            .iter()
            .filter(|entry| entry.text_in_force >= revision)
            .count();
        print_progress(&format!(
            "in force on {in_force} of {} entry hosts",
            report.entries.len()
        ));
        sleep(APPLY_POLL_INTERVAL).await;
    }
}

fn is_in_force(report: &StatusReport, revision: Revision) -> bool {
    report
        .entries
        .iter()
        .all(|entry| entry.text_in_force >= revision)
}

fn print_entries(report: &StatusReport) {
    let rows = report.entries.iter().map(|entry| {
        vec![
            entry.entry.to_string(),
            entry.data_centre.to_string(),
            if entry.lost { "lost" } else { "live" }.to_owned(),
            entry.silence_ms.to_string(),
            entry.text_in_force.to_string(),
        ]
    });
    let headings = ["ENTRY HOST", "DATA CENTRE", "STATE", "SILENT MS", "TEXT"];
    print_table(&headings, &rows.collect::<Vec<_>>());
}

async fn show_status(arguments: &StatusArguments) -> Result<bool> {
    let report = operator_client(arguments.server).status().await?;
    if arguments.json {
        println!("{}", json!(report));
        return Ok(true);
    }
    print_entries(&report);
    let rows = report.services.iter().map(|service| {
        vec![
            service.service.to_string(),
            service.servers.to_string(),
            service.waiting.to_string(),
        ]
    });
    print_table(
        &["SERVICE", "SERVERS", "WAITING"],
        &rows.collect::<Vec<_>>(),
    );
    Ok(true)
}

async fn show_audit(arguments: &AuditArguments) -> Result<bool> {
    let client = operator_client(arguments.server);
    let mut after = String::new();
    loop {
        let rows = client.audit(&after).await?;
        let Some(last) = rows.last() else {
            return Ok(true);
        };
        after.clone_from(&last.key);
        for row in rows {
            if arguments.json {
                println!("{}", row.value);
            } else if let Ok(record) = serde_json::from_value(row.value) {
                print_audit_record(&record);
            }
        }
    }
}

fn print_audit_record(record: &AuditRecord) {
    let row = vec![
        record.at_ms.to_string(),
        record.who.clone(),
        record.action.clone(),
        record.subject.clone(),
        format!("{} -> {}", record.before, record.after),
        record.outcome.clone(),
    ];
    print_table(
        &["AT MS", "WHO", "ACTION", "SUBJECT", "CHANGE", "OUTCOME"],
        &[row],
    );
}

async fn send_load(arguments: &LoadArguments) -> Result<bool> {
    let duration = Duration::from_secs_f64(arguments.seconds);
    let mut plan = LoadPlan::new(
        arguments.to.clone(),
        &arguments.path,
        arguments.rate,
        duration,
    )
    .with_seed(arguments.seed)
    .with_deadline(Duration::from_millis(arguments.deadline_ms));
    if arguments.keyed {
        plan = plan.with_keys();
    }
    if let Some(customer) = &arguments.customer {
        plan = plan.with_customer(customer);
    }
    let report = plan.run().await;
    if arguments.json {
        println!("{}", report.to_json());
    } else {
        println!("{report}");
    }
    Ok(report.sent() == report.count("ok"))
}

async fn show_demo(arguments: &DemoArguments) -> Result<bool> {
    let source = match &arguments.file {
        Some(path) => read_file(path)?,
        None => DEMO_TEXT.to_owned(),
    };
    let duration = Duration::from_secs_f64(arguments.seconds);
    let report = run_demo(&source, duration).await?;
    println!("{report}");
    Ok(report.has_passed())
}
