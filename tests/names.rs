//! Names of all lengths, which are kept in different ways.

use std::collections::BTreeSet;
use std::collections::HashSet;

use zincpier::id::WorkerId;

/// Returns names of 1 to 64 characters that differ in their last character, or only in their length.
fn names() -> Vec<String> {
    let of_length = |length: usize| {
        let stem = "n".repeat(length - 1);
        ["-", "0", "A", "_", "n", "z"].map(|last| format!("{stem}{last}"))
    };
    (1..=64).flat_map(of_length).collect()
}

fn ids(names: &[String]) -> Vec<WorkerId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against an order of names that depends on how they are kept: rows are read in the order of their keys.
#[test]
fn names_of_all_lengths_are_in_the_order_of_their_text() {
    let mut sorted = names();

    let ids: BTreeSet<_> = ids(&sorted).into_iter().collect();

    sorted.sort();
    sorted.dedup();
    let texts: Vec<_> = ids.iter().map(|id| id.as_str().to_owned()).collect();
    assert_eq!(texts, sorted);
}

/// Guards against names that are equal and have different hashes, or the reverse.
#[test]
fn equal_names_of_all_lengths_are_found_by_hash() {
    let names = names();
    let known: HashSet<_> = ids(&names).into_iter().collect();

    let found = ids(&names).iter().all(|id| known.contains(id));

    let distinct: BTreeSet<_> = names.iter().collect();
    assert!(found);
    assert_eq!(known.len(), distinct.len());
}

/// Guards against names that a message or a row changes.
#[test]
fn names_of_all_lengths_survive_serialization() {
    for name in names() {
        let id: WorkerId = name.parse().unwrap();

        let text = serde_json::to_string(&id).unwrap();
        let read: WorkerId = serde_json::from_str(&text).unwrap();

        assert_eq!(text, format!("\"{name}\""));
        assert_eq!(read, id);
        assert_eq!(format!("{read}"), name);
        assert_eq!(format!("{read:?}"), format!("WorkerId({name:?})"));
    }
}
