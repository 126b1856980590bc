//! The few small rows that every entry host holds a copy of.

use bytes::Bytes;

use crate::id::Revision;

/// Which of the shared rows a fact is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FactKind {
    /// The service text in force.
    Text,
    /// The hosts that a wave or a move has closed, and the pools of moved hosts.
    Placement,
    /// The entry hosts that are agreed to be members.
    Members,
}

/// Every kind of fact, in the order of a digest.
pub const FACT_KINDS: [FactKind; 3] = [FactKind::Text, FactKind::Placement, FactKind::Members];

impl FactKind {
    /// Returns the key of the fact's row in the platform's table.
    pub fn row_key(self) -> &'static str {
        match self {
            Self::Text => "fact/text",
            Self::Placement => "fact/placement",
            Self::Members => "fact/members",
        }
    }

    /// Returns the place of the kind in [`FACT_KINDS`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// One version of a fact.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fact {
    /// The revision of the row; 0 stands for no row.
    pub revision: Revision,
    /// The row's value, as JSON.
    pub value: Bytes,
}
