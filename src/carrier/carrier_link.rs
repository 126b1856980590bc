//! The connection of a carrier to the holder of the lease.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tarpc::client::Config;
use tarpc::context::Context;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::carrier::carrier_board::window_rest;
use crate::carrier::carrier_runner::ReceivedBatch;
use crate::carrier::carrier_runner::RunnerResult;
use crate::carrier::carrier_service::CarrierServiceClient;
use crate::carrier::CarrierOffer;
use crate::carrier::HolderAddress;
use crate::carrier::ReportMemory;
use crate::connection::peer_transport;
use crate::process::boot_ms;

/// The limit on the time in which a connection is established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The limit on the time for an answer: the holder keeps a request for orders for 3 s, and may be late.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The same while calls go through this carrier: a connection may fall silent without an error.
const USED_TIMEOUT: Duration = Duration::from_millis(1_800);

/// The limit on the time for which results are held back, in ms, whatever the holder says.
const MAX_WINDOW_MS: u64 = 200;

/// The pause before the next connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// The limit on results in one message.
const MAX_RESULTS: usize = 256;

/// Takes orders from the holder and delivers results, connection after connection.
pub(crate) struct CarrierLink {
    offer: CarrierOffer,
    holder: watch::Receiver<Option<HolderAddress>>,
    batches: mpsc::Sender<ReceivedBatch>,
    results: mpsc::Receiver<RunnerResult>,
}

impl CarrierLink {
    pub(crate) fn new(
        offer: CarrierOffer,
        holder: watch::Receiver<Option<HolderAddress>>,
        batches: mpsc::Sender<ReceivedBatch>,
        results: mpsc::Receiver<RunnerResult>,
    ) -> Self {
        Self {
            offer,
            holder,
            batches,
            results,
        }
    }

    /// Serves each holder in turn until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            let holder = *self.holder.borrow_and_update();
            let Some(holder) = holder else {
                if self.holder.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if let Some(client) = connect(holder).await {
                self.serve(client, holder).await;
            }
            let _ = timeout(RECONNECT_PAUSE, self.holder.changed()).await;
            if self.batches.is_closed() {
                return;
            }
        }
    }

    /// Carries calls for one holder until the connection breaks or another holder is known.
    async fn serve(&mut self, client: CarrierServiceClient, holder: HolderAddress) {
        let window_ms = AtomicU64::new(0);
        let taken = take_orders(&client, &self.offer, &self.batches, (holder, &window_ms));
        let delivered = deliver_results(
            &client,
            &self.offer.name,
            &mut self.results,
            (holder.epoch, &window_ms),
        );
        let mut changes = self.holder.clone();
        let changed = changes.wait_for(|next| *next != Some(holder));
        tokio::select! {
            () = taken => {}
            () = delivered => {}
            _ = changed => {}
        }
    }
}

async fn connect(holder: HolderAddress) -> Option<CarrierServiceClient> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(holder.address)).await;
    let stream = connected.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(CarrierServiceClient::new(Config::default(), peer_transport(stream)).spawn())
}

/// Passes batches of orders on until the connection breaks or the other process holds no lease.
async fn take_orders(
    client: &CarrierServiceClient,
    offer: &CarrierOffer,
    batches: &mpsc::Sender<ReceivedBatch>,
    (holder, window_ms): (HolderAddress, &AtomicU64),
) {
    let mut is_used = false;
    loop {
        let sent_ms = boot_ms();
        let context = call_context(match is_used {
            true => USED_TIMEOUT,
            false => CALL_TIMEOUT,
        });
        let taken = client.take(context, offer.clone()).await;
        let Ok(batch) = taken else {
            return;
        };
        if !batch.is_holder {
            return;
        }
        window_ms.store(batch.window_ms.min(MAX_WINDOW_MS), Ordering::Relaxed);
        is_used = !batch.orders.is_empty();
        if batch.orders.is_empty() {
            continue;
        }
        // The holder handed the orders out this long after the request was sent, or later, but before now.
        let handed_out_ms = sent_ms.saturating_add(batch.held_ms).min(boot_ms());
        let received = ReceivedBatch {
            epoch: holder.epoch,
            orders: batch.orders,
            handed_out_ms,
        };
        if batches.send(received).await.is_err() {
            return;
        }
    }
}

/// Delivers results until the connection breaks. Results for another holder are dropped.
async fn deliver_results(
    client: &CarrierServiceClient,
    name: &str,
    results: &mut mpsc::Receiver<RunnerResult>,
    (epoch, window_ms): (u64, &AtomicU64),
) {
    let mut memory = ReportMemory::new();
    let mut received = Vec::new();
    loop {
        if results.recv_many(&mut received, 1).await == 0 {
            return;
        }
        let window_ms = window_ms.load(Ordering::Relaxed);
        sleep(window_rest(window_ms, boot_ms())).await;
        while received.len() < MAX_RESULTS {
            let Ok(result) = results.try_recv() else {
                break;
            };
            received.push(result);
        }
        let current = received.drain(..).filter(|result| result.epoch == epoch);
        let sent = current.map(|result| memory.encode(&result.worker, result.result));
        let sent: Vec<_> = sent.collect();
        if sent.is_empty() {
            continue;
        }
        let delivered = client.deliver(call_context(USED_TIMEOUT), name.to_owned(), sent);
        if !matches!(delivered.await, Ok(true)) {
            return;
        }
    }
}

fn call_context(timeout: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + timeout;
    context
}
