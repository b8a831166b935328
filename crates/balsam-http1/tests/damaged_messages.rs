//! Guards the parsers against corrupted input from callers and upstreams: they must not panic, must
//! not produce more body bytes than were received, and must give the same result however the bytes
//! are split into reads.

use balsam_fuzz::{Damager, kept_inputs};
use balsam_http1::{BodyDecoder, BodyStep, Http1Error, parse_request, parse_response};
use bytes::BytesMut;

/// The number of copies of each stored input; all except the first are corrupted.
const COPIES: u64 = 3_000;

const HEAD_MAX_BYTES: usize = 16 << 10;

/// The messages parsed from the bytes of one connection.
#[derive(Debug, Default, PartialEq, Eq)]
struct ParsedMessages {
    /// The request target or response status of each message, with its body.
    messages: Vec<(String, Vec<u8>)>,
    is_malformed: bool,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Requests,
    Answers,
}

type Head = Option<(String, BodyDecoder)>;

fn next_head(kind: Kind, buffer: &mut BytesMut) -> Result<Head, Http1Error> {
    Ok(match kind {
        Kind::Requests => parse_request(buffer, HEAD_MAX_BYTES)?.map(|head| {
            (
                String::from_utf8_lossy(&head.target).into_owned(),
                head.body,
            )
        }),
        Kind::Answers => {
            parse_response(buffer, false)?.map(|head| (head.status.to_string(), head.body))
        }
    })
}

/// Parses messages from bytes that arrive in separate reads.
fn read(kind: Kind, segments: &[&[u8]]) -> ParsedMessages {
    let mut parsed = ParsedMessages::default();
    let mut buffer = BytesMut::new();
    let mut body: Option<BodyDecoder> = None;
    for segment in segments {
        buffer.extend_from_slice(segment);
        loop {
            let Some(decoder) = &mut body else {
                match next_head(kind, &mut buffer) {
                    Ok(Some((name, decoder))) => {
                        parsed.messages.push((name, Vec::new()));
                        body = Some(decoder);
                        continue;
                    }
                    Ok(None) => break,
                    Err(_) => {
                        parsed.is_malformed = true;
                        return parsed;
                    }
                }
            };
            match decoder.step(&mut buffer) {
                Ok(BodyStep::Chunk(bytes)) => {
                    let (_, read) = parsed.messages.last_mut().expect("a parsed message head");
                    read.extend_from_slice(&bytes);
                }
                Ok(BodyStep::End) => body = None,
                Ok(BodyStep::NeedMore) => break,
                Err(_) => {
                    parsed.is_malformed = true;
                    return parsed;
                }
            }
        }
    }
    parsed
}

/// Parses the stored inputs and corrupted copies of them, each whole and split in two.
#[test]
fn damaged_messages() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/inputs");
    let inputs = kept_inputs(directory).expect("stored inputs");
    assert!(!inputs.is_empty());
    for (number, input) in inputs.iter().enumerate() {
        let mut damager = Damager::new(number as u64);
        for copy in 0..COPIES {
            let bytes = if copy == 0 {
                input.bytes.clone()
            } else {
                damager.damage(&input.bytes)
            };
            let (first, second) = bytes.split_at(damager.cut(&bytes));
            for kind in [Kind::Requests, Kind::Answers] {
                let unsplit = read(kind, &[&bytes]);
                let bodies = unsplit.messages.iter().map(|(_, body)| body.len());
                assert!(bodies.sum::<usize>() <= bytes.len(), "{}", input.name);
                let cut = read(kind, &[first, second]);
                assert_eq!(
                    cut,
                    unsplit,
                    "{} {copy}: {bytes:?} cut at {}",
                    input.name,
                    first.len()
                );
            }
        }
    }
}
