//! Tables for terminals and plain lines for pipes.

use std::io::IsTerminal;
use std::io::Write;

use serde::Serialize;
use serde_json::json;

/// Prints rows, aligned under their headings on a terminal, tab-separated in a pipe.
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

/// Prints items as JSON, or as a table with a row for each.
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

/// Prints a line of progress on a terminal, over the one before.
pub(crate) fn print_progress(line: &str) {
    let mut output = std::io::stderr().lock();
    if output.is_terminal() {
        // Progress that cannot be shown is no failure of the command.
        let _ = write!(output, "\r{line}\x1b[K");
        let _ = output.flush();
    }
}

/// Ends the line of progress.
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
