//! Guards against damaged bytes of callers and upstreams: no panic, no body longer than what came,
//! and the same result however the bytes are cut on their way.

use balsam_fuzz::{Damager, kept_inputs};
use balsam_http1::{BodyDecoder, BodyStep, Http1Error, parse_request, parse_response};
use bytes::BytesMut;

/// Damaged copies of each kept input.
const COPIES: u64 = 3_000;

const HEAD_MAX_BYTES: usize = 16 << 10;

/// What was read from the bytes of one connection.
#[derive(Debug, Default, PartialEq, Eq)]
struct Reading {
    /// Targets or statuses, and the bodies.
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

/// Reads messages from bytes that arrive in pieces.
fn read(kind: Kind, pieces: &[&[u8]]) -> Reading {
    let mut reading = Reading::default();
    let mut buffer = BytesMut::new();
    let mut body: Option<BodyDecoder> = None;
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            let Some(decoder) = &mut body else {
                match next_head(kind, &mut buffer) {
                    Ok(Some((name, decoder))) => {
                        reading.messages.push((name, Vec::new()));
                        body = Some(decoder);
                        continue;
                    }
                    Ok(None) => break,
                    Err(_) => {
                        reading.is_malformed = true;
                        return reading;
                    }
                }
            };
            match decoder.step(&mut buffer) {
                Ok(BodyStep::Chunk(bytes)) => {
                    let (_, read) = reading.messages.last_mut().expect("a message");
                    read.extend_from_slice(&bytes);
                }
                Ok(BodyStep::End) => body = None,
                Ok(BodyStep::NeedMore) => break,
                Err(_) => {
                    reading.is_malformed = true;
                    return reading;
                }
            }
        }
    }
    reading
}

/// Guards the kept inputs and damaged copies of them.
#[test]
fn damaged_messages() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/inputs");
    let inputs = kept_inputs(directory).expect("the kept inputs");
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
                let whole = read(kind, &[&bytes]);
                let bodies = whole.messages.iter().map(|(_, body)| body.len());
                assert!(bodies.sum::<usize>() <= bytes.len(), "{}", input.name);
                let cut = read(kind, &[first, second]);
                assert_eq!(
                    cut,
                    whole,
                    "{} {copy}: {bytes:?} cut at {}",
                    input.name,
                    first.len()
                );
            }
        }
    }
}
