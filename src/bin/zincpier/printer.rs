//! Output of tables, JSON and progress lines.

use std::io::IsTerminal;
use std::io::Write;

use serde::Serialize;
use serde_json::json;

/// Prints rows: aligned under headings on a terminal, tab-separated without headings otherwise.
pub(crate) fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let mut output = std::io::stdout().lock();
    let lines = match output.is_terminal() {
        true => align_columns(headings, rows),
        false => rows.iter().map(|row| row.join("\t")).collect(),
    };
    for line in lines {
        if writeln!(output, "{line}").is_err() {
            return;
        }
    }
}

/// Prints items as a JSON array, or as a table with one row per item.
pub(crate) fn print_list<T: Serialize>(
    items: &[T],
    as_json: bool,
    headings: &[&str],
    row: impl Fn(&T) -> Vec<String>,
) {
    if as_json {
        println!("{}", json!(items));
        return;
    }
    let rows = items.iter().map(row).collect::<Vec<_>>();
    print_table(headings, &rows);
}

/// Prints a progress line on stderr if it is a terminal, overwriting the previous one.
pub(crate) fn print_progress(line: &str) {
    let mut output = std::io::stderr().lock();
    if output.is_terminal() {
        // A failure to print progress must not fail the command.
        let _ = write!(output, "\r{line}\x1b[K");
        let _ = output.flush();
    }
}

/// Ends the progress line, so that later output starts on a new one.
pub(crate) fn finish_progress() {
    let mut output = std::io::stderr().lock();
    if output.is_terminal() {
        let _ = writeln!(output);
    }
}

fn align_columns(headings: &[&str], rows: &[Vec<String>]) -> Vec<String> {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(headings[column].chars().count())
    };
    let widths = (0..headings.len()).map(width).collect::<Vec<_>>();
    let line = |cells: Vec<&str>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect::<Vec<_>>();
        padded.join("  ").trim_end().to_owned()
    };
    let body = rows
        .iter()
        .map(|row| line(row.iter().map(String::as_str).collect()));
    std::iter::once(line(headings.to_vec()))
        .chain(body)
        .collect()
}
