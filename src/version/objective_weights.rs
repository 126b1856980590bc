//! How much a deployment cares for each of the three measures.

/// The relative weights of buffer cost, roll-out time and moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// The weight of spare capacity held back.
    pub buffer_cost: f64,
    /// The weight of the time that a wave or change takes.
    pub roll_out: f64,
    /// The weight of a host's change of pool.
    pub moves: f64,
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self {
            buffer_cost: 1.0,
            roll_out: 1.0,
            moves: 1.0,
        }
    }
}
