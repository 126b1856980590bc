//! Decisions on API keys from the held configuration and its age.

#[path = "common/workflow.rs"]
mod fixtures;

use zincpier::id::OrganisationId;
use zincpier::workflow::check_key;
use zincpier::workflow::CallerScope;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::KeyLimits;
use zincpier::workflow::KeyRefusal;
use zincpier::workflow::Organisation;
use zincpier::workflow::OrganisationDirectory;
use zincpier::workflow::ResourceCap;
use zincpier::workflow::ShareWeight;

const KEY: &str = "pqk8bdk9eevyxq2yyaza";
const REVOCATION_MS: u64 = 5_000;

const LIMITS: KeyLimits = KeyLimits {
    revocation_ms: Some(REVOCATION_MS),
    config_ms: 3_000,
};

fn north() -> OrganisationId {
    "north".parse().unwrap()
}

fn config() -> FleetConfig {
    let organisation = Organisation {
        id: north(),
        keys: vec![KEY.parse().unwrap()],
        priority: 0,
        weight: ShareWeight::default(),
        cap: ResourceCap::default(),
    };
    FleetConfig {
        organisations: Some(OrganisationDirectory::new(vec![organisation])),
        ..fixtures::config()
    }
}

fn check(
    config: &FleetConfig,
    key: Option<&str>,
    age_ms: Option<u64>,
    limits: &KeyLimits,
) -> Result<CallerScope, KeyRefusal> {
    check_key(config, &config.queues[0], key, age_ms, limits)
}

/// Guards against deployments without organisations that refuse callers when the table is out.
#[test]
fn no_key_is_needed_without_organisations() {
    for age_ms in [None, Some(0), Some(60_000)] {
        let scope = check(&fixtures::config(), None, age_ms, &LIMITS);

        assert_eq!(scope, Ok(CallerScope::Everything), "{age_ms:?}");
    }
}

/// Guards against public queues that depend on keys, and against their jobs getting an owner.
#[test]
fn public_queue_ignores_keys() {
    let mut config = config();
    config.queues[0].is_public = true;

    for key in [None, Some(KEY), Some("unknown")] {
        let scope = check(&config, key, None, &LIMITS);

        assert_eq!(scope, Ok(CallerScope::Public), "{key:?}");
    }
}

/// Guards against a caller who is told to give up because of an old configuration: its key may have
/// been added since.
#[test]
fn unknown_key_is_refused_only_from_a_recent_configuration() {
    for key in [None, Some("unknown"), Some("")] {
        let check = |age_ms| check(&config(), key, age_ms, &LIMITS);
        let unconfirmed = Err(KeyRefusal::Unconfirmed(None));

        assert_eq!(check(Some(1_450)), Err(KeyRefusal::Unauthorized), "{key:?}");
        assert_eq!(check(Some(1_451)), unconfirmed, "{key:?}");
        assert_eq!(check(None), unconfirmed, "{key:?}");
    }
}

/// Guards against a limit of configurations that is shorter than the usual one and has no effect.
#[test]
fn refusals_observe_a_short_limit_of_configurations() {
    let limits = KeyLimits {
        config_ms: 1_000,
        ..LIMITS
    };

    let refusals = [980, 981].map(|age_ms| check(&config(), None, Some(age_ms), &limits));

    assert_eq!(refusals[0], Err(KeyRefusal::Unauthorized));
    assert_eq!(refusals[1], Err(KeyRefusal::Unconfirmed(None)));
}

/// Guards against a revoked key that is accepted too long on a host whose clock runs 2% slower, and
/// against refusals while keys may still be accepted: 0.6 of the limit after a poll that took 1.9 s.
#[test]
fn valid_key_is_accepted_until_its_revocation_could_be_due() {
    let scope = Ok(CallerScope::Organisation(north()));
    let unconfirmed = Err(KeyRefusal::Unconfirmed(Some(north())));
    let check = |age_ms| check(&config(), Some(KEY), age_ms, &LIMITS);

    assert_eq!(check(Some(0)), scope);
    assert_eq!(check(Some(REVOCATION_MS * 6 / 10 + 1_899)), scope);
    for real_ms in REVOCATION_MS..REVOCATION_MS + 200 {
        let measured_ms = real_ms * 98 / 100;
        assert_eq!(check(Some(measured_ms)), unconfirmed, "{real_ms}");
    }
    assert_eq!(check(None), unconfirmed);
}

/// Guards against outages of the table that stop callers although no limit is asked for.
#[test]
fn valid_key_is_accepted_for_long_without_a_limit_for_revocations() {
    let limits = KeyLimits {
        revocation_ms: None,
        ..LIMITS
    };

    let scope = check(&config(), Some(KEY), Some(600_000), &limits);

    assert_eq!(scope, Ok(CallerScope::Organisation(north())));
    let unknown = check(&config(), Some("unknown"), Some(600_000), &limits);
    assert_eq!(unknown, Err(KeyRefusal::Unconfirmed(None)));
}

/// Guards against an organisation whose callers see, or cancel, the jobs of another.
#[test]
fn scope_excludes_jobs_of_other_organisations() {
    let (north, south) = (north(), "south".parse().unwrap());
    let owners = [None, Some(&north), Some(&south)];
    let visible = |scope: CallerScope| owners.map(|owner| scope.includes(owner));

    assert_eq!(visible(CallerScope::Everything), [true, true, true]);
    assert_eq!(visible(CallerScope::Public), [true, false, false]);
    let scope = CallerScope::Organisation(north.clone());
    assert_eq!(visible(scope), [true, true, false]);
}
