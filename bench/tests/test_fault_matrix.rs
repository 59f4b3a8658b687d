//! The table of faults names tests that exist, and leaves no cell empty.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The cells of the table, row by row, without its head.
fn cells(page: &str) -> Vec<Vec<String>> {
    page.lines()
        .filter(|line| line.starts_with('|'))
        .skip(2)
        .map(|line| {
            line.trim_matches('|')
                .split('|')
                .map(|cell| cell.trim().to_owned())
                .collect()
        })
        .collect()
}

/// The names in backticks.
fn names(cell: &str) -> Vec<&str> {
    cell.split('`').skip(1).step_by(2).collect()
}

/// The text of every test source of the workspace.
fn test_sources() -> String {
    let mut text = String::new();
    for directory in ["lib/tests", "bench/tests", "local/tests", "entry/tests"] {
        let Ok(entries) = fs::read_dir(root().join(directory)) else {
            continue;
        };
        for entry in entries.flatten() {
            let path = entry.path();
            if path.extension().is_some_and(|extension| extension == "rs") {
                text += &fs::read_to_string(path).expect("a readable source");
            }
        }
    }
    text
}

/// Whether a test of this name is defined, by itself or in the table of scenarios.
fn exists(sources: &str, name: &str) -> bool {
    let function = format!("fn {name}(");
    let scenario = format!("    {name}: \"");
    sources.contains(&function) || sources.contains(&scenario)
}

#[test]
fn fault_matrix_every_cell_is_filled_by_tests_that_exist() {
    let page = fs::read_to_string(root().join("docs/FAULTS.md")).expect("the page");
    let sources = test_sources();
    let rows = cells(&page);
    assert!(rows.len() >= 20, "the table was not found");
    let mut findings = Vec::new();
    for row in &rows {
        if row.len() != 6 || row.iter().any(String::is_empty) {
            findings.push(format!("a cell is missing or empty: {row:?}"));
        }
        for cell in row.iter().skip(1) {
            for name in names(cell) {
                if !exists(&sources, name) {
                    findings.push(format!("{}: no test is named {name}", row[0]));
                }
            }
        }
    }
    assert!(findings.is_empty(), "{findings:#?}");
}

#[test]
fn exists_unknown_name_is_noticed() {
    let sources = "fn tick_lapses() {}\n    scenario_one: \"one\",\n";
    assert!(exists(sources, "tick_lapses"));
    assert!(exists(sources, "scenario_one"));
    assert!(!exists(sources, "tick"));
    assert!(!exists(sources, "scenario_two"));
}
