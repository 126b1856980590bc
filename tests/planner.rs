//! Tests the wave planner and the spare planner on small fleets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use zincpier::id::HostId;
use zincpier::version::ServiceText;
use zincpier::wave::BudgetTracker;
use zincpier::wave::FleetView;
use zincpier::wave::HostCondition;
use zincpier::wave::HostView;
use zincpier::wave::ServiceBudget;
use zincpier::wave::SparePlanner;
use zincpier::wave::StepDecision;
use zincpier::wave::WavePlanner;
use zincpier::wave::WaveRecord;

const HOUR_MS: u64 = 3_600_000;
const NOW_MS: u64 = 1_000 * HOUR_MS;

/// Two services, each with one pool that needs two hosts; the pools have three and four.
fn text() -> Arc<ServiceText> {
    let racks = (1..=7).map(|number| {
        format!(
            "[[racks]]\nname = \"r{number}\"\ndata_centre = \"east\"\nhosts = [\"h{number}\"]\n"
        )
    });
    let services = ["notices", "reports"].map(|name| {
        format!("[[services]]\nname = \"{name}\"\npath = \"/{name}\"\navailability = \"99.9\"\n")
    });
    let pools = [
        ("notices", "\"h1\", \"h2\", \"h3\""),
        ("reports", "\"h4\", \"h5\", \"h6\", \"h7\""),
    ];
    let pools = pools.map(|(service, hosts)| {
        format!(
            "[[pools]]\nname = \"{service}-pool\"\nservice = \"{service}\"\nrole = \"executor\"\n\
             needed = 2\nhosts = [{hosts}]\n"
        )
    });
    let text = format!(
        "deployment = \"test\"\n[[data_centres]]\nname = \"east\"\nregion = \"one\"\n{}{}{}",
        services.concat(),
        racks.collect::<String>(),
        pools.concat()
    );
    Arc::new(ServiceText::parse("text", &text).unwrap())
}

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

/// The fleet of the service text; `change` is applied to each host.
fn fleet(text: &Arc<ServiceText>, change: impl Fn(&mut HostView)) -> FleetView {
    let racks = text.racks_by_host();
    let hosts = text
        .initial_pools_by_host()
        .into_iter()
        .map(|(host, pool)| {
            let mut view = HostView {
                id: host.clone(),
                pool: pool.id.clone(),
                rack: racks[host].id.clone(),
                data_centre: racks[host].data_centre.clone(),
                condition: HostCondition::Up,
                pinned: false,
            };
            change(&mut view);
            view
        });
    FleetView::new(Arc::clone(text), hosts.collect())
}

/// Budgets with the given milliseconds charged to one service in the current hour.
fn budgets(text: &Arc<ServiceText>, used: Option<(&str, u64)>) -> BudgetTracker {
    let rows = used.map(|(service, lost_ms)| {
        let mut budget = ServiceBudget::default();
        budget.hours.insert(NOW_MS / HOUR_MS, lost_ms);
        (service.parse().unwrap(), budget)
    });
    let rows = rows.into_iter().collect::<BTreeMap<_, _>>();
    BudgetTracker::from_rows(text, &rows, NOW_MS)
}

fn wave(hosts: &[&str]) -> WaveRecord {
    let hosts = hosts.iter().map(|name| host(name)).collect::<BTreeSet<_>>();
    let scope = "pool:reports-pool".parse().unwrap();
    let mut record = WaveRecord::new("wave-1".parse().unwrap(), scope, hosts, NOW_MS);
    record.group_limit = 8;
    record
}

fn mark_two_lost(host: &mut HostView) {
    if ["h1", "h2"].contains(&host.id.as_str()) {
        host.condition = HostCondition::Lost;
    }
}

/// Guards against a pool that stays below its need although another pool can spare a host.
#[test]
fn lost_host_is_replaced_from_pool_with_surplus() {
    let text = text();
    let fleet = fleet(&text, mark_two_lost);
    let budgets = budgets(&text, None);

    let moves = SparePlanner::new(&fleet, &budgets).repairs();

    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0].from.as_str(), "reports-pool");
    assert_eq!(moves[0].to.as_str(), "notices-pool");
}

/// Guards against a planner that undoes an operator's move.
#[test]
fn pinned_hosts_are_not_moved() {
    let text = text();
    let fleet = fleet(&text, |host| {
        mark_two_lost(host);
        host.pinned = true;
    });
    let budgets = budgets(&text, None);

    let moves = SparePlanner::new(&fleet, &budgets).repairs();

    assert!(moves.is_empty(), "{moves:?}");
}

/// Guards against a step after which the loss of one rack would exceed the remaining budget.
#[test]
fn spent_budget_keeps_capacity_for_the_loss_of_a_rack() {
    let text = text();
    let fleet = fleet(&text, |_| {});
    let wave = wave(&["h4", "h5", "h6", "h7"]);

    let unspent = budgets(&text, None);
    let with_budget = WavePlanner::new(&fleet, &unspent).next_step(&wave);
    let spent = budgets(&text, Some(("reports", 24 * HOUR_MS)));
    let without_budget = WavePlanner::new(&fleet, &spent).next_step(&wave);

    // Four serve and two are needed. Without budget, the loss of one more rack must leave two.
    assert!(matches!(with_budget, StepDecision::Stop(hosts) if hosts.len() == 2));
    assert!(matches!(without_budget, StepDecision::Stop(hosts) if hosts.len() == 1));
}

/// Guards against stopping the last serving host of a pool that has already lost the others.
#[test]
fn host_of_pool_below_its_need_is_not_stopped() {
    let text = text();
    let fleet = fleet(&text, mark_two_lost);
    let budgets = budgets(&text, None);

    let decision = WavePlanner::new(&fleet, &budgets).next_step(&wave(&["h3"]));

    assert!(matches!(decision, StepDecision::Wait(_)), "{decision:?}");
}
