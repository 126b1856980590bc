//! What the operator has asked for, as one entry host knows it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use crate::id::Revision;
use crate::id::WaveId;
use crate::process::boot_ms;
use crate::workflow::ChangeFeed;
use crate::workflow::ChangeSet;
use crate::workflow::FleetConfig;
use crate::workflow::OperatorChange;
use crate::workflow::WaveRequest;

/// How long a look waits for a change: a connection that went silent costs this and the
/// call's timeout, within the 2 s in which a change is in force.
const LOOK_WAIT: Duration = Duration::from_millis(700);

/// The silence after which the table counts as out of reach, in ms: a look that waited and
/// its timeout.
const CUT_OFF_MS: u64 = 1_450;

/// The pause after a failed look.
const LOOK_PAUSE: Duration = Duration::from_millis(150);

/// The newest configuration and the waves; versions never go back.
#[derive(Debug, Default)]
pub struct FleetView {
    config: RefCell<Option<Rc<FleetConfig>>>,
    waves: RefCell<BTreeMap<WaveId, (WaveRequest, u64)>>,
    answered_ms: Cell<u64>,
}

impl FleetView {
    /// Creates a view that knows nothing yet.
    pub fn new() -> Rc<Self> {
        let view = Self::default();
        view.answered_ms.set(boot_ms());
        Rc::new(view)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Rc<FleetConfig>> {
        self.config.borrow().clone()
    }

    /// Returns the waves, each with the time in ms at which it was first seen.
    pub fn waves(&self) -> Vec<(WaveRequest, u64)> {
        self.waves.borrow().values().cloned().collect()
    }

    /// Returns for how long the platform has not answered, in ms.
    pub fn unanswered_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.answered_ms.get())
    }

    /// Tells whether the platform's table is out of reach, so that nothing can be stored.
    pub fn is_table_unreachable(&self) -> bool {
        self.unanswered_ms() > CUT_OFF_MS
    }

    /// Follows the operator's changes for ever.
    pub async fn watch<F: ChangeFeed>(&self, feed: &F) {
        let mut since = Revision::new(0);
        let mut answering = true;
        loop {
            // A platform that comes back is noticed at once, without waiting for a change.
            let wait = if answering { LOOK_WAIT } else { Duration::ZERO };
            match feed.operator_changes(since, wait).await {
                Ok(ChangeSet::Changes(facts, revision)) => {
                    self.answered_ms.set(boot_ms());
                    since = revision;
                    facts.into_iter().for_each(|fact| self.accept(fact));
                    if !answering {
                        log::info!("event=dependency_regained name=platform_table");
                    }
                    answering = true;
                    continue;
                }
                Ok(ChangeSet::HistoryLost) => {
                    log::warn!("event=history_lost feed=operator since={since}");
                    since = Revision::new(0);
                }
                Err(error) => {
                    if answering {
                        log::warn!("event=dependency_lost name=platform_table reason=\"{error}\"");
                    }
                    answering = false;
                    sleep(LOOK_PAUSE).await;
                }
            }
        }
    }

    /// Takes a fact in, unless a newer one is known.
    pub fn accept(&self, fact: OperatorChange) {
        match fact {
            OperatorChange::Config(config) => self.accept_config(config),
            OperatorChange::Wave(request) => {
                let mut waves = self.waves.borrow_mut();
                let wave = request.wave.clone();
                let since_ms = waves.get(&wave).map_or_else(boot_ms, |(_, since)| *since);
                log::info!("event=wave_seen wave={wave} hosts={}", request.hosts.len());
                waves.insert(wave, (request, since_ms));
            }
        }
    }

    fn accept_config(&self, config: FleetConfig) {
        let mut held = self.config.borrow_mut();
        let version = held.as_ref().map_or(0, |config| config.version);
        if config.version <= version && held.is_some() {
            return;
        }
        log::info!(
            "event=config_in_force version={} before={version} queues={}",
            config.version,
            config.queues.len()
        );
        *held = Some(Rc::new(config));
    }
}
