//! Simulates a wave on a fleet without failures.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::wave::BudgetTracker;
use crate::wave::FleetView;
use crate::wave::HostCondition;
use crate::wave::StepDecision;
use crate::wave::WavePlanner;
use crate::wave::WaveRecord;
use crate::wave::WaveScope;

/// Assumed time from the closing of a group to its return.
const ASSUMED_STEP_DURATION: Duration = Duration::from_secs(300);

/// One group of a previewed wave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PreviewStep {
    /// Hosts stopped together.
    pub hosts: Vec<HostId>,
}

/// The planned steps of a wave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WavePreview {
    /// Groups in the order in which they are stopped.
    pub steps: Vec<PreviewStep>,
    /// Why the wave would not finish; `None` if it would.
    pub obstacle: Option<String>,
    /// Estimated duration in seconds.
    pub seconds: u64,
    /// Number of host moves between pools.
    pub moves: usize,
}

/// Plans every step of a wave over `scope`, assuming that every stopped host returns.
pub fn preview_wave(view: &FleetView, budgets: &BudgetTracker, scope: WaveScope) -> WavePreview {
    let mut view = view.clone();
    let hosts = scope_hosts(&view, &scope);
    let id = "preview"
        .parse()
        .unwrap_or_else(|_| unreachable!("\"preview\" is a valid wave id"));
    let mut wave = WaveRecord::new(id, scope, hosts, 0);
    let mut steps = Vec::new();
    let mut moves = 0;
    let obstacle = loop {
        let mut planner = WavePlanner::new(&view, budgets);
        let host_moves = planner.next_moves(&wave);
        match planner.next_step(&wave) {
            StepDecision::Finished => break None,
            StepDecision::Hold(reason) => break Some(reason),
            StepDecision::Wait(reason) if host_moves.is_empty() => break Some(reason),
            StepDecision::Wait(_) => {}
            StepDecision::Stop(group) => {
                for host in &group {
                    wave.pending.remove(host);
                    wave.done.insert(host.clone());
                    view.set_condition(host, HostCondition::Up);
                }
                wave.group_limit *= 2;
                steps.push(PreviewStep { hosts: group });
            }
        }
        for host_move in host_moves {
            moves += 1;
            view.set_pool(&host_move.host, host_move.to);
        }
        // Moves that undo each other would repeat without end.
        if moves > view.hosts().len() {
            break Some("hosts that would move for ever".to_owned());
        }
    };
    WavePreview {
        seconds: ASSUMED_STEP_DURATION.as_secs() * steps.len() as u64,
        steps,
        obstacle,
        moves,
    }
}

/// Returns the names of the hosts in a scope.
pub(crate) fn scope_hosts(view: &FleetView, scope: &WaveScope) -> BTreeSet<HostId> {
    view.hosts()
        .values()
        .filter(|host| scope.contains(view.text(), host))
        .map(|host| host.id.clone())
        .collect()
}
