//! Guards the parsing of heads and bodies. A wrong body length could pass a truncated response to a
//! caller, or let one request be run as two.

use balsam_http1::{
    BodyDecoder, BodyStep, Framing, encode_request, encode_response, parse_request, parse_response,
};
use bytes::BytesMut;
use proptest::prelude::*;
use rstest::rstest;

const MAX_BYTES: usize = 16 << 10;

/// Requests with an ambiguous body length are rejected, because they allow request smuggling.
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

/// A response without a length is complete only when its connection is closed.
#[test]
fn until_close() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let mut head = parse_response(&mut buffer, false)
        .expect("a valid head")
        .expect("a complete head");
    assert!(head.body.ends_at_close());
    assert!(!head.keep_alive);
    let step = head.body.step(&mut buffer).expect("a body step");
    assert!(matches!(step, BodyStep::Chunk(bytes) if bytes.as_ref() == b"abc"));
    assert_eq!(
        head.body.step(&mut buffer).expect("a body step"),
        BodyStep::NeedMore
    );
}

/// Bytes that cannot begin a response are rejected at once, without waiting for the end of a head.
#[test]
fn garbage_refused() {
    let mut buffer = BytesMut::from("garbage");
    parse_response(&mut buffer, false).unwrap_err();
}

/// A status that HTTP does not have must not be taken for an interim answer, whose successor is
/// awaited, or for an answer.
#[rstest]
#[case::zero("000")]
#[case::below_interim("099")]
#[case::above_errors("600")]
#[case::largest("999")]
fn status_out_of_range(#[case] status: &str) {
    let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
    let mut buffer = BytesMut::from(text.as_str());
    parse_response(&mut buffer, false).unwrap_err();
}

/// Hop-by-hop fields are not forwarded, including those that the `Connection` field lists.
#[test]
fn hop_by_hop() {
    let text = "GET / HTTP/1.1\r\nConnection: x-own, keep-alive\r\nX-Own: 1\r\nKeep-Alive: 5\r\n\
                TE: trailers\r\nX-Kept: 2\r\n\r\n";
    let mut buffer = BytesMut::from(text);
    let head = parse_request(&mut buffer, MAX_BYTES)
        .expect("a valid head")
        .expect("a complete head");
    let forwarded: Vec<_> = head
        .fields
        .end_to_end()
        .map(|field| field.name.clone())
        .collect();
    assert_eq!(forwarded, ["X-Kept"]);
}

/// No part of a message can inject a line break into its head.
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

/// Neither the trailers nor the bytes of the next message become part of a chunked body.
#[test]
fn chunked_end() {
    let mut buffer = BytesMut::from("3\r\nabc\r\n0\r\nT: x\r\n\r\nNEXT");
    let mut body = BodyDecoder::chunked();
    assert!(matches!(body.step(&mut buffer), Ok(BodyStep::Chunk(_))));
    assert_eq!(body.step(&mut buffer), Ok(BodyStep::End));
    assert_eq!(buffer.as_ref(), b"NEXT");
}

/// Responses of the daemon itself carry a `Content-Length`, so that callers can tell they are
/// complete.
#[test]
fn own_response() {
    let added = [("Retry-After", "0.100")];
    let bytes = encode_response(503, std::iter::empty(), &added, Framing::Length(0));
    let bytes = bytes.expect("an encoded response");
    assert_eq!(
        bytes.as_ref(),
        b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.100\r\nContent-Length: 0\r\n\r\n"
    );
}

proptest! {
    /// Arbitrary input does not make the parsers panic.
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
