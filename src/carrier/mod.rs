//! Calls to workers that other entry hosts, the carriers, make for the holder of the controller's lease.
//!
//! The holder decides; a carrier only sends what it is handed and returns the outcome. A carrier
//! keeps no state that must last: whatever is lost with it counts as a call without an answer.
//!
//! Each carrier connects to the holder that the leader row names and takes orders in batches, over tarpc on
//! a thread of its own. The holder's side of the connections is the [`CarrierBoard`].

mod call_order;
mod carried_gateway;
mod carrier_board;
mod carrier_link;
mod carrier_offer;
mod carrier_plan;
mod carrier_pool;
mod carrier_runner;
mod carrier_seat;
mod carrier_server;
mod carrier_service;
mod carrier_thread;
mod holder_address;
mod report_memory;
mod run_update;
mod worker_call;

pub use call_order::CallOrder;
pub use call_order::CallResult;
pub use call_order::OrderBatch;
pub use call_order::SentOutcome;
pub use call_order::SentReport;
pub use call_order::SentResult;
pub use carried_gateway::CarriedGateway;
pub use carrier_board::CarrierBoard;
pub use carrier_offer::CarrierOffer;
pub use carrier_plan::CarrierPlan;
pub use carrier_pool::CarriedCall;
pub use carrier_pool::CarrierPool;
pub use carrier_runner::run_carrier;
pub use carrier_thread::start_carrier_thread;
pub use carrier_thread::CarrierChannels;
pub use holder_address::HolderAddress;
pub use report_memory::ReportMemory;
pub use run_update::RunUpdate;
pub use worker_call::CallExecutor;
pub use worker_call::CallOutcome;
pub use worker_call::WorkerCall;
pub use worker_call::WorkerTarget;
