//! Admission, routing and at-most-once execution of requests.

mod claim;
mod claim_manager;
mod duplicate_responder;
pub mod header;
mod problem;
mod refusal;
mod request_meta;
mod request_outcome;
mod request_router;
mod slot_dispatcher;

pub(crate) use claim::hash_parts;
pub use claim::request_fingerprint;
pub use claim::ClaimKey;
pub use claim::ClaimRow;
pub use claim::ClaimState;
pub use claim::StoredResponse;
pub use claim_manager::ClaimManager;
pub use claim_manager::ClaimOutcome;
pub use problem::problem_response;
pub use problem::refusal_response;
pub(crate) use refusal::DEFAULT_RETRY_AFTER;
pub use request_meta::RequestMeta;
pub use request_outcome::RequestOutcome;
pub use request_router::RequestRouter;
pub use slot_dispatcher::SlotDispatcher;
