//! Zincpier keeps services inside their availability budgets while hosts are
//! maintained, moved between pools and lost.
//!
//! The crate is the library behind three thin programs: `zincpierd` (the entry
//! host daemon), `zincpier` (the operator's tool) and `zincpier-standin` (a
//! small platform and backend server for tests and demonstrations).
//!
//! Modules are laid out by life span: [`request`], [`connection`], [`version`],
//! [`process`] and [`wave`].

pub mod connection;
pub mod error;
pub mod finding;
pub mod id;
pub mod job;
pub mod operator;
pub mod process;
pub mod provider;
pub mod request;
pub mod standin;
pub mod toml_reader;
pub mod version;
pub mod wave;
pub mod workflow;
