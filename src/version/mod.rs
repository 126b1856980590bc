//! State that lives as long as one version of the service text or the host list.

mod availability;
mod data_centre;
mod fact;
mod fact_store;
mod host_list;
mod host_record;
mod objective_weights;
mod pool;
mod rack;
mod routing_table;
mod service;
mod service_text;
mod team;
mod text_reader;

pub use availability::Availability;
pub use data_centre::DataCentre;
pub use fact::Fact;
pub use fact::FactKind;
pub use fact::FACT_KINDS;
pub use fact_store::FactStore;
pub use host_list::HostList;
pub use host_record::HostRecord;
pub use host_record::HostState;
pub use objective_weights::ObjectiveWeights;
pub use pool::Pool;
pub use pool::PoolRole;
pub use rack::Rack;
pub use routing_table::BackendServer;
pub use routing_table::RoutingTable;
pub use routing_table::ServiceRoute;
pub use service::FailureDomain;
pub use service::Service;
pub use service_text::ServiceText;
pub use team::Team;
