//! Implementation of the `wave`, `host`, `pool`, `entry` and `budget` commands.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::time::sleep;
use serde_json::json;
use serde_json::Value;

use zincpier::error::Result;
use zincpier::operator::BudgetStatus;
use zincpier::operator::HostStatus;
use zincpier::operator::OperatorClient;
use zincpier::wave::WavePreview;
use zincpier::wave::WaveRecord;
use zincpier::wave::WaveState;

use crate::arguments::BudgetArguments;
use crate::arguments::EntryCommand;
use crate::arguments::HostCommand;
use crate::arguments::PoolArguments;
use crate::arguments::WaveCommand;
use crate::operator_access::operator_client;
use crate::printer::finish_progress;
use crate::printer::print_list;
use crate::printer::print_progress;
use crate::printer::print_table;

const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Condition of a host that serves its pool, as the operator API reports it.
const CONDITION_UP: &str = "up";

/// Runs a `wave` command; returns `false` if a previewed wave would not finish, or if the wave of
/// `wave start --wait` did not.
pub(crate) async fn run_wave(command: WaveCommand) -> Result<bool> {
    match command {
        WaveCommand::Preview(preview) => {
            let path = format!("/preview?scope={}", preview.scope);
            let wave_preview = operator_client(preview.server)
                .get::<WavePreview>(&path)
                .await?;
            print_preview(&wave_preview, preview.json);
            Ok(wave_preview.obstacle.is_none())
        }
        WaveCommand::Start(start) => {
            let client = operator_client(start.server);
            let body = json!({ "scope": start.scope });
            let wave = client.post::<WaveRecord>("/wave/start", &body).await?;
            println!("{}", wave.id);
            match start.wait {
                true => wait_for_wave(&client, &wave).await,
                false => Ok(true),
            }
        }
        WaveCommand::Hold(hold) => change_wave_state(hold.server, &hold.wave, "hold").await,
        WaveCommand::Resume(resume) => {
            change_wave_state(resume.server, &resume.wave, "resume").await
        }
        WaveCommand::Abort(abort) => change_wave_state(abort.server, &abort.wave, "abort").await,
        WaveCommand::Show(show) => {
            let waves = operator_client(show.server)
                .get::<Vec<WaveRecord>>("/waves")
                .await?;
            print_waves(&waves, show.json);
            Ok(true)
        }
    }
}

async fn change_wave_state(server: SocketAddr, wave: &str, transition: &str) -> Result<bool> {
    let path = format!("/wave/{wave}/{transition}");
    let wave = operator_client(server)
        .post::<WaveRecord>(&path, &Value::Null)
        .await?;
    println!("{} {}", wave.id, wave.state);
    Ok(true)
}

/// Waits while the wave is running; returns `false` if it was held or aborted, or no longer exists.
async fn wait_for_wave(client: &OperatorClient, started: &WaveRecord) -> Result<bool> {
    loop {
        let waves = client.get::<Vec<WaveRecord>>("/waves").await?;
        let wave = waves.iter().find(|wave| wave.id == started.id);
        let Some(wave) = wave else {
            return Ok(false);
        };
        if wave.state != WaveState::Running {
            finish_progress();
            println!("{}", wave.state);
            return Ok(wave.state == WaveState::Finished);
        }
        let total = wave.pending.len() + wave.stopped.len() + wave.done.len();
        print_progress(&format!(
            "{} of {total} hosts, {}",
            wave.done.len(),
            wave.waiting_for
        ));
        sleep(WAIT_POLL_INTERVAL).await;
    }
}

fn print_preview(preview: &WavePreview, as_json: bool) {
    if as_json {
        println!("{}", json!(preview));
        return;
    }
    let rows = preview.steps.iter().enumerate().map(|(number, step)| {
        let hosts = step.hosts.iter().map(ToString::to_string);
        let hosts = hosts.collect::<Vec<_>>().join(", ");
        vec![
            (number + 1).to_string(),
            step.hosts.len().to_string(),
            hosts,
        ]
    });
    print_table(&["STEP", "COUNT", "HOSTS"], &rows.collect::<Vec<_>>());
    println!("about {} s, {} moves", preview.seconds, preview.moves);
    if let Some(obstacle) = &preview.obstacle {
        println!("the wave would then wait for {obstacle}");
    }
}

fn print_waves(waves: &[WaveRecord], as_json: bool) {
    let headings = [
        "WAVE",
        "SCOPE",
        "STATE",
        "PENDING",
        "STOPPED",
        "DONE",
        "WAITING FOR",
    ];
    print_list(waves, as_json, &headings, |wave| {
        vec![
            wave.id.to_string(),
            wave.scope.to_string(),
            wave.state.to_string(),
            wave.pending.len().to_string(),
            wave.stopped.len().to_string(),
            wave.done.len().to_string(),
            wave.waiting_for.clone(),
        ]
    });
}

pub(crate) async fn run_host(command: HostCommand) -> Result<bool> {
    match command {
        HostCommand::List(list) => {
            let hosts = operator_client(list.server)
                .get::<Vec<HostStatus>>("/hosts")
                .await?;
            let headings = ["HOST", "POOL", "DATA CENTRE", "RACK", "CONDITION", "PHASE"];
            print_list(&hosts, list.json, &headings, |host| {
                vec![
                    host.host.to_string(),
                    host.pool.to_string(),
                    host.data_centre.to_string(),
                    host.rack.to_string(),
                    host.condition.clone(),
                    host.phase.clone(),
                ]
            });
            Ok(true)
        }
        HostCommand::Move(arguments) => {
            let path = format!("/host/{}/move", arguments.host);
            let body = json!({ "pool": arguments.pool });
            operator_client(arguments.server)
                .post::<Value>(&path, &body)
                .await?;
            println!("{} is moving to pool {}", arguments.host, arguments.pool);
            Ok(true)
        }
    }
}

/// Prints every pool with its hosts.
pub(crate) async fn show_pools(arguments: &PoolArguments) -> Result<bool> {
    let hosts = operator_client(arguments.server)
        .get::<Vec<HostStatus>>("/hosts")
        .await?;
    let mut pools = BTreeMap::<String, Vec<&HostStatus>>::new();
    for host in &hosts {
        pools.entry(host.pool.to_string()).or_default().push(host);
    }
    if arguments.json {
        println!("{}", json!(pools));
        return Ok(true);
    }
    let rows = pools.iter().map(|(pool, hosts)| {
        let up = hosts
            .iter()
            .filter(|host| host.condition == CONDITION_UP)
            .count();
        let names = hosts.iter().map(|host| host.host.to_string());
        let names = names.collect::<Vec<_>>().join(", ");
        vec![pool.clone(), up.to_string(), hosts.len().to_string(), names]
    });
    let headings = ["POOL", "UP", "HOSTS", "NAMES"];
    print_table(&headings, &rows.collect::<Vec<_>>());
    Ok(true)
}

pub(crate) async fn run_entry(command: EntryCommand) -> Result<bool> {
    match command {
        EntryCommand::Forget(forget) => {
            let path = format!("/entry/{}/forget", forget.entry);
            operator_client(forget.server)
                .post::<Value>(&path, &Value::Null)
                .await?;
            println!("removed entry host {}", forget.entry);
            Ok(true)
        }
    }
}

/// Prints the availability budget of every service.
pub(crate) async fn show_budgets(arguments: &BudgetArguments) -> Result<bool> {
    let budgets = operator_client(arguments.server)
        .get::<Vec<BudgetStatus>>("/budgets")
        .await?;
    let headings = ["SERVICE", "AVAILABILITY", "ALLOWED S", "LEFT S"];
    print_list(&budgets, arguments.json, &headings, |budget| {
        vec![
            budget.service.to_string(),
            budget.availability.clone(),
            budget.allowance_seconds.to_string(),
            budget.left_seconds.to_string(),
        ]
    });
    Ok(true)
}
