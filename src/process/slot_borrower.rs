//! Borrows slots from other entry hosts for waiting requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use monoio::time::sleep;
use monoio::time::timeout;

use crate::connection::SlotRequest;
use crate::id::EntryId;
use crate::id::HostId;
use crate::process::MemberSet;
use crate::process::PeerState;
use crate::provider::ObjectService;
use crate::provider::TableService;
use crate::request::RequestRouter;
use crate::version::ServiceRoute;

/// The interval at which loans are checked while no request waits.
const LOAN_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which queues are checked while a request waits.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The duration of a loan.
const LOAN_DURATION: Duration = Duration::from_secs(6);
/// The remaining time of a loan at which it is renewed or returned.
const RENEWAL_LEAD: Duration = Duration::from_secs(4);
/// The minimum time between two requests to a peer that had no slots to lend.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(250);
/// The maximum number of hosts whose slots one call requests.
const HOSTS_PER_CALL: usize = 16;

/// Borrows slots for waiting requests and returns those that are no longer needed.
pub(crate) struct SlotBorrower<P> {
    state: Arc<PeerState>,
    router: Rc<RequestRouter<P>>,
    retry_at: HashMap<EntryId, Instant>,
}

impl<P: ObjectService + TableService> SlotBorrower<P> {
    pub(crate) fn new(state: Arc<PeerState>, router: Rc<RequestRouter<P>>) -> Self {
        Self {
            state,
            router,
            retry_at: HashMap::new(),
        }
    }

    /// Borrows and returns slots until the process exits.
    pub(crate) async fn run(mut self) {
        loop {
            self.renew().await;
            if self.router.slots().has_waiting() {
                self.borrow_for_waiting().await;
                sleep(QUEUE_POLL_INTERVAL).await;
            } else {
                // A timeout is no failure: loans are checked at this interval.
                let _ = timeout(LOAN_POLL_INTERVAL, self.router.slots().waiting_started()).await;
            }
        }
    }

    /// Renews the loans that requests in flight need and returns the others.
    async fn renew(&self) {
        let now = Instant::now();
        let ending = self
            .state
            .allocator
            .loans_ending_before(now + RENEWAL_LEAD, now);
        for loan in ending {
            // The slots are taken out of use here before the lender gets them back.
            let returned = self.state.allocator.return_loan(&loan.host, &loan.lender);
            let wanted = if returned { 0 } else { loan.slots };
            let request = SlotRequest {
                host: loan.host,
                slots: wanted,
            };
            self.request_loan(&loan.lender, vec![request]).await;
        }
    }

    async fn borrow_for_waiting(&mut self) {
        let now = Instant::now();
        let members = self.state.members();
        let table = self.router.slots().table();
        for route in table.routes() {
            let waiting = self.router.slots().waiting(&route.service.id);
            if waiting == 0 {
                continue;
            }
            for (lender, hosts) in self.lenders(&members, route) {
                let retry_at = self.retry_at.get(&lender);
                if retry_at.is_some_and(|retry_at| *retry_at > now) {
                    continue;
                }
                let slots = waiting
                    .div_ceil(hosts.len())
                    .min(route.service.slots as usize);
                let wanted = hosts
                    .into_iter()
                    .map(|host| SlotRequest {
                        host,
                        slots: slots as u32,
                    })
                    .collect();
                if self.request_loan(&lender, wanted).await == 0 {
                    self.retry_at.insert(lender, now + REFUSAL_BACKOFF);
                }
            }
        }
    }

    /// Returns the live members that own slots of a route's servers, each with up to
    /// [`HOSTS_PER_CALL`] of the hosts.
    fn lenders(&self, members: &MemberSet, route: &ServiceRoute) -> BTreeMap<EntryId, Vec<HostId>> {
        let mut lenders = BTreeMap::<EntryId, Vec<HostId>>::new();
        for server in &route.servers {
            for (entry, member) in members.in_data_centre(&server.data_centre) {
                if member.lost || *entry == self.state.identity.entry {
                    continue;
                }
                let hosts = lenders.entry(entry.clone()).or_default();
                if hosts.len() < HOSTS_PER_CALL {
                    hosts.push(server.host.clone());
                }
            }
        }
        lenders
    }

    /// Requests slots from a peer and returns how many it has lent; a request for 0 slots returns a
    /// loan.
    async fn request_loan(&self, lender: &EntryId, wanted: Vec<SlotRequest>) -> u32 {
        let sent = Instant::now();
        let granted = self.state.borrow_from(lender, wanted, LOAN_DURATION).await;
        let granted = granted.unwrap_or_default();
        for grant in &granted {
            let until = sent + LOAN_DURATION;
            self.state
                .allocator
                .borrow(&grant.host, lender, grant.slots, until);
        }
        let total = granted.iter().map(|grant| grant.slots).sum();
        if total > 0 {
            self.router.slots().dispatch_all();
        }
        total
    }
}
