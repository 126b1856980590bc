//! The operator's configuration and waves as known to one entry host, kept current by polling.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use crate::connection::AnswerClock;
use crate::error::Result;
use crate::id::Revision;
use crate::id::WaveId;
use crate::process::boot_ms;
use crate::workflow::call_series::CallSeries;
use crate::workflow::cap_limits::CapLimits;
use crate::workflow::ChangeFeed;
use crate::workflow::ChangeSet;
use crate::workflow::ConfigConfirmation;
use crate::workflow::ConfigSighting;
use crate::workflow::FleetConfig;
use crate::workflow::OperatorChange;
use crate::workflow::WaveRequest;

/// Time for which a poll waits for a change. If the connection stops answering, a change arrives
/// after this time plus the call's timeout. The sum must stay below the 2 s within which a
/// configuration has to be in force.
const POLL_WAIT: Duration = Duration::from_millis(700);

/// Like [`POLL_WAIT`], while the configuration has organisations. It is confirmed as of the sending
/// of a poll, so its age reaches the time of two polls. With answers of a slow table (420 ms) that is
/// 1.84 s, which leaves 3 s of the 4.9 s for which keys are accepted without the table.
const KEY_POLL_WAIT: Duration = Duration::from_millis(500);

/// Time without an answer after which the table counts as unreachable: one poll's wait and its
/// timeout. Bytes of an answer that is arriving count, since a large one takes longer.
const UNREACHABLE_AFTER_MS: u64 = 1_450;

/// Time after which a poll without an answer is sent again beside it, besides the wait for a change:
/// longer than a read of a slow table takes (240 ms).
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Delay after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The newest configuration and the waves known to this entry host. A configuration is never
/// replaced by an older version.
#[derive(Debug)]
pub struct FleetView {
    config: RefCell<Option<Rc<FleetConfig>>>,
    /// The caps of the versions that may be in force.
    caps: RefCell<CapLimits>,
    /// Each wave with the time in ms at which it was first read.
    waves: RefCell<BTreeMap<WaveId, (WaveRequest, u64)>>,
    /// When the platform last answered a poll, or bytes of such an answer arrived.
    answers: Rc<AnswerClock>,
    confirmation: ConfigConfirmation,
}

impl FleetView {
    /// Creates a view without configuration or waves. The table counts as having answered now.
    pub fn new() -> Rc<Self> {
        Self::with_clock(AnswerClock::new())
    }

    /// Like [`FleetView::new`], with a clock in which the change feed records the arrival of an
    /// answer. The transfer of a large configuration then doesn't count as silence.
    pub fn with_clock(answers: Rc<AnswerClock>) -> Rc<Self> {
        Rc::new(Self {
            config: RefCell::default(),
            caps: RefCell::default(),
            waves: RefCell::default(),
            answers,
            confirmation: ConfigConfirmation::new(),
        })
    }

    /// Returns the configuration in force, or `None` before the first was read.
    pub fn config(&self) -> Option<Rc<FleetConfig>> {
        self.config.borrow().clone()
    }

    /// Returns the caps of the versions that may be in force.
    pub(crate) fn caps(&self) -> CapLimits {
        self.caps.borrow().clone()
    }

    /// Returns the waves, each with the time in ms at which this entry host first read it.
    pub fn waves(&self) -> Vec<(WaveRequest, u64)> {
        self.waves.borrow().values().cloned().collect()
    }

    /// Returns the time in ms since the configuration in force was last confirmed as the newest, or
    /// `None` if it never was.
    pub fn config_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmation.age_ms(now_ms)
    }

    /// Returns the time since the platform last answered, in ms.
    pub fn unanswered_ms(&self) -> u64 {
        self.answers.silent_ms()
    }

    /// Returns whether the platform's table is unreachable, so that nothing can be stored.
    pub fn is_table_unreachable(&self) -> bool {
        self.unanswered_ms() > UNREACHABLE_AFTER_MS
    }

    /// Watches the operator's changes. Never returns.
    pub async fn watch<F: ChangeFeed>(&self, feed: &F) {
        let mut since = Revision::new(0);
        let mut answering = true;
        loop {
            // Without a wait, the first answer after an outage arrives at once.
            let wait = match answering {
                true => self.poll_wait(),
                false => Duration::ZERO,
            };
            let (sent_ms, outcome) = self.poll(feed, since, wait).await;
            match outcome {
                Ok(ChangeSet::Changes(changes, revision)) => {
                    self.answers.record();
                    since = revision;
                    self.accept_answer(changes, sent_ms);
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
                    // Only the newest version matters: after an outage, the changes since the last
                    // answer may be many times as large.
                    since = Revision::new(0);
                    sleep(POLL_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Polls the operator's changes until a poll is answered or fails. Returns when that poll was sent, in
    /// ms. While polls are unanswered, others are sent beside them, so that the end of an outage is noticed
    /// soon; not while an answer is arriving, since large ones would share the link.
    async fn poll<F: ChangeFeed>(
        &self,
        feed: &F,
        since: Revision,
        wait: Duration,
    ) -> (u64, Result<ChangeSet<OperatorChange>>) {
        let mut polls = CallSeries::new();
        loop {
            let sent_ms = boot_ms();
            let poll = async move { (sent_ms, feed.operator_changes(since, wait).await) };
            polls.send(poll, wait + RESEND_DELAY);
            loop {
                match polls.next().await {
                    Some(answer) => return answer,
                    None if self.is_answer_arriving() => polls.postpone(RESEND_DELAY),
                    None => break,
                }
            }
        }
    }

    fn is_answer_arriving(&self) -> bool {
        Duration::from_millis(self.answers.silent_ms()) < RESEND_DELAY
    }

    fn poll_wait(&self) -> Duration {
        let config = self.config.borrow();
        let organisations = config.as_ref().map(|config| &config.organisations);
        match organisations {
            Some(Some(_)) => KEY_POLL_WAIT,
            _ => POLL_WAIT,
        }
    }

    /// Applies the changes of a complete answer to a poll that was sent at `sent_ms`, in the order in
    /// which they were stored.
    pub fn accept_answer(&self, changes: Vec<OperatorChange>, sent_ms: u64) {
        let mut sighting = ConfigSighting::Unchanged;
        for change in changes {
            sighting = match &change {
                OperatorChange::Config(config) => self.classify(config),
                OperatorChange::UnreadableConfig => ConfigSighting::Unreadable,
                OperatorChange::Wave(_) => sighting,
            };
            self.accept(change);
        }
        self.confirmation.record_answer(sighting, sent_ms);
    }

    fn classify(&self, config: &FleetConfig) -> ConfigSighting {
        let current = self.config.borrow();
        match current.as_ref() {
            Some(current) if config.version < current.version => ConfigSighting::Outdated,
            _ => ConfigSighting::Newest,
        }
    }

    /// Applies an operator's change. A configuration is ignored unless its version is newer than
    /// the one in force; a known wave is updated and keeps the time of its first read.
    pub fn accept(&self, change: OperatorChange) {
        match change {
            OperatorChange::Config(config) => self.accept_config(config),
            // The decoder has logged it.
            OperatorChange::UnreadableConfig => {}
            OperatorChange::Wave(request) => {
                let mut waves = self.waves.borrow_mut();
                let wave = request.wave.clone();
                let known = waves.get(&wave);
                let since_ms = known.map_or_else(boot_ms, |(_, since)| *since);
                // A wave is read again after a failed poll.
                if known.is_none_or(|(known, _)| *known != request) {
                    log::info!("event=wave_seen wave={wave} hosts={}", request.hosts.len());
                }
                waves.insert(wave, (request, since_ms));
            }
        }
    }

    fn accept_config(&self, config: FleetConfig) {
        let mut current = self.config.borrow_mut();
        let version = current.as_ref().map_or(0, |config| config.version);
        if config.version <= version && current.is_some() {
            return;
        }
        log::info!(
            "event=config_in_force version={} before={version} queues={}",
            config.version,
            config.queues.len()
        );
        self.caps.borrow_mut().refresh(&config, boot_ms());
        *current = Some(Rc::new(config));
    }
}
