//! Identifier of a maintenance wave.

name_id!(
    /// Identifies a maintenance wave in the table, the audit log and the operators' tool.
    WaveId
);
