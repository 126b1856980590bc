//! Table row of the service text.

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::version::Fact;
use crate::version::ServiceText;

/// Value of the service text's table row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceTextRow {
    /// TOML source, unmodified from the operator's submission.
    pub source: String,
    /// Operator who applied it.
    pub who: String,
}

impl ServiceTextRow {
    /// Parses the value of the service text fact.
    ///
    /// # Errors
    ///
    /// Returns [`Error::PlatformSilent`], as for any unreadable response of the platform, if the
    /// value is not a service text row.
    pub fn from_fact(fact: &Fact) -> Result<Self> {
        serde_json::from_slice(&fact.value)
            .map_err(|error| Error::PlatformSilent(format!("invalid service text row: {error}")))
    }

    /// Parses and validates the source.
    ///
    /// # Errors
    ///
    /// Returns all findings together.
    pub fn parse(&self) -> Result<ServiceText> {
        ServiceText::parse("service text", &self.source)
    }
}
