//! The loss of the controller's lease.

/// The lease was lost: another holder has taken it over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseLost;
