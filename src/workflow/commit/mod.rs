//! Makes the controller's decisions durable, and applies those of their effects whose rows are stored.

pub(crate) mod commit_notice;
pub(crate) mod committer;
mod effect_order;
pub(crate) mod refused_row;
pub(crate) mod refused_rows;
pub(crate) mod refused_writes;
