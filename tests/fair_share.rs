//! Division of a pool's capacity among organisations.

use zincpier::workflow::share_capacity;
use zincpier::workflow::ShareDemand;
use zincpier::workflow::ShareWeight;

fn demand(weight: f64, amount: u64) -> ShareDemand {
    ShareDemand {
        weight: ShareWeight::new(weight),
        amount,
    }
}

/// Guards against an organisation that takes capacity from others by asking for more.
#[test]
fn large_demand_takes_only_what_others_leave() {
    let demands = [demand(1.0, 10), demand(1.0, 3_000), demand(2.0, 40)];

    let shares = share_capacity(100, &demands);

    assert_eq!(shares, [10, 50, 40]);
}

/// Guards against shares that ignore weights when all ask for too much.
#[test]
fn shares_follow_weights_when_all_ask_for_more() {
    let demands = [demand(1.0, 900), demand(3.0, 900), demand(6.0, 900)];

    assert_eq!(share_capacity(1_000, &demands), [100, 300, 600]);
}

/// Guards against capacity that stays idle, or is given twice.
#[test]
fn capacity_is_used_up_to_the_demand() {
    let few = [demand(5.0, 30), demand(0.1, 20)];
    let many: Vec<_> = (1..=20_u32)
        .map(|n| demand(f64::from(n), 500 + u64::from(n)))
        .collect();

    let total: u64 = share_capacity(10_000, &many).iter().sum();

    assert_eq!(share_capacity(100, &few), [30, 20]);
    assert!((9_980..=10_000).contains(&total), "{total}");
    assert_eq!(share_capacity(0, &few), [0, 0]);
    assert!(share_capacity(100, &[]).is_empty());
}
