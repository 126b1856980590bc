//! Formatting of name lists.

/// Joins names with commas.
pub(super) fn name_list<N: ToString>(names: impl IntoIterator<Item = N>) -> String {
    let names = names.into_iter().map(|name| name.to_string());
    names.collect::<Vec<_>>().join(", ")
}
