//! Reads, keeps and publishes the progress of maintenance waves during one term, beside the decisions
//! about hosts.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use crate::id::HostId;
use crate::id::WaveId;
use crate::process::boot_ms;
use crate::workflow::ControllerTerm;
use crate::workflow::FleetPlatform;
use crate::workflow::HostList;
use crate::workflow::WaveProgress;
use crate::workflow::WaveRequest;

/// The progress of each wave, as known in this term.
pub(crate) struct WaveRecords<P> {
    platform: Rc<P>,
    term: Rc<ControllerTerm>,
    progress: RefCell<BTreeMap<WaveId, WaveProgress>>,
    /// Waves that are being read or published.
    busy: RefCell<BTreeSet<WaveId>>,
}

impl<P: FleetPlatform> WaveRecords<P> {
    pub(crate) fn new(platform: Rc<P>, term: Rc<ControllerTerm>) -> Rc<Self> {
        Rc::new(Self {
            platform,
            term,
            progress: RefCell::default(),
            busy: RefCell::default(),
        })
    }

    /// Returns whether a wave's progress is known, and begins to read it if it is not.
    pub(crate) fn load(self: &Rc<Self>, wave: &WaveId) -> bool {
        if self.progress.borrow().contains_key(wave) {
            return true;
        }
        if self.busy.borrow_mut().insert(wave.clone()) {
            let (records, wave) = (Rc::clone(self), wave.clone());
            monoio::spawn(async move {
                records.read(&wave).await;
                records.busy.borrow_mut().remove(&wave);
            });
        }
        false
    }

    async fn read(&self, wave: &WaveId) {
        let progress = match self.platform.read(&[&WaveProgress::row_key(wave)]).await {
            Ok(rows) => WaveProgress::from_rows(wave, &rows),
            Err(error) => {
                log::warn!("event=wave_unknown wave={wave} reason=\"{error}\"");
                return;
            }
        };
        let is_complete = progress.complete;
        self.progress.borrow_mut().insert(wave.clone(), progress);
        if is_complete {
            return;
        }
        if let Err(error) = self.platform.publish_wave(wave, false).await {
            log::warn!("event=wave_unpublished wave={wave} reason=\"{error}\"");
        }
    }

    /// Returns the progress of a wave. Without any known, nothing was done yet.
    pub(crate) fn progress(&self, wave: &WaveId) -> WaveProgress {
        let progress = self.progress.borrow();
        progress.get(wave).cloned().unwrap_or_default()
    }

    /// Returns the hosts whose upkeep was decided and that the platform has not accepted yet.
    pub(crate) fn unaccepted_hosts(&self) -> BTreeSet<HostId> {
        let progress = self.progress.borrow();
        progress
            .values()
            .flat_map(WaveProgress::unaccepted)
            .collect()
    }

    /// Changes the progress of a wave, without queueing its row.
    pub(crate) fn update<F: FnOnce(&mut WaveProgress)>(&self, wave: &WaveId, change: F) {
        let mut progress = self.progress.borrow_mut();
        change(progress.entry(wave.clone()).or_default());
    }

    /// Changes the progress of a wave and queues its row for the next commit.
    pub(crate) fn store<F: FnOnce(&mut WaveProgress)>(&self, wave: &WaveId, change: F) {
        self.update(wave, change);
        self.term.queue_row(self.progress(wave).to_write(wave));
    }

    /// Returns the time since the wave was first read by any controller, in ms. Stores the time of
    /// that read if none is stored, so that the deadline stays the same for a successor.
    pub(crate) fn age_ms(&self, wave: &WaveId, first_read_ms: u64) -> u64 {
        let known_ms = boot_ms().saturating_sub(first_read_ms);
        let table_ms = self.platform.clock_ms();
        let is_stored = self.progress(wave).read_ms.is_some();
        if let (false, Some(table_ms)) = (is_stored, table_ms) {
            let read_ms = table_ms.saturating_sub(known_ms);
            self.store(wave, |progress| progress.read_ms = Some(read_ms));
        }
        self.progress(wave).age_ms(known_ms, table_ms)
    }

    /// Publishes a wave as complete once the upkeep of each of its hosts has begun.
    pub(crate) fn finish(self: &Rc<Self>, request: &WaveRequest, list: &HostList) {
        let wave = &request.wave;
        let done = self.progress(wave).includes_all(request, list);
        // An earlier state that is still being published must not follow this one.
        if !done || !self.busy.borrow_mut().insert(wave.clone()) {
            return;
        }
        let (records, wave) = (Rc::clone(self), wave.clone());
        monoio::spawn(async move {
            match records.platform.publish_wave(&wave, true).await {
                Ok(()) => {
                    log::info!("event=wave_complete wave={wave}");
                    records.store(&wave, |progress| progress.complete = true);
                }
                Err(error) => log::warn!("event=wave_unpublished wave={wave} reason=\"{error}\""),
            }
            records.busy.borrow_mut().remove(&wave);
        });
    }
}
