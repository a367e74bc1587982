//! Tests that the committed OpenAPI description of the admin API is current.

use cyclamenwharf::admin::admin_description;
use serde_json::Value;

#[test]
fn committed_description_is_current() {
    let committed = include_str!("../../../../docs/openapi/admin.json");
    let committed: Value = serde_json::from_str(committed).expect("the file is JSON");

    let current = admin_description();

    assert!(
        committed == current,
        "regenerate it: cyclamenwharfctl openapi > docs/openapi/admin.json"
    );
}
