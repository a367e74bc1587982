//! Tests which statuses pass for those of answers.

use cw_store::check_final_status;
use http::StatusCode;
use rstest::rstest;

#[rstest]
#[case(100, false)]
#[case(101, false)]
#[case(199, false)]
#[case(200, true)]
#[case(304, true)]
#[case(599, true)]
#[case(600, false)]
#[case(999, false)]
fn only_statuses_that_end_a_request_are_those_of_answers(
    #[case] code: u16,
    #[case] is_final: bool,
) {
    let status = StatusCode::from_u16(code).unwrap();

    let checked = check_final_status(status);

    assert_eq!(checked.is_ok(), is_final);
}
