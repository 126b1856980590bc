//! Single-threaded asynchronous runtime, for tests that call the library in their own process.

use std::future::Future;

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

/// Runs a future to completion on a new runtime; blocks the calling thread.
pub(crate) fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.unwrap().block_on(future)
}
