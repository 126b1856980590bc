//! Keeps services within their availability budgets while hosts are
//! maintained, moved between pools or lost.
//!
//! This library backs three binaries: `zincpierd` (the daemon of an entry
//! host), `zincpier` (the operators' command-line tool) and `zincpier-standin`
//! (a simulated platform and simulated backend servers for tests and
//! demonstrations).
//!
//! State of the daemon is grouped into modules by its lifetime: [`request`],
//! [`connection`], [`version`], [`process`] and [`wave`]. [`job`] and [`workflow`]
//! run jobs on workers, [`carrier`] makes calls to them for other hosts, [`operator`] has the operators' interfaces, [`provider`]
//! calls the platform and [`standin`] simulates it.

pub mod carrier;
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
