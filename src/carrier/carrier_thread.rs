//! The thread that talks to carriers, or to the holder of the lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::carrier::carrier_link::CarrierLink;
use crate::carrier::carrier_runner::ReceivedBatch;
use crate::carrier::carrier_runner::RunnerResult;
use crate::carrier::carrier_server::serve_carriers;
use crate::carrier::CarrierBoard;
use crate::carrier::CarrierOffer;
use crate::carrier::HolderAddress;
use crate::error::Error;
use crate::error::Result;

/// The limit on batches that wait to be carried out. Beyond it the carrier takes no more.
const MAX_WAITING_BATCHES: usize = 64;

/// The limit on results that wait to be delivered.
const MAX_WAITING_RESULTS: usize = 4_096;

/// The ends of the channels for the thread that makes calls to workers.
#[derive(Debug)]
pub struct CarrierChannels {
    batches: mpsc::Receiver<ReceivedBatch>,
    results: mpsc::Sender<RunnerResult>,
    holder: watch::Sender<Option<HolderAddress>>,
}

impl CarrierChannels {
    /// Returns the sender that tells the thread which holder to serve; `None` for none.
    pub fn holder_sender(&self) -> watch::Sender<Option<HolderAddress>> {
        self.holder.clone()
    }

    pub(crate) fn into_parts(self) -> (mpsc::Receiver<ReceivedBatch>, mpsc::Sender<RunnerResult>) {
        (self.batches, self.results)
    }
}

/// Starts the thread that takes carriers at `address` while this process holds the lease, and serves
/// another holder as a carrier otherwise.
///
/// # Errors
///
/// Returns an error if the address can't be listened on, or the thread can't be started.
pub fn start_carrier_thread(
    address: SocketAddr,
    board: Arc<CarrierBoard>,
    offer: CarrierOffer,
) -> Result<CarrierChannels> {
    let failed = |action: &str| {
        let action = action.to_owned();
        move |source| Error::Socket { action, source }
    };
    let listener = std::net::TcpListener::bind(address)
        .map_err(failed(&format!("cannot listen on {address} for carriers")))?;
    listener
        .set_nonblocking(true)
        .map_err(failed("cannot set up the listener for carriers"))?;
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(failed("cannot build the runtime for carriers"))?;
    let (batch_sender, batches) = mpsc::channel(MAX_WAITING_BATCHES);
    let (results, result_receiver) = mpsc::channel(MAX_WAITING_RESULTS);
    let (holder, holder_receiver) = watch::channel(None);
    let link = CarrierLink::new(offer, holder_receiver, batch_sender, result_receiver);
    let run = async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => drop(tokio::spawn(serve_carriers(listener, board))),
            Err(error) => log::error!("event=carriers_not_served reason=\"{error}\""),
        }
        link.run().await;
    };
    thread::Builder::new()
        .name("carriers".to_owned())
        .spawn(move || runtime.block_on(run))
        .map_err(failed("cannot start the thread for carriers"))?;
    Ok(CarrierChannels {
        batches,
        results,
        holder,
    })
}
