//! Newtypes for identifiers, incarnations and revisions.

/// Defines a newtype for a validated name, with `Display` and `FromStr`.
///
/// A name has 1 to 64 characters: ASCII letters, digits, `-`, `_` and `.`. `FromStr` checks this;
/// `Deserialize` does not.
macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, serde::Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize)]
        #[serde(transparent)]
        pub struct $name($crate::id::name_text::NameText);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.pad(self.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::id::NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::id::check_name(text)?;
                Ok(Self($crate::id::name_text::NameText::new(text)))
            }
        }
    };
}

mod customer_id;
mod data_centre_id;
mod entry_id;
mod host_id;
mod incarnation;
mod incarnation_start;
mod job_id;
mod name_error;
mod name_text;
mod organisation_id;
mod pool_id;
mod rack_id;
mod revision;
mod service_id;
mod task_id;
mod team_id;
mod wave_id;
mod worker_id;

pub use customer_id::CustomerId;
pub use data_centre_id::DataCentreId;
pub use entry_id::EntryId;
pub use host_id::HostId;
pub use incarnation::Incarnation;
pub use incarnation_start::IncarnationStart;
pub use job_id::JobId;
pub(crate) use name_error::check_name;
pub use name_error::NameError;
pub use organisation_id::OrganisationId;
pub use pool_id::PoolId;
pub use rack_id::RackId;
pub use revision::Revision;
pub use service_id::ServiceId;
pub use task_id::TaskId;
pub use team_id::TeamId;
pub use wave_id::WaveId;
pub use worker_id::WorkerId;
