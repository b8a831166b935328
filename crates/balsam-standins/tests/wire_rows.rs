//! JSON forms of the rows and messages that daemons exchange with platform and upstreams.

use balsam_decide::grants::{Grant, GrantUnits, GrantedUnits, UnitsDigest};
use balsam_decide::orders::{ClaimRow, OrderKey, OrderState, RecordedOutcome};
use balsam_types::{
    AttemptId, Epoch, HeaderField, Incarnation, NotRunReason, ResponseHead, TimeMs, UnitId,
    UnknownReason,
};
use balsam_wire::platform::{
    BytesBody, OrderRow, log_row_key, order_row_key, parse_log_row_key, parse_order_row_key,
};
use balsam_wire::upstream::{GrantRequest, NotRunCause};
use proptest::prelude::*;
use rstest::rstest;
use std::sync::Arc;

fn answered(body: Option<Vec<u8>>) -> OrderState {
    let head = ResponseHead {
        status: 201,
        headers: vec![HeaderField {
            name: Arc::from("x-raw"),
            value: vec![b'a', 0xff],
        }],
        body_length_bytes: Some(3),
    };
    OrderState::Done(RecordedOutcome::Answered { head, body })
}

/// Guards against a recorded outcome that a later arrival gets in another form.
#[rstest]
#[case::claimed(OrderState::Claimed)]
#[case::text(answered(Some(b"abc".to_vec())))]
#[case::binary(answered(Some(vec![0, 0xfe, 0x80])))]
#[case::too_large(answered(None))]
#[case::unknown(OrderState::Done(RecordedOutcome::Unknown(UnknownReason::UpstreamLost)))]
fn order_row_round_trips(#[case] state: OrderState) {
    let row = ClaimRow {
        attempt: AttemptId(u64::MAX),
        by: Incarnation(7),
        state,
    };
    let json = serde_json::to_value(OrderRow::from(row.clone())).unwrap();
    let read: OrderRow = serde_json::from_value(json).unwrap();
    assert_eq!(ClaimRow::try_from(read).unwrap(), row);
}

/// Guards against two orders that share a row, and against rows that are read as another order.
#[test]
fn order_keys_differ() {
    let key = |service: &str, member: &str, id: &str| OrderKey {
        service: service.parse().unwrap(),
        member: member.parse().unwrap(),
        id: id.parse().unwrap(),
    };
    let keys = [
        key("s", "m", "1"),
        key("s", "m:1", "1"),
        key("s:m", "1", "1"),
    ];
    let rows = keys.clone().map(|key| order_row_key(&key));
    assert_eq!(
        rows.clone().map(|row| parse_order_row_key(&row)),
        keys.map(Some)
    );
    assert_ne!(rows[0], rows[1]);
    assert_ne!(rows[1], rows[2]);
    assert_eq!(parse_order_row_key("order/s/m"), None);
    assert_eq!(parse_order_row_key("order/s/m/1/2"), None);
}

/// Guards against log rows that a read by prefix returns in another order than their epochs.
#[test]
fn log_keys_sort_by_epoch() {
    let epochs = [1, 9, 10, 255, u64::MAX].map(Epoch);
    let keys = epochs.map(log_row_key);
    assert!(keys.is_sorted());
    assert_eq!(keys.map(|key| parse_log_row_key(&key)), epochs.map(Some));
}

/// Guards against a grant that an upstream reads with other units or another expiry.
#[rstest]
#[case::unchanged(GrantUnits::Unchanged(UnitsDigest(u64::MAX)))]
#[case::full(GrantUnits::Full(Arc::new(GrantedUnits {
    owned: [UnitId(1), UnitId(u64::MAX)].into(),
    finishing: [UnitId(2)].into(),
})))]
fn grant_round_trips(#[case] units: GrantUnits) {
    let grant = Grant {
        service: "lookup".parse().unwrap(),
        incarnation: Some(Incarnation(u64::MAX)),
        epoch: Epoch(5),
        fence_epoch: Epoch(4),
        units,
        expires_at_ms: TimeMs(123),
    };
    let json = serde_json::to_string(&GrantRequest::from(grant.clone())).unwrap();
    let read: GrantRequest = serde_json::from_str(&json).unwrap();
    assert_eq!(Grant::from(read), grant);
}

/// Guards against a cause of an upstream that callers are told under another name.
#[test]
fn causes_keep_names() {
    for cause in NotRunCause::ALL {
        assert_eq!(NotRunCause::from_text(cause.as_str()), Some(cause));
        assert_eq!(NotRunReason::from(cause).as_str(), cause.as_str());
    }
}

/// Guards against malformed hexadecimal digits that are read as some other bytes.
#[rstest]
#[case::odd("abc")]
#[case::letter("0g")]
#[case::sign("+1")]
#[case::wide("é")]
fn bad_digits_are_refused(#[case] digits: &str) {
    Vec::try_from(BytesBody::Hex(digits.to_owned())).unwrap_err();
}

proptest! {
    /// Guards against bytes that change on their way through JSON.
    #[test]
    fn bytes_round_trip(bytes: Vec<u8>) {
        let json = serde_json::to_string(&BytesBody::from(bytes.clone())).unwrap();
        let read: BytesBody = serde_json::from_str(&json).unwrap();
        prop_assert_eq!(Vec::try_from(read).unwrap(), bytes);
    }
}
