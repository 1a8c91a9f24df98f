//! Tests of wire compatibility: this build decodes the reports of an earlier build and encodes them to the same bytes.

use health_check::HealthReport;
use timestamps::UnixTime;

/// One report per line: its fields, and the bytes that the earlier build encoded, in hexadecimal digits.
const REPORTS: &str = include_str!("fixtures/reports.txt");

fn reports() -> Vec<HealthReport> {
    vec![
        HealthReport {
            scheduled_at: UnixTime::ZERO,
            failing: false,
            contrary_results: 0,
            changed_at: UnixTime::ZERO,
        },
        HealthReport {
            scheduled_at: UnixTime::from_millis(1_800_000_000_123),
            failing: true,
            contrary_results: 1,
            changed_at: UnixTime::from_millis(1_799_999_999_123),
        },
        HealthReport {
            scheduled_at: UnixTime::from_millis(1_800_000_002_123),
            failing: false,
            contrary_results: 300,
            changed_at: UnixTime::from_millis(5),
        },
        HealthReport {
            scheduled_at: UnixTime::from_millis(u64::MAX),
            failing: true,
            contrary_results: u32::MAX,
            changed_at: UnixTime::from_millis(u64::MAX),
        },
    ]
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16).expect("hex"))
        .collect()
}

fn fixture_line(report: &HealthReport) -> String {
    format!(
        "{} {} {} {} {}\n",
        report.scheduled_at.as_millis(),
        report.failing,
        report.contrary_results,
        report.changed_at.as_millis(),
        encode_hex(&report.encode())
    )
}

#[test]
fn reports_encode_to_the_bytes_of_the_earlier_build() {
    let written: String = reports().iter().map(fixture_line).collect();
    assert_eq!(written, REPORTS);
}

#[test]
fn reports_of_the_earlier_build_are_decoded_and_truncated_ones_are_rejected() {
    for (report, line) in reports().iter().zip(REPORTS.lines()) {
        let bytes = decode_hex(line.rsplit(' ').next().expect("the bytes"));
        assert_eq!(HealthReport::decode(&bytes).as_ref(), Some(report));
        assert!((0..bytes.len()).all(|end| HealthReport::decode(&bytes[..end]).is_none()), "truncated");
    }
}
