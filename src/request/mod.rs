//! What lives as long as one request.

mod answer_outcome;
mod claim;
mod claim_answerer;
mod claim_keeper;
pub mod header;
mod problem;
mod refusal;
mod request_meta;
mod request_router;
mod slot_dispatcher;

pub use answer_outcome::AnswerOutcome;
pub(crate) use claim::hash_parts;
pub use claim::request_fingerprint;
pub use claim::ClaimKey;
pub use claim::ClaimRow;
pub use claim::ClaimState;
pub use claim::StoredAnswer;
pub use claim_keeper::ClaimKeeper;
pub use claim_keeper::ClaimOutcome;
pub use problem::problem_response;
pub use problem::refusal_response;
pub(crate) use refusal::COME_BACK;
pub use request_meta::RequestMeta;
pub use request_router::RequestRouter;
pub use slot_dispatcher::SlotDispatcher;
