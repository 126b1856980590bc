//! Identifier of a team.

name_id!(
    /// The team whose quota a job uses.
    TeamId
);
