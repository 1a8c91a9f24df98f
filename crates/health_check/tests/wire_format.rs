//! Reports as an earlier build spread them: this build reads them and writes the same bytes.

use health_check::Report;

/// A report a line: its fields, and its bytes in hexadecimal digits.
const REPORTS: &str = include_str!("fixtures/reports.txt");

fn reports() -> Vec<Report> {
    vec![
        Report { round: 0, down: false, against: 0, since: 0 },
        Report { round: 1_800_000_000_123, down: true, against: 1, since: 1_799_999_999_123 },
        Report { round: 1_800_000_002_123, down: false, against: 300, since: 5 },
        Report { round: u64::MAX, down: true, against: u32::MAX, since: u64::MAX },
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hex"))
        .collect()
}

fn line(report: &Report) -> String {
    format!("{} {} {} {} {}\n", report.round, report.down, report.against, report.since, hex(&report.put()))
}

#[test]
fn reports_are_written_as_by_the_earlier_build() {
    let written: String = reports().iter().map(line).collect();
    assert_eq!(written, REPORTS);
}

#[test]
fn reports_of_the_earlier_build_are_read_and_cut_ones_are_none() {
    for (report, line) in reports().iter().zip(REPORTS.lines()) {
        let bytes = unhex(line.rsplit(' ').next().expect("the bytes"));
        assert_eq!(Report::read(&bytes).as_ref(), Some(report));
        assert!((0..bytes.len()).all(|end| Report::read(&bytes[..end]).is_none()), "cut");
    }
}
