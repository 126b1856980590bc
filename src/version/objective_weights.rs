//! Weights of the planning objectives.

/// The relative weights that a deployment gives to buffer cost, roll-out time and moves; only
/// their ratios matter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// The weight of the spare hosts, as a share of the hosts needed.
    pub buffer_cost: f64,
    /// The weight of the duration of a wave, as a share of the maintenance cycle.
    pub roll_out: f64,
    /// The weight of moving a host to another pool; read from the service text, but not used.
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
