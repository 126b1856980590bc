//! Facts: the few small table rows that are replicated to every entry host.

use bytes::Bytes;

use crate::id::Revision;

/// Identifies one of the replicated rows.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FactKind {
    /// The service text in force.
    Text,
    /// The hosts that a wave or a move has closed to new requests, and the current pools of moved
    /// hosts.
    Placement,
    /// The entry hosts that are members; slot shares are assigned to members only.
    Members,
}

/// All kinds, in the order of [`FactKind::index`] and of
/// [`FactStore::digest`](crate::version::FactStore::digest).
pub const FACT_KINDS: [FactKind; 3] = [FactKind::Text, FactKind::Placement, FactKind::Members];

impl FactKind {
    /// Returns the key of the row in the platform's table.
    pub fn row_key(self) -> &'static str {
        match self {
            Self::Text => "fact/text",
            Self::Placement => "fact/placement",
            Self::Members => "fact/members",
        }
    }

    /// Returns the position of the kind in [`FACT_KINDS`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// One version of a replicated row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fact {
    /// The revision of the row; 0 means that it does not exist.
    pub revision: Revision,
    /// The value of the row, encoded as JSON.
    pub value: Bytes,
}
