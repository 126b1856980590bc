//! Lists the platform's hosts over and over, beside the decisions that use the lists.
//!
//! A list of a thousand hosts arrives in a dozen pages, one after another, each of which waits its
//! turn while the controller is busy. At the start of a demand peak hundreds of hosts have to change
//! pools meanwhile, so decisions don't wait for the next list.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;

use crate::process::boot_ms;
use crate::workflow::ControllerTerm;
use crate::workflow::FleetPlatform;
use crate::workflow::HostList;
use crate::workflow::HostResources;

/// Interval at which the hosts are listed, if the link carries the lists.
const LIST_INTERVAL: Duration = Duration::from_millis(200);

/// The shortest pause between two lists.
const MIN_LIST_PAUSE: Duration = Duration::from_millis(20);

/// A list of the hosts, and when it was requested.
#[derive(Clone)]
pub(crate) struct ListedHosts {
    pub(crate) list: Rc<HostList>,
    /// When the list was requested, in ms. It shows nothing that has happened since.
    pub(crate) listed_ms: u64,
}

/// The newest list of the hosts.
#[derive(Default)]
pub(crate) struct HostListing {
    latest: RefCell<Option<ListedHosts>>,
}

impl HostListing {
    /// Returns the newest list; `None` before the first one.
    pub(crate) fn latest(&self) -> Option<ListedHosts> {
        self.latest.borrow().clone()
    }

    /// Lists the hosts until the term ends. `resources` are those of this entry host.
    pub(crate) async fn run<P: FleetPlatform>(
        self: Rc<Self>,
        platform: Rc<P>,
        term: Rc<ControllerTerm>,
        resources: HostResources,
    ) {
        while term.is_active() {
            let started = Instant::now();
            let listed_ms = boot_ms();
            let mut interval = LIST_INTERVAL;
            match platform.list_hosts().await {
                Ok(list) => {
                    interval = interval.max(resources.host_list_interval(list.hosts.len()));
                    let list = Rc::new(list);
                    self.latest.replace(Some(ListedHosts { list, listed_ms }));
                }
                Err(error) => log::warn!("event=hosts_unknown reason=\"{error}\""),
            }
            let pause = interval.saturating_sub(started.elapsed());
            sleep(pause.max(MIN_LIST_PAUSE)).await;
        }
    }
}
