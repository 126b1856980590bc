//! The name of a maintenance wave.

name_id!(
    /// Names a maintenance wave.
    WaveId
);
