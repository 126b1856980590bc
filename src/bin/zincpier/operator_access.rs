//! Creates operator clients with the token and operator name from the environment.

use std::net::SocketAddr;

use zincpier::operator::OperatorClient;

/// Environment variable with the operator token; without it, only reads are allowed.
const TOKEN_VARIABLE: &str = "ZINCPIER_TOKEN";
/// Environment variable with the operator's name, for the audit trail.
const USER_VARIABLE: &str = "USER";

/// Creates a client for the daemon whose operator address is `server`.
pub(crate) fn operator_client(server: SocketAddr) -> OperatorClient {
    let token = std::env::var(TOKEN_VARIABLE).unwrap_or_default();
    let who = std::env::var(USER_VARIABLE).unwrap_or_else(|_| "operator".to_owned());
    OperatorClient::new(server).with_token(&token, &who)
}
