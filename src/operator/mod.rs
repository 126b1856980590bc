//! The operators' side: the daemon's operator listener and the tools that call it.

mod api;
mod caller_api;
mod change_error;
mod client;
mod control_api;
mod demo;
mod job_api;
mod job_summary;
mod job_trail;
mod load_plan;
mod load_report;
mod log_line;
mod status_report;
mod text_fact;
mod trail_cause;
mod wave_order;

pub use api::OperatorApi;
pub use api::TOKEN_HEADER;
pub use caller_api::CallerApi;
pub use client::OperatorClient;
pub use demo::run_demo;
pub use demo::DemoReport;
pub use job_api::JobApi;
pub use job_summary::JobSummary;
pub use job_trail::failed_jobs;
pub use job_trail::JobTrail;
pub use load_plan::LoadPlan;
pub use load_report::LoadReport;
pub use log_line::LogLine;
pub use status_report::BudgetStatus;
pub use status_report::EntryStatus;
pub use status_report::HostStatus;
pub use status_report::ServiceStatus;
pub use status_report::StatusReport;
pub use text_fact::TextFact;
pub use trail_cause::TrailCause;
