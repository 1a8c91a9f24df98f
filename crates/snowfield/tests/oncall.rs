//! Each line that the program may log is on the on-call page.

use std::path::{Path, PathBuf};

/// The longest part of a format string that is the same in every line.
fn constant(format: &str) -> &str {
    let parts = format.split('{').map(|part| part.split_once('}').map_or(part, |(_, rest)| rest));
    parts.max_by_key(|part| part.len()).unwrap_or_default().trim()
}

/// All sources in a folder, and in those below it.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let here = folder.read_dir().expect("a crate's sources").flatten().map(|file| file.path());
    here.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

#[test]
fn each_log_line_is_explained() {
    let crates = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let page = std::fs::read_to_string(crates.join("../docs/ONCALL.md")).expect("the page");
    // What a line was before it was reworded explains no line of today.
    let page = page.split("## Old wording").next().expect("the page");
    let mut lines = 0;
    for folder in crates.read_dir().expect("the crates").flatten() {
        // Programs and stand-ins of their own, which write no log of the gatekeeper's.
        let name = folder.file_name();
        let apart = ["system_tests", "fault_injection", "cluster_simulation", "stand_in_"];
        if apart.iter().any(|a| name.to_str().is_some_and(|n| n.starts_with(a))) {
            continue;
        }
        for file in sources(&folder.path().join("src")) {
            // The console writes no log, and tests of the log write events of their own.
            if file.file_name().is_some_and(|name| name == "console.rs" || name == "tests.rs") {
                continue;
            }
            let source = std::fs::read_to_string(&file).expect("a source");
            let calls = source.split("tracing::").skip(1);
            for call in calls.filter(|c| c.starts_with("info!(") || c.starts_with("warn!(")) {
                // Fields come first; the words are the first text in quotes.
                let text = constant(call.split('"').nth(1).unwrap_or_default());
                let begin = text.split([';', '(']).find(|part| part.len() > 3).unwrap_or(text).trim();
                assert!(page.contains(begin), "{}: {begin:?}", file.display());
                lines += 1;
            }
        }
    }
    assert!(lines > 10, "only {lines} lines were found");
}
