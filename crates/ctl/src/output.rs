//! Output of tables and JSON on standard output.

use std::io::Write;

/// Formats rows as a table with aligned columns; the first row is the header.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width =
        |column: usize| rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.len()).max();
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Converts cells to a row of a table.
pub fn row(cells: &[&dyn ToString]) -> Vec<String> {
    cells.iter().map(|cell| cell.to_string()).collect()
}

/// Prints text. Write errors, such as a closed pipe, are ignored.
pub fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes()).ok();
    out.flush().ok();
}

/// Prints a value as indented JSON.
pub fn print_json(value: &impl serde::Serialize) {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    print(&format!("{text}\n"));
}
