//! The number of rows that are requested at once, over links of different rates.

use std::time::Duration;

use zincpier::workflow::PageSizer;

/// Bytes of a row in these tests.
const ROW_BYTES: u64 = 3_000;

/// 10 Mbit/s.
const SLOW_LINK: u64 = 1_250_000;

/// 200 Mbit/s.
const FAST_LINK: u64 = 25_000_000;

/// The time that `rows` rows take on a link that carries `bytes_per_second`.
fn transfer_time(rows: usize, bytes_per_second: u64) -> Duration {
    Duration::from_micros(rows as u64 * ROW_BYTES * 1_000_000 / bytes_per_second)
}

/// Requests rows until `total` have arrived. Returns the number of requests and the longest
/// transfer.
fn read_rows(sizer: &mut PageSizer, total: usize, bytes_per_second: u64) -> (usize, Duration) {
    let (mut read, mut requests, mut longest) = (0, 0, Duration::ZERO);
    while read < total {
        let rows = sizer.rows().min(total - read);
        let time = transfer_time(rows, bytes_per_second);
        sizer.record_rows(rows, time);
        read += rows;
        requests += 1;
        longest = longest.max(time);
    }
    (requests, longest)
}

/// Guards against answers that keep the link from renewals of the lease.
#[test]
fn transfers_over_a_slow_link_stay_near_the_target() {
    let (requests, longest) = read_rows(&mut PageSizer::new(), 3_000, SLOW_LINK);

    assert!(longest <= Duration::from_millis(110), "{longest:?}");
    assert!(requests <= 80, "{requests}");
}

/// Guards against many small requests, each of which a slow table answers late.
#[test]
fn fast_link_needs_few_requests() {
    let (requests, _) = read_rows(&mut PageSizer::new(), 3_000, FAST_LINK);

    assert!(requests <= 10, "{requests}");
}

/// Guards against a size learnt from small rows that never fits large ones.
#[test]
fn failures_shrink_requests_to_a_single_row() {
    let mut sizer = PageSizer::new();
    read_rows(&mut sizer, 10_000, FAST_LINK);

    (0..12).for_each(|_| sizer.record_failure());

    assert_eq!(sizer.rows(), 1);
}

/// Guards against staying with small requests after an outage.
#[test]
fn requests_grow_again_after_failures() {
    let mut sizer = PageSizer::new();
    (0..12).for_each(|_| sizer.record_failure());

    let (requests, _) = read_rows(&mut sizer, 3_000, FAST_LINK);

    assert!(requests <= 16, "{requests}");
}

/// Guards against learning from the last rows of a table, which are few and quick.
#[test]
fn few_rows_at_the_end_of_a_part_change_nothing() {
    let mut sizer = PageSizer::new();
    read_rows(&mut sizer, 3_000, FAST_LINK);
    let before = sizer.rows();

    sizer.record_rows(3, transfer_time(3, FAST_LINK));

    assert_eq!(sizer.rows(), before);
}
