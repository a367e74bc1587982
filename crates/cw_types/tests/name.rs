//! Tests which texts are names, and which are the labels of other programs.

use cw_types::ServiceName;
use cw_types::SoftwareVersion;
use rstest::rstest;

/// A version of 130 bytes, as a build tool writes it that names its sources.
const LONG_VERSION: &str = "0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789";

/// Guards against a version that counts as unknown because of its characters or its length: a stream could then not go on at another
/// target of the same version.
#[rstest]
#[case("v1")]
#[case("1.4.2+cu121")]
#[case("2026/12 (nightly) \u{e9}")]
#[case("")]
#[case(" ")]
#[case("\"quoted\" \\ \n")]
#[case(LONG_VERSION)]
fn any_text_is_a_software_version(#[case] text: &str) {
    let version: SoftwareVersion = text.parse().unwrap();

    assert_eq!(version.as_str(), text);
}

#[test]
fn a_software_version_has_a_limited_length() {
    let longest = "x".repeat(4096);

    assert!(longest.parse::<SoftwareVersion>().is_ok());
    assert!(format!("{longest}x").parse::<SoftwareVersion>().is_err());
}

#[rstest]
#[case("llm-kemper.1_a:b@c", true)]
#[case("1.4.2+cu121", false)]
#[case("two words", false)]
#[case("", false)]
fn a_name_has_few_characters(#[case] text: &str, #[case] is_name: bool) {
    assert_eq!(text.parse::<ServiceName>().is_ok(), is_name);
}
