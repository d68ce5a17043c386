//! Exit codes that no quick run from outside can reach: a wait ends after 30 s.

use super::error::CommandError;

#[test]
fn a_wait_that_ran_out_of_time_ends_with_5_and_says_for_whom() {
    let error = CommandError::Timeout("revision 4 is applied but not seen in force at e-2".into());
    assert_eq!(error.code(), 5);
    assert_eq!(error.to_string(), "revision 4 is applied but not seen in force at e-2");
}
