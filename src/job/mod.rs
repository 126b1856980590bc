//! Jobs: their stored records, the planner that places them on workers and the controller that
//! drives them.

mod controller_state;
mod fault_detector;
mod host_jobs;
mod job_activity;
mod job_controller;
mod job_fleet;
mod job_planner;
mod job_record;
mod job_registry;
mod job_size;
mod job_spec;
mod job_store;
mod quota_tracker;
mod report_tracker;
mod size_estimator;

pub use fault_detector::FaultDetector;
pub use fault_detector::WorkerTrust;
pub use host_jobs::host_jobs_key;
pub(crate) use host_jobs::read_host_jobs;
pub(crate) use host_jobs::HostJobs;
pub use host_jobs::HOST_JOBS_PREFIX;
pub use job_activity::JobActivity;
pub use job_controller::JobController;
pub use job_fleet::JobFleet;
pub use job_fleet::TaskView;
pub use job_fleet::WorkerView;
pub use job_planner::JobDecision;
pub use job_planner::JobPlanner;
pub use job_planner::WaitingJob;
pub use job_record::ended_key;
pub use job_record::inbox_key;
pub use job_record::open_key;
pub use job_record::JobRecord;
pub use job_record::JobState;
pub use job_record::StoredJob;
pub use job_record::ENDED_PREFIX;
pub use job_record::INBOX_PREFIX;
pub use job_record::OPEN_PREFIX;
pub use job_size::JobSize;
pub use job_size::SizeError;
pub use job_spec::JobSpec;
pub use job_store::JobStore;
pub use quota_tracker::QuotaTracker;
pub use size_estimator::SizeEstimator;
