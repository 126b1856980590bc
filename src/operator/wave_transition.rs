//! What an operator wants of a wave that has started.

use crate::operator::change_error::conflict;
use crate::operator::change_error::ChangeResult;
use crate::wave::WaveRecord;
use crate::wave::WaveState;

/// What an operator wants of a wave that has started.
#[derive(Clone, Copy, Debug)]
pub(super) enum WaveTransition {
    /// No further host is stopped.
    Hold,
    /// It goes on.
    Resume,
    /// It ends.
    Abort,
}

impl WaveTransition {
    /// Returns the audit action and the state that the order leads to.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the wave is over.
    pub(super) fn apply_to(self, record: &WaveRecord) -> ChangeResult<(&'static str, WaveState)> {
        if record.state.is_over() {
            return Err(conflict(&format!("the wave is {}", record.state)));
        }
        Ok(match self {
            Self::Hold => ("wave hold", WaveState::Held("by an operator".to_owned())),
            Self::Resume => ("wave resume", WaveState::Running),
            Self::Abort => ("wave abort", WaveState::Aborted),
        })
    }
}
