//! The name of a team.

name_id!(
    /// Names a team, on whose quota jobs run.
    TeamId
);
