//! Each log event of the program is documented on the on-call page.

use std::path::{Path, PathBuf};

/// The longest constant part of a format string.
fn constant_part(format: &str) -> &str {
    let parts = format.split('{').map(|part| part.split_once('}').map_or(part, |(_, rest)| rest));
    parts.max_by_key(|part| part.len()).unwrap_or_default().trim()
}

/// All source files in a directory and its subdirectories.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let entries =
        directory.read_dir().expect("the source directory is readable").flatten().map(|file| file.path());
    entries.flat_map(|path| if path.is_dir() { source_files(&path) } else { vec![path] }).collect()
}

#[test]
fn each_log_event_is_documented_on_the_on_call_page() {
    let crates = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let page =
        std::fs::read_to_string(crates.join("../docs/ONCALL.md")).expect("the on-call page is readable");
    // The table with the old wording documents no current event.
    let page = page.split("## Old wording").next().expect("the on-call page has text before the table");
    let mut events = 0;
    for directory in crates.read_dir().expect("the directory of the crates is readable").flatten() {
        // Test programs and stand-ins are no part of the gatekeeper.
        let name = directory.file_name();
        let excluded_prefixes = ["system_tests", "fault_injection", "cluster_simulation", "stand_in_"];
        if excluded_prefixes.iter().any(|prefix| name.to_str().is_some_and(|name| name.starts_with(prefix))) {
            continue;
        }
        for file in source_files(&directory.path().join("src")) {
            // The console writes no log, and tests of the log write events of their own.
            if file.file_name().is_some_and(|name| name == "console.rs" || name == "tests.rs") {
                continue;
            }
            let source = std::fs::read_to_string(&file).expect("the source file is readable");
            let calls = source.split("tracing::").skip(1);
            for call in calls.filter(|call| call.starts_with("info!(") || call.starts_with("warn!(")) {
                // Fields come first; the message is the first quoted text.
                let message = constant_part(call.split('"').nth(1).unwrap_or_default());
                let first_part =
                    message.split([';', '(']).find(|part| part.len() > 3).unwrap_or(message).trim();
                assert!(page.contains(first_part), "{}: the page lacks {first_part:?}", file.display());
                events += 1;
            }
        }
    }
    assert!(events > 10, "only {events} log events were found");
}
