//! Guards against waves that take too many hosts down, drain busy pools too early, or miss their
//! deadline.

use zincpier::workflow::choose_upkeep;
use zincpier::workflow::WaveHost;

fn host(name: &str) -> WaveHost {
    WaveHost {
        host: name.parse().unwrap(),
        up: true,
        down: false,
        started: false,
        used_millis: 1_000,
        cordoned: false,
        empty: false,
        pool_busy: false,
    }
}

#[test]
fn wave_limit_on_hosts_down_is_kept() {
    let mut hosts: Vec<_> = (0..6).map(|number| host(&format!("h-{number}"))).collect();
    hosts.iter_mut().for_each(|host| host.empty = true);
    hosts[0].started = true;
    hosts[0].down = true;

    let choice = choose_upkeep(&hosts, 3, 5_000, false);

    assert_eq!(choice.start.len(), 2);
}

#[test]
fn busy_pool_keeps_its_hosts_while_time_remains() {
    let mut busy = host("h-busy");
    busy.pool_busy = true;
    let hosts = [busy, host("h-idle")];

    let early = choose_upkeep(&hosts, 2, 25_000, true);
    let late = choose_upkeep(&hosts[..1], 2, 10_000, true);

    assert_eq!(early.cordon, vec!["h-idle".parse().unwrap()]);
    assert_eq!(late.cordon, vec!["h-busy".parse().unwrap()]);
}

#[test]
fn tasks_are_stopped_before_the_wave_is_late() {
    let hosts = [host("h-last")];

    let early = choose_upkeep(&hosts, 2, 20_000, false);
    let late = choose_upkeep(&hosts, 2, 6_000, false);

    assert!(!early.force);
    assert!(late.force);
}

#[test]
fn short_capacity_limits_hosts_down_to_the_required_number() {
    let mut hosts: Vec<_> = (0..8).map(|number| host(&format!("h-{number}"))).collect();
    hosts.iter_mut().for_each(|host| host.empty = true);

    let short = choose_upkeep(&hosts, 8, 26_000, true);
    let ample = choose_upkeep(&hosts, 8, 26_000, false);

    assert_eq!(short.start.len(), 2);
    assert_eq!(ample.start.len(), 8);
}
