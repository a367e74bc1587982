//! Messages between entries of different versions, in a rolling upgrade.

use std::time::Duration;

use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::ZoneId;
use cw_wire::CrashNotice;
use cw_wire::Fingerprint;
use cw_wire::PartHash;

/// A crash as entries told it before they knew of parts of prompts.
#[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct EarlierNotice {
    target: TargetId,
    zone: ZoneId,
    incarnation: Incarnation,
    age: Duration,
    suspects: Vec<Fingerprint>,
    #[serde(default)]
    send_ages: Vec<Duration>,
    #[serde(default)]
    is_isolated: bool,
}

/// Guards against a rolling upgrade in which entries do not understand each other's crashes.
#[test]
fn crashes_are_understood_by_entries_of_both_versions() {
    let (target, zone) = ("i-1".parse::<TargetId>(), "z".parse::<ZoneId>());
    let (target, zone) = (target.expect("a name"), zone.expect("a name"));
    let earlier = EarlierNotice {
        target: target.clone(),
        zone: zone.clone(),
        incarnation: Incarnation(7),
        age: Duration::from_millis(30),
        suspects: vec![Fingerprint(1)],
        send_ages: vec![Duration::from_millis(5)],
        is_isolated: true,
    };
    let present = CrashNotice {
        target,
        zone,
        incarnation: Incarnation(7),
        age: Duration::from_millis(30),
        suspects: vec![Fingerprint(1)],
        repeats: vec![Fingerprint(1)],
        parts: vec![PartHash(2)],
    };

    let to_present = cw_wire::encode(&earlier).expect("an encoded notice");
    let to_present: CrashNotice = cw_wire::decode(&to_present).expect("a notice");
    let to_earlier = cw_wire::encode(&present).expect("an encoded notice");
    let to_earlier: EarlierNotice = cw_wire::decode(&to_earlier).expect("an earlier notice");

    assert_eq!(to_present.suspects, earlier.suspects);
    assert!(to_present.repeats.is_empty());
    assert!(to_present.parts.is_empty());
    assert_eq!(to_earlier.suspects, earlier.suspects);
    assert!(to_earlier.send_ages.is_empty());
}
