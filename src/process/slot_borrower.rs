//! The borrowing of slots from entry hosts that have some to spare.

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

/// The time between two looks at the loans while nothing waits.
const RENEWAL_LOOK: Duration = Duration::from_millis(500);
/// The time between two looks at the queues while something waits.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// How long slots are borrowed.
const LOAN_TIME: Duration = Duration::from_secs(6);
/// The rest of a loan at which it is renewed or given back.
const RENEWAL_TIME: Duration = Duration::from_secs(4);
/// The pause after a peer had nothing to lend.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);
/// The most hosts whose slots one call asks for.
const HOSTS_PER_CALL: usize = 16;

/// Borrows slots for requests that wait, and gives back those that are not needed.
pub(crate) struct SlotBorrower<P> {
    state: Arc<PeerState>,
    router: Rc<RequestRouter<P>>,
    asked_again_at: HashMap<EntryId, Instant>,
}

impl<P: ObjectService + TableService> SlotBorrower<P> {
    pub(crate) fn new(state: Arc<PeerState>, router: Rc<RequestRouter<P>>) -> Self {
        Self {
            state,
            router,
            asked_again_at: HashMap::new(),
        }
    }

    /// Borrows and gives back for as long as the process lives.
    pub(crate) async fn run(mut self) {
        loop {
            self.renew().await;
            if self.router.slots().has_waiting() {
                self.borrow_for_waiting().await;
                sleep(LOOK_PAUSE).await;
            } else {
                // An error is the end of the pause, after which loans are looked at.
                let _ = timeout(RENEWAL_LOOK, self.router.slots().waiting_begun()).await;
            }
        }
    }

    /// Renews the loans that requests in flight need and ends the others.
    async fn renew(&self) {
        let now = Instant::now();
        let ending = self
            .state
            .allocator
            .loans_ending_before(now + RENEWAL_TIME, now);
        for loan in ending {
            // The slots are out of use here before the lender has them again.
            let given_back = self.state.allocator.return_loan(&loan.host, &loan.lender);
            let wanted = if given_back { 0 } else { loan.slots };
            let request = SlotRequest {
                host: loan.host,
                slots: wanted,
            };
            self.ask(&loan.lender, vec![request]).await;
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
                let later = self.asked_again_at.get(&lender);
                if later.is_some_and(|later| *later > now) {
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
                if self.ask(&lender, wanted).await == 0 {
                    self.asked_again_at.insert(lender, now + REFUSED_PAUSE);
                }
            }
        }
    }

    /// Returns the live members that own slots of a route's servers, with the servers' hosts.
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

    /// Asks a peer for slots and returns how many it has lent.
    async fn ask(&self, lender: &EntryId, wanted: Vec<SlotRequest>) -> u32 {
        let sent = Instant::now();
        let granted = self.state.borrow_from(lender, wanted, LOAN_TIME).await;
        let granted = granted.unwrap_or_default();
        for grant in &granted {
            let until = sent + LOAN_TIME;
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
