//! The client of a daemon's operators' interface, with the operator's secret and name.

use std::net::SocketAddr;

use zincpier::operator::OperatorClient;

/// The variable with the operators' secret.
const TOKEN_VARIABLE: &str = "ZINCPIER_TOKEN";
/// The variable with the operator's name, for the audit trail.
const USER_VARIABLE: &str = "USER";

/// Returns a client of the daemon at `server`.
pub(crate) fn operator_client(server: SocketAddr) -> OperatorClient {
    let token = std::env::var(TOKEN_VARIABLE).unwrap_or_default();
    let who = std::env::var(USER_VARIABLE).unwrap_or_else(|_| "operator".to_owned());
    OperatorClient::new(server).with_token(&token, &who)
}
