//! Decoders of peer messages: an invalid message must be rejected early and with a typed error.

use balsam_decide::node::{Heartbeat, UpstreamReport};
use balsam_types::control::DaemonInfo;
use balsam_types::{
    Epoch, Fingerprint, Incarnation, KeyHash, MemberName, NotRunReason, Outcome, RankName,
    RequestHead, RequestKey, Round, ServiceName, UnitId, UnknownReason, UpstreamName, ZoneName,
};
use balsam_wire::peer::{
    BODY_FRAME_MAX_BYTES, FrameDecoder, FrameKind, RelayAnswer, RelayRequest, WireError,
    WireHeartbeat, WireRelayAnswer, WireRelayRequest, decode, encode, frame_header, frame_message,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;

fn heartbeat(load: f64, heavy_units: usize) -> Heartbeat {
    Heartbeat {
        from: DaemonInfo {
            incarnation: Incarnation(7),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: ZoneName::new("z1").expect("a name"),
        },
        epoch: Epoch(3),
        round: Round(4),
        table_ok: true,
        leaving: true,
        reports: vec![UpstreamReport {
            upstream: UpstreamName::new("u1").expect("a name"),
            silent: false,
            answering: true,
            draining: false,
            load,
            heavy_units: (0..heavy_units)
                .map(|unit| (UnitId(unit as u64), 1.0))
                .collect(),
            heavy_keys: vec![(KeyHash(5), 2.0)],
        }],
    }
}

fn request(remaining_ms: u64) -> RelayRequest {
    RelayRequest {
        upstream: UpstreamName::new("u1").expect("a name"),
        epoch: Epoch(3),
        fingerprint: Fingerprint(8),
        head: RequestHead {
            service: ServiceName::new("files").expect("a name"),
            rank: RankName::new("lookup").expect("a name"),
            member: MemberName::new("m").expect("a name"),
            key: RequestKey::new("k"),
            order_id: None,
            method: Arc::from("GET"),
            target: Arc::from("/files/k"),
            headers: Vec::new(),
            remaining_ms,
            body_length_bytes: Some(0),
        },
    }
}

/// Values must be unchanged after encoding and decoding.
#[test]
fn unchanged_values() {
    let heartbeat = heartbeat(1.5, 64);
    let bytes = encode(&WireHeartbeat::from(&heartbeat)).unwrap();
    let decoded: WireHeartbeat = decode(bytes).unwrap();
    assert_eq!(Heartbeat::try_from(decoded).unwrap(), heartbeat);
    let request = request(1_000);
    let bytes = encode(&WireRelayRequest::from(&request)).unwrap();
    let decoded: WireRelayRequest = decode(bytes).unwrap();
    assert_eq!(RelayRequest::try_from(decoded).unwrap(), request);
}

/// Every reason must be unchanged after encoding and decoding, because the entry daemon decides by
/// it whether to retry.
#[test]
fn unchanged_reasons() {
    let not_run = NotRunReason::ALL.iter().copied().map(Outcome::NotRun);
    let unknown = UnknownReason::ALL.iter().copied().map(Outcome::Unknown);
    for outcome in not_run.chain(unknown) {
        let answer = RelayAnswer::Failed(outcome);
        let bytes = encode(&WireRelayAnswer::from(&answer)).unwrap();
        let decoded: WireRelayAnswer = decode(bytes).unwrap();
        assert_eq!(RelayAnswer::try_from(decoded).unwrap(), answer);
    }
}

/// A load that is not a finite number from 0 must be rejected.
#[rstest]
#[case::not_a_number(f64::NAN)]
#[case::negative(-1.0)]
#[case::infinite(f64::INFINITY)]
fn bad_load(#[case] load: f64) {
    let error = Heartbeat::try_from(WireHeartbeat::from(&heartbeat(load, 1))).unwrap_err();
    assert!(
        matches!(error, WireError::OutOfRange { field: "load", .. }),
        "{error}"
    );
}

/// A deadline above one hour must be rejected, because it would hold resources for that long.
#[test]
fn long_deadline() {
    let wire = WireRelayRequest::from(&request(3_600_001));
    let error = RelayRequest::try_from(wire).unwrap_err();
    assert!(
        matches!(
            error,
            WireError::OutOfRange {
                field: "remaining_ms",
                ..
            }
        ),
        "{error}"
    );
}

/// An oversized frame must be rejected by the length in its header, before its payload is buffered.
#[rstest]
#[case::message(0, 64 << 20)]
#[case::head(1, 128 << 10)]
#[case::body(2, BODY_FRAME_MAX_BYTES)]
#[case::end(3, 64)]
fn announced_length(#[case] kind: u8, #[case] max_bytes: usize) {
    for (length, accepted) in [(max_bytes, true), (max_bytes + 1, false)] {
        let mut decoder = FrameDecoder::new();
        decoder.push(&[kind]);
        decoder.push(&(length as u32).to_be_bytes());
        match decoder.next_frame() {
            Ok(None) => assert!(accepted),
            Err(WireError::TooLong { length_bytes, .. }) => {
                assert_eq!((length_bytes, accepted), (length, false));
            }
            other => panic!("{other:?}"),
        }
    }
}

/// A frame of an unknown kind, such as one of another protocol, must be rejected.
#[test]
fn unknown_kind() {
    let mut decoder = FrameDecoder::new();
    decoder.push(&[4, 0, 0, 0, 0]);
    let error = decoder.next_frame().unwrap_err();
    assert!(
        matches!(error, WireError::UnknownKind { kind: 4 }),
        "{error}"
    );
}

/// The decoder must handle frames that arrive byte by byte, and must reject a stream that ends
/// within a frame.
#[test]
fn partial_frames() {
    let frame = frame_message(FrameKind::Message, &17_u64).unwrap();
    let mut decoder = FrameDecoder::new();
    for byte in &frame[..frame.len() - 1] {
        decoder.push(&[*byte]);
        assert_eq!(decoder.next_frame().unwrap(), None);
    }
    let error = decoder.finish().unwrap_err();
    assert!(matches!(error, WireError::Incomplete), "{error}");
    decoder.push(&frame[frame.len() - 1..]);
    let complete_frame = decoder.next_frame().unwrap().expect("a frame");
    let number: u64 = decode(complete_frame.expect(FrameKind::Message).unwrap()).unwrap();
    assert_eq!(number, 17);
    decoder.finish().unwrap();
}

/// A frame of the wrong kind and bytes after an encoded value must be rejected.
#[test]
fn misplaced_bytes() {
    let mut decoder = FrameDecoder::new();
    decoder.push(&frame_header(FrameKind::Body, 0).unwrap());
    let frame = decoder.next_frame().unwrap().expect("a frame");
    let error = frame.expect(FrameKind::End).unwrap_err();
    assert!(
        matches!(error, WireError::UnexpectedKind { kind: 2 }),
        "{error}"
    );
    let mut bytes = encode(&17_u64).unwrap();
    bytes.push(0);
    let error = decode::<u64>(bytes).unwrap_err();
    assert!(
        matches!(error, WireError::Trailing { extra_bytes: 1 }),
        "{error}"
    );
}

/// A list whose length prefix exceeds the message must be rejected, so that it cannot exhaust
/// memory.
#[test]
fn announced_list() {
    let bytes = encode(&u64::MAX).unwrap();
    let error = decode::<Vec<u64>>(bytes).unwrap_err();
    assert!(matches!(error, WireError::Decode { .. }), "{error}");
}
