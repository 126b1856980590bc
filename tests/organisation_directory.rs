//! Keys, weights and caps of organisations.

use zincpier::id::OrganisationId;
use zincpier::workflow::ApiKey;
use zincpier::workflow::Organisation;
use zincpier::workflow::OrganisationDirectory;
use zincpier::workflow::ResourceCap;
use zincpier::workflow::ShareWeight;
use zincpier::workflow::WorkerResources;

const SECRET: &str = "pqk8bdk9eevyxq2yyaza";

fn organisation(id: &str, key: &str) -> Organisation {
    Organisation {
        id: id.parse().unwrap(),
        keys: vec![key.parse().unwrap()],
        priority: 0,
        weight: ShareWeight::default(),
        cap: ResourceCap::default(),
    }
}

fn resources(cpu_millis: u64, memory_mb: u64, gpus: u64) -> WorkerResources {
    WorkerResources {
        cpu_millis,
        memory_mb,
        gpus,
    }
}

/// Guards against a key that ends up in a log line or in debug output.
#[test]
fn key_is_not_printed() {
    let directory = OrganisationDirectory::new(vec![organisation("north", SECRET)]);
    let key: ApiKey = SECRET.parse().unwrap();

    let printed = format!("{key} {key:?} {directory:?}");
    let error = "a key with spaces".parse::<ApiKey>().unwrap_err();

    assert!(!printed.contains(SECRET), "{printed}");
    assert!(!error.to_string().contains("spaces"), "{error}");
}

/// Guards against a second organisation that takes over the callers of the first.
#[test]
fn key_of_two_organisations_belongs_to_the_first() {
    let organisations = vec![organisation("north", SECRET), organisation("south", SECRET)];
    let directory = OrganisationDirectory::new(organisations);

    let found = directory.find_by_key(SECRET).map(|found| found.id.clone());

    assert_eq!(found, Some("north".parse::<OrganisationId>().unwrap()));
    assert!(directory.find_by_key("another").is_none());
}

/// Guards against a cap that a single resource exceeds, and against a limit of 0 that stops all.
#[test]
fn scarcest_resource_limits_the_room() {
    let cap = ResourceCap::new(resources(10_000, 4_000, 0));
    let used = resources(2_000, 3_000, 7);

    assert_eq!(cap.room_for(&used, &resources(1_000, 100, 1)), 8);
    assert_eq!(cap.room_for(&used, &resources(1_000, 600, 1)), 1);
    assert_eq!(
        cap.room_for(&resources(11_000, 0, 0), &resources(1, 0, 0)),
        0
    );
    assert_eq!(
        ResourceCap::default().room_for(&used, &resources(1, 1, 1)),
        u64::MAX
    );
}

/// Guards against weights that would make shares negative, infinite or undefined.
#[test]
fn weight_is_positive_and_finite() {
    let weights = [0.0, -3.0, f64::NAN, f64::INFINITY].map(ShareWeight::new);

    assert!(weights
        .iter()
        .all(|weight| *weight == ShareWeight::default()));
    assert_eq!("144".parse(), Ok(ShareWeight::new(144.0)));
}
