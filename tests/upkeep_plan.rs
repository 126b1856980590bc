//! Guards against waves that take too many hosts down, drain busy pools too early, or miss their
//! deadline.

use std::ops::Range;

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
        pool: "pool".to_owned(),
        pool_busy: false,
        can_spare_long_running: false,
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

/// The load of a wave: `idle_hosts` hosts with short tasks, and `pinned_hosts` with one long-running
/// task each, all of one step of which `MAX_UNAVAILABLE` tasks may be unavailable at once.
#[derive(Clone)]
struct WaveLoad {
    idle_hosts: usize,
    pinned_hosts: usize,
    /// The pool of the long-running tasks is short of capacity all the while.
    pinned_pool_busy: bool,
    max_down: usize,
    deadline_ms: u64,
    /// The times, in ms, at which nothing can be decided.
    pause_ms: Range<u64>,
}

struct WaveReplay {
    load: WaveLoad,
    hosts: Vec<WaveHost>,
    /// For each host, the time at which it is empty after it was cordoned, in ms.
    empty_ms: Vec<Option<u64>>,
    /// For each host, the start of its upkeep, in ms.
    started_ms: Vec<Option<u64>>,
    /// Most hosts that were down at once.
    most_down: usize,
}

const MAX_UNAVAILABLE: usize = 3;
const PASS_MS: u64 = 200;

/// The remaining time of short tasks on a cordoned host, and the time that a stop takes.
const SHORT_TASKS_MS: u64 = 1_400;
const STOP_MS: u64 = 900;

/// The time from the start of an upkeep until the host is listed and its task works again.
const AWAY_MS: u64 = 3_200;

impl WaveReplay {
    fn new(load: WaveLoad) -> Self {
        let hosts = (0..load.idle_hosts + load.pinned_hosts).map(|number| {
            let is_pinned = number >= load.idle_hosts;
            WaveHost {
                // Long-running tasks leave little room, so their hosts are the ones with the most work.
                used_millis: if is_pinned { 9_000 } else { 3_000 },
                pool: if is_pinned { "pinned" } else { "idle" }.to_owned(),
                pool_busy: is_pinned && load.pinned_pool_busy,
                ..host(&format!("h-{number:03}"))
            }
        });
        let hosts: Vec<_> = hosts.collect();
        Self {
            load,
            empty_ms: vec![None; hosts.len()],
            started_ms: vec![None; hosts.len()],
            hosts,
            most_down: 0,
        }
    }

    fn is_pinned(&self, position: usize) -> bool {
        position >= self.load.idle_hosts
    }

    fn is_away(&self, position: usize, now_ms: u64) -> bool {
        match (self.started_ms[position], self.empty_ms[position]) {
            (Some(started_ms), _) => now_ms < started_ms + AWAY_MS,
            (None, stopped) => stopped.is_some(),
        }
    }

    /// Plays the wave; returns how many hosts' upkeep began after the deadline or not at all.
    fn late_hosts(&mut self) -> usize {
        let deadline_ms = self.load.deadline_ms;
        for now_ms in (0..deadline_ms).step_by(PASS_MS as usize) {
            if !self.load.pause_ms.contains(&now_ms) {
                self.decide(now_ms);
            }
        }
        let started = self.started_ms.iter();
        started.filter(|started| started.is_none()).count()
    }

    fn decide(&mut self, now_ms: u64) {
        let pinned = self.load.idle_hosts..self.hosts.len();
        let mut away = pinned.filter(|&one| self.is_away(one, now_ms)).count();
        for position in 0..self.hosts.len() {
            let is_pinned = self.is_pinned(position);
            let started_ms = self.started_ms[position];
            let host = &mut self.hosts[position];
            host.empty = self.empty_ms[position].is_some_and(|empty_ms| empty_ms <= now_ms);
            host.down = started_ms.is_some_and(|started_ms| now_ms < started_ms + AWAY_MS);
            host.up = !host.down;
            host.can_spare_long_running =
                is_pinned && away < MAX_UNAVAILABLE && self.empty_ms[position].is_none();
        }
        let remaining_ms = self.load.deadline_ms - now_ms;
        let choice = choose_upkeep(&self.hosts, self.load.max_down, remaining_ms, true);
        for position in 0..self.hosts.len() {
            let is_pinned = self.is_pinned(position);
            let host = &mut self.hosts[position];
            if choice.start.contains(&host.host) {
                host.started = true;
                host.down = true;
                self.started_ms[position] = Some(now_ms);
            }
            if choice.cordon.contains(&host.host) {
                host.cordoned = true;
                if self.empty_ms[position].is_some() || (is_pinned && away >= MAX_UNAVAILABLE) {
                    continue;
                }
                away += usize::from(is_pinned);
                let drain_ms = if is_pinned { STOP_MS } else { SHORT_TASKS_MS };
                self.empty_ms[position] = Some(now_ms + drain_ms);
            }
        }
        let down = self.hosts.iter().filter(|host| host.down).count();
        self.most_down = self.most_down.max(down);
    }
}

/// Guards against a wave that leaves the hosts with long-running tasks to its end, when too few of
/// them may be unavailable at once to finish in time.
#[test]
fn hosts_with_long_running_tasks_do_not_make_the_wave_late() {
    let mut replay = WaveReplay::new(WaveLoad {
        idle_hosts: 60,
        pinned_hosts: 15,
        pinned_pool_busy: false,
        max_down: 62,
        deadline_ms: 27_000,
        pause_ms: 0..0,
    });

    let late = replay.late_hosts();

    assert_eq!(late, 0);
}

/// A wave over half of the hosts is urgent from its start. Guards against hosts with long-running
/// tasks that are left behind because their pool is short of capacity all the while, and because
/// nothing can be decided for some seconds.
#[test]
fn busy_pool_and_a_pause_do_not_make_an_urgent_wave_late() {
    let mut replay = WaveReplay::new(WaveLoad {
        idle_hosts: 160,
        pinned_hosts: 12,
        pinned_pool_busy: true,
        max_down: 72,
        deadline_ms: 24_000,
        pause_ms: 15_000..21_000,
    });

    let late = replay.late_hosts();

    assert_eq!(late, 0);
    assert!(replay.most_down <= 72, "{}", replay.most_down);
}
