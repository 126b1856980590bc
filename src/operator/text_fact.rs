//! The row that holds the service text.

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::version::Fact;
use crate::version::ServiceText;

/// The value of the row of the service text.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TextFact {
    /// The text, as the operator wrote it.
    pub source: String,
    /// Who applied it.
    pub who: String,
}

impl TextFact {
    /// Reads a fact's value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not that of a text's row.
    pub fn from_fact(fact: &Fact) -> Result<Self> {
        serde_json::from_slice(&fact.value)
            .map_err(|error| Error::PlatformSilent(format!("the row of the text: {error}")))
    }

    /// Reads and checks the text.
    ///
    /// # Errors
    ///
    /// Returns every finding.
    pub fn parse(&self) -> Result<ServiceText> {
        ServiceText::parse("service text", &self.source)
    }
}
