//! Guards the reading of heads and bodies, on which whole answers and single runs depend.

use balsam_http1::{
    BodyDecoder, BodyStep, Framing, encode_request, encode_response, parse_request, parse_response,
};
use bytes::BytesMut;
use proptest::prelude::*;
use rstest::rstest;

const MAX_BYTES: usize = 16 << 10;

/// Guards that requests whose end could be read in two ways are refused; they could hide another.
#[rstest]
#[case::both("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4\r\n")]
#[case::signed("Content-Length: +3\r\n")]
#[case::encoding("Transfer-Encoding: gzip, chunked\r\n")]
#[case::two_encodings("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")]
#[case::space("Content-Length : 3\r\n")]
#[case::folded("X: a\r\n b\r\n")]
fn ambiguous_end(#[case] fields: &str) {
    let mut buffer = BytesMut::from(format!("POST / HTTP/1.1\r\n{fields}\r\nabc").as_str());
    assert!(parse_request(&mut buffer, MAX_BYTES).is_err(), "{fields:?}");
}

/// Guards that an answer without a length is complete only at the end of its connection.
#[test]
fn until_close() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let mut head = parse_response(&mut buffer, false)
        .expect("a head")
        .expect("a whole head");
    assert!(head.body.ends_at_close());
    assert!(!head.keep_alive);
    let step = head.body.step(&mut buffer).expect("a part");
    assert!(matches!(step, BodyStep::Chunk(bytes) if bytes.as_ref() == b"abc"));
    assert_eq!(
        head.body.step(&mut buffer).expect("a step"),
        BodyStep::NeedMore
    );
}

/// Guards that bytes that are no answer are refused before their end is awaited.
#[test]
fn garbage_refused() {
    let mut buffer = BytesMut::from("garbage");
    parse_response(&mut buffer, false).unwrap_err();
}

/// Guards that fields of one connection are not passed on, also those that `Connection` names.
#[test]
fn hop_by_hop() {
    let text = "GET / HTTP/1.1\r\nConnection: x-own, keep-alive\r\nX-Own: 1\r\nKeep-Alive: 5\r\n\
                TE: trailers\r\nX-Kept: 2\r\n\r\n";
    let mut buffer = BytesMut::from(text);
    let head = parse_request(&mut buffer, MAX_BYTES)
        .expect("a head")
        .expect("a whole head");
    let kept: Vec<_> = head
        .fields
        .end_to_end()
        .map(|field| field.name.clone())
        .collect();
    assert_eq!(kept, ["X-Kept"]);
}

/// Guards that no part of a message can add another line to it.
#[rstest]
#[case::target("/a b", "x")]
#[case::value("/", "x\r\nEvil: 1")]
fn injected_line(#[case] target: &str, #[case] value: &str) {
    let added = [("X-Field", value)];
    let encoded = encode_request(
        b"GET",
        target.as_bytes(),
        std::iter::empty(),
        &added,
        Framing::None,
    );
    encoded.unwrap_err();
}

/// Guards the end of a chunked body: neither trailers nor a next message belong to it.
#[test]
fn chunked_end() {
    let mut buffer = BytesMut::from("3\r\nabc\r\n0\r\nT: x\r\n\r\nNEXT");
    let mut body = BodyDecoder::chunked();
    assert!(matches!(body.step(&mut buffer), Ok(BodyStep::Chunk(_))));
    assert_eq!(body.step(&mut buffer), Ok(BodyStep::End));
    assert_eq!(buffer.as_ref(), b"NEXT");
}

/// Guards that an answer of the daemon has a length, so that its end is known.
#[test]
fn own_answer() {
    let added = [("Retry-After", "0.100")];
    let bytes = encode_response(503, std::iter::empty(), &added, Framing::Length(0));
    let bytes = bytes.expect("an answer");
    assert_eq!(
        bytes.as_ref(),
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.100\r\nContent-Length: 0\r\n\r\n"
    );
}

proptest! {
    /// Guards that no bytes from outside make the parsers panic.
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut buffer = BytesMut::from(bytes.as_slice());
        drop(parse_request(&mut buffer, MAX_BYTES));
        let mut buffer = BytesMut::from(bytes.as_slice());
        drop(parse_response(&mut buffer, false));
        let mut buffer = BytesMut::from(bytes.as_slice());
        let mut body = BodyDecoder::chunked();
        while matches!(body.step(&mut buffer), Ok(BodyStep::Chunk(_))) {}
    }
}
