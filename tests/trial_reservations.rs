//! Workers that are kept for tasks that may crash them, and the other tasks of their service. Guards against
//! idle workers that no task gets since a trial that they are kept for can't take place.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/crashes.rs"]
mod crashes;

use zincpier::workflow::JobPhase;

use crate::crashes::CrashFleet;
use crate::fixtures::capped_organisation;
use crate::fixtures::gang;
use crate::fixtures::organisation;
use crate::fixtures::step;
use crate::fixtures::step_after;
use crate::fixtures::task;
use crate::fixtures::with_cpu;
use crate::fixtures::JOB;

/// The longest time for which the users let a task wait that has room twice over on a pool that is half
/// idle, in ms.
const MAX_WAIT_MS: u64 = 3_000;

const LASTING_JOB: &str = "00000000000000f1";

/// Returns a job id; ids of different kinds differ.
fn id(kind: char, number: usize) -> String {
    format!("{kind}{number:015x}")
}

fn is_complete(fleet: &CrashFleet, id: &str) -> bool {
    fleet.phase(id) == JobPhase::Complete
}

/// Guards against workers that are kept for a gang that doesn't fit on them any more.
#[test]
fn gang_that_lost_a_worker_keeps_none_from_other_tasks() {
    let mut fleet = CrashFleet::new(7);
    for number in 0..6 {
        fleet.submit_lasting(&id('b', number), vec![step(1), step_after(1, 0)], 1_000);
    }
    fleet.submit(JOB, vec![gang(7, 5_000)]);
    fleet.run(100);
    let lost = fleet.index_of(&task(JOB, 3)).unwrap();
    fleet.lose(lost);

    fleet.run(1_000 + 1_000 + MAX_WAIT_MS);

    for number in 0..6 {
        assert!(is_complete(&fleet, &id('b', number)), "job {number}");
    }
}

/// Guards against workers that are kept for a gang that fits on them, but not beside what runs there.
#[test]
fn gang_that_has_no_room_beside_a_lasting_task_keeps_no_worker_from_others() {
    let mut fleet = CrashFleet::new(7);
    for number in 0..6 {
        fleet.submit_lasting(&id('b', number), vec![step(1), step_after(1, 0)], 1_000);
    }
    fleet.submit(JOB, vec![gang(6, 5_000)]);
    fleet.run(100);
    let lost = fleet.index_of(&task(JOB, 3)).unwrap();
    fleet.lose(lost);
    fleet.submit_lasting(LASTING_JOB, vec![with_cpu(4_000, step(1))], 60_000);

    fleet.run(1_000 + 1_000 + MAX_WAIT_MS);

    for number in 0..6 {
        assert!(is_complete(&fleet, &id('b', number)), "job {number}");
    }
}

/// Guards against workers that are kept for tasks of an organisation that may have no more running.
#[test]
fn suspects_of_an_organisation_at_its_cap_keep_no_worker_from_others() {
    let mut fleet = CrashFleet::new(4);
    fleet.set_organisations(vec![
        capped_organisation("north", 12),
        organisation("south", 1.0),
    ]);
    for number in 0..6 {
        fleet.submit_for("north", &id('c', number), vec![with_cpu(2_000, step(1))]);
    }
    fleet.run(60);
    fleet.lose(0);
    fleet.run(200);
    fleet.set_organisations(vec![
        capped_organisation("north", 1),
        organisation("south", 1.0),
    ]);
    fleet.run(1_000);

    fleet.submit_for("south", JOB, vec![gang(3, 7_000)]);
    fleet.run(900 + MAX_WAIT_MS);

    assert!(is_complete(&fleet, JOB));
}
