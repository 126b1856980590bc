//! State changes of a started wave that operators request.

use crate::operator::change_error::conflict;
use crate::operator::change_error::ChangeResult;
use crate::wave::WaveRecord;
use crate::wave::WaveState;

/// State change of a started wave, requested by an operator.
#[derive(Clone, Copy, Debug)]
pub(super) enum WaveTransition {
    /// Pauses the wave: no further host is stopped until it is resumed.
    Hold,
    /// Continues a held wave.
    Resume,
    /// Ends the wave; hosts that are already restarting still return to service.
    Abort,
}

impl WaveTransition {
    /// Returns the audit action and the new state.
    ///
    /// # Errors
    ///
    /// Returns a 409 refusal if the wave is over.
    pub(super) fn action_and_state(
        self,
        record: &WaveRecord,
    ) -> ChangeResult<(&'static str, WaveState)> {
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
