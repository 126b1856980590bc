//! What a placement pass must not leave out although it skips work: the ends of jobs whose unplaced tasks
//! all wait for earlier steps, and the order of jobs with several steps.

#[path = "common/workflow.rs"]
mod fixtures;

use std::rc::Rc;

use fixtures::*;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use zincpier::workflow::DurationTracker;
use zincpier::workflow::EndKind;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::JobState;
use zincpier::workflow::JobUrgency;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskName;

/// Guards against passes that skip a job whose only unplaced task waits for an earlier step, although a
/// failed run has become one too many by a new configuration.
#[test]
fn fewer_attempts_end_a_job_whose_next_step_waits() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step(1), step_after(1, 0)]);
    fleet.start_all();
    fleet.end_all(EndKind::Failed);
    fleet.start_all();
    assert_eq!(fleet.phase(JOB), JobPhase::Running);
    let mut next = FleetConfig::clone(fleet.engine.config.as_ref().unwrap());
    next.version += 1;
    next.queues.iter_mut().for_each(|queue| queue.attempts = 1);
    fleet.engine.config = Some(Rc::new(next));

    fleet.place();

    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
}

/// Guards against next steps that stay unplaced because the passes before had nothing to place.
#[test]
fn next_step_is_placed_in_the_first_pass_after_the_end_of_the_one_before() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(2), step_after(2, 0)]);
    fleet.start_all();
    for _ in 0..3 {
        fleet.advance(10);
        assert!(fleet.place().is_empty());
    }
    fleet.end_all(EndKind::Done);

    assert_eq!(fleet.place().len(), 2);
}

/// Returns steps that each depend on some of the earlier ones.
fn random_steps(random: &mut SmallRng) -> Vec<StepSpec> {
    let count = random.random_range(1..6);
    let spec = |number: u32| StepSpec {
        after: (0..number).filter(|_| random.random_bool(0.4)).collect(),
        estimate_ms: random.random_range(0..5_000),
        ..step(1)
    };
    (0..count).map(spec).collect()
}

#[test]
fn slack_is_that_of_the_longest_paths() {
    let mut random = SmallRng::seed_from_u64(7);
    let config = config();
    let queue = config.queue(QUEUE).unwrap();
    let mut compared = 0;
    for number in 0..500 {
        let mut durations = DurationTracker::new();
        for _ in 0..random.random_range(0..16) {
            durations.record_duration(QUEUE, random.random_range(0..3_000));
        }
        let spec = JobSpec {
            queue: QUEUE.to_owned(),
            organisation: None,
            payload: "text".to_owned(),
            steps: random_steps(&mut random),
            schedule: None,
        };
        let id = format!("{number:016x}");
        let mut job = JobState::new(id.parse().unwrap(), Rc::new(spec), 1_000);
        let done = random.random_range(0..=job.spec.steps.len() as u32);
        for step in 0..done {
            job.mark_done(&TaskName {
                step,
                ..task(&id, 0)
            });
        }
        let now_ms = 1_000 + random.random_range(0..2_000);

        let urgency = JobUrgency::new(&job, queue, &durations, now_ms);

        let expected = |step: &StepSpec| durations.expected_ms(QUEUE, step.estimate_ms);
        let path_ms = job.spec.critical_path_ms(|_, step| expected(step));
        let left_ms = job
            .spec
            .critical_path_ms(|number, step| match number < done as usize {
                true => 0,
                false => expected(step),
            });
        let objective_ms = (path_ms as f64 * queue.stretch) as i64 + queue.objective_ms as i64;
        let slack_ms = objective_ms - (now_ms - 1_000) as i64 - left_ms as i64;
        assert_eq!(urgency.slack_ms(), u64::try_from(slack_ms).ok(), "job {id}");
        compared += usize::from(urgency.slack_ms().is_some());
    }
    assert!(compared > 100, "{compared} jobs with slack");
}
