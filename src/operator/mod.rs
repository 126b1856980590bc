//! HTTP APIs for operators and callers, the operator client, load generation, log analysis and the
//! demonstration.

mod api;
mod api_answer;
mod caller_api;
mod change_error;
mod client;
mod demo;
mod fleet_api;
mod job_api;
mod job_diagnosis;
mod job_summary;
mod job_timeline;
mod late_jobs;
mod load_plan;
mod load_report;
mod log_line;
mod organisation_report;
mod sampled_log;
mod service_text_row;
mod status_report;
mod wave_transition;

pub use api::OperatorApi;
pub use api::TOKEN_HEADER;
pub use caller_api::CallerApi;
pub use client::OperatorClient;
pub use demo::run_demo;
pub use demo::DemoReport;
pub use job_api::JobApi;
pub use job_diagnosis::JobDiagnosis;
pub use job_summary::JobSummary;
pub use job_timeline::JobTimeline;
pub use late_jobs::jobs_not_completed_in_time;
pub use load_plan::LoadPlan;
pub use load_report::LoadReport;
pub use log_line::LogLine;
pub use organisation_report::OrganisationReport;
pub(crate) use sampled_log::SampledLog;
pub use service_text_row::ServiceTextRow;
pub use status_report::BudgetStatus;
pub use status_report::EntryStatus;
pub use status_report::HostStatus;
pub use status_report::ServiceStatus;
pub use status_report::StatusReport;
