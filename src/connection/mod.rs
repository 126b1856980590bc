//! What lives as long as one connection: to a caller, a backend server, a peer
//! or the platform.

mod adaptive_timeout;
mod caller;
mod dial;
pub(crate) mod exchange;
mod framing;
mod http_client;
mod idle_budget;
mod limited_reader;
mod message_limits;
mod peer_link;
mod peer_server;
mod peer_service;
mod peer_transport;
mod server_connections;
mod value_compression;

pub use adaptive_timeout::AdaptiveTimeout;
pub use caller::accept_connections;
pub use caller::close_without_response;
pub use caller::serve_connection;
pub use caller::RequestHandler;
pub use exchange::ExchangeError;
pub use exchange::HttpConnection;
pub use framing::check_framing;
pub use framing::BodyFraming;
pub use framing::FramingError;
pub use http_client::HttpClient;
pub use idle_budget::IdleBudget;
pub use idle_budget::IdlePermit;
pub use message_limits::MessageLimits;
pub(crate) use peer_link::HeartbeatPlan;
pub(crate) use peer_link::LinkHandle;
pub use peer_link::PeerLink;
pub use peer_server::serve_peers;
pub use peer_service::PeerHeartbeat;
pub use peer_service::PeerReply;
pub use peer_service::SlotRequest;
pub use server_connections::ReusePolicy;
pub use server_connections::ServerConnections;
