//! What a placement pass could not place of a job.

/// The steps of a job of which a pass has left tasks without a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UnplacedSteps {
    /// Steps that wait for room.
    pub(crate) waiting: u32,
    /// Steps with tasks that no worker of the pool could hold, however idle.
    pub(crate) too_large: u32,
}
