//! Each log event of the program is documented on the on-call page.

use std::path::{Path, PathBuf};

/// The longest constant part of a format string.
fn constant_part(format: &str) -> &str {
    let parts = format.split('{').map(|part| part.split_once('}').map_or(part, |(_, rest)| rest));
    parts.max_by_key(|part| part.len()).unwrap_or_default().trim()
}

/// All source files in a directory and its subdirectories.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let entries = directory.read_dir().expect("a crate's sources").flatten().map(|file| file.path());
    entries.flat_map(|path| if path.is_dir() { source_files(&path) } else { vec![path] }).collect()
}

#[test]
fn each_log_line_is_explained() {
    let crates = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let page = std::fs::read_to_string(crates.join("../docs/ONCALL.md")).expect("the page");
    // The table with the old wording documents no current event.
    let page = page.split("## Old wording").next().expect("the page");
    let mut lines = 0;
    for directory in crates.read_dir().expect("the crates").flatten() {
        // Test programs and stand-ins, which are no part of the gatekeeper.
        let name = directory.file_name();
        let apart = ["system_tests", "fault_injection", "cluster_simulation", "stand_in_"];
        if apart.iter().any(|a| name.to_str().is_some_and(|n| n.starts_with(a))) {
            continue;
        }
        for file in source_files(&directory.path().join("src")) {
            // The console writes no log, and tests of the log write events of their own.
            if file.file_name().is_some_and(|name| name == "console.rs" || name == "tests.rs") {
                continue;
            }
            let source = std::fs::read_to_string(&file).expect("a source");
            let calls = source.split("tracing::").skip(1);
            for call in calls.filter(|c| c.starts_with("info!(") || c.starts_with("warn!(")) {
                // Fields come first; the message is the first quoted text.
                let text = constant_part(call.split('"').nth(1).unwrap_or_default());
                let begin = text.split([';', '(']).find(|part| part.len() > 3).unwrap_or(text).trim();
                assert!(page.contains(begin), "{}: {begin:?}", file.display());
                lines += 1;
            }
        }
    }
    assert!(lines > 10, "only {lines} lines were found");
}
