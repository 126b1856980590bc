//! What lives as long as one connection: to a caller, a backend server, a peer
//! or the platform.

mod answer_time;
mod backend_pool;
mod caller;
mod dial;
pub(crate) mod exchange;
mod framing;
mod http_client;
mod idle_budget;
mod limited_reader;
mod message_limits;
mod packed_value;
mod peer_link;
mod peer_server;
mod peer_service;
mod peer_transport;

pub use answer_time::AnswerTime;
pub use backend_pool::ReuseRule;
pub use backend_pool::ServerConnections;
pub use caller::accept_connections;
pub use caller::close_without_answer;
pub use caller::serve_connection;
pub use caller::RequestHandler;
pub use exchange::ExchangeError;
pub use exchange::HttpConnection;
pub use framing::check_framing;
pub use framing::BodyFraming;
pub use framing::FramingError;
pub use http_client::HttpClient;
pub use idle_budget::IdleBudget;
pub use idle_budget::IdlePlace;
pub use message_limits::MessageLimits;
pub(crate) use peer_link::BeatPlan;
pub(crate) use peer_link::LinkHandle;
pub use peer_link::PeerLink;
pub use peer_server::serve_peers;
pub use peer_service::PeerBeat;
pub use peer_service::PeerReply;
pub use peer_service::SlotRequest;
