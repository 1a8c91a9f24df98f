//! Messages split at random, truncated messages and garbage.

#![allow(clippy::unwrap_used)]

use fuzz_inputs::{parses_alike_however_split, survives_garbage};
use snowfield_http::{
    self as http, BodyReader, ChunkedDecoder, FinalResponseHead, HttpError, ParsedResponse,
};

const REQUESTS: &[u8] = b"POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nX-One: two\r\n\r\nabc\
    POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nT: r\r\n\r\n\
    GET /d HTTP/1.1\r\nHost: h\r\n\r\n";
const RESPONSES: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi\
    HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
    HTTP/1.1 204 No Content\r\n\r\n";
const CHUNKS: &[u8] = b"5\r\nhello\r\nA;name=value\r\n0123456789\r\n0\r\nTrailer: x\r\nOther: y\r\n\r\nrest";

type Requests = (Vec<(Vec<u8>, Vec<u8>)>, Option<HttpError>);

/// All requests as target and body, and the error at the end if there is one.
fn requests(pieces: &[&[u8]]) -> Requests {
    let (mut buffer, mut all, mut reading) = (Vec::new(), Vec::new(), None);
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            if reading.is_none() {
                match http::parse_request_head(&buffer) {
                    Ok(Some(head)) => {
                        let target = buffer[head.target.clone()].to_vec();
                        buffer.drain(..head.length);
                        match BodyReader::new(head.framing, 1000) {
                            Ok(body) => reading = Some((target, body)),
                            Err(error) => return (all, Some(error)),
                        }
                    }
                    Ok(None) => break,
                    Err(error) => return (all, Some(error)),
                }
            }
            let Some((target, mut body)) = reading.take() else { break };
            match body.read_from(&mut buffer) {
                Ok(true) => all.push((target, body.bytes)),
                Ok(false) => {
                    reading = Some((target, body));
                    break;
                }
                Err(error) => return (all, Some(error)),
            }
        }
    }
    (all, None)
}

fn responses(pieces: &[&[u8]]) -> (Vec<(u16, Vec<u8>)>, Option<HttpError>) {
    let (mut buffer, mut all) = (Vec::new(), Vec::new());
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match http::parse_response(&buffer, false, false) {
                Ok(Some(parsed)) => {
                    all.push((parsed.response.status, parsed.response.body));
                    buffer.drain(..parsed.consumed);
                }
                Ok(None) => break,
                Err(error) => return (all, Some(error)),
            }
        }
    }
    (all, None)
}

fn chunks(pieces: &[&[u8]]) -> (Result<(), HttpError>, Vec<u8>, bool) {
    let (mut chunks, mut buffer, mut out) = (ChunkedDecoder::default(), Vec::new(), Vec::new());
    for piece in pieces {
        buffer.extend_from_slice(piece);
        match chunks.decode(&buffer, &mut out) {
            Ok(used) => drop(buffer.drain(..used)),
            Err(error) => return (Err(error), out, false),
        }
    }
    (Ok(()), out, chunks.is_done())
}

#[test]
fn messages_are_the_same_however_they_are_split() {
    let (complete, error) = requests(&[REQUESTS]);
    assert_eq!(error, None);
    let received: Vec<(&[u8], &[u8])> = complete.iter().map(|(t, b)| (&t[..], &b[..])).collect();
    assert_eq!(received, [(&b"/a?b"[..], &b"abc"[..]), (b"/c", b"def"), (b"/d", b"")]);
    parses_alike_however_split(REQUESTS, requests);
    assert_eq!(responses(&[RESPONSES]).0, [(200, b"hi".to_vec()), (404, b"abc".to_vec()), (204, vec![])]);
    parses_alike_however_split(RESPONSES, responses);
    assert_eq!(chunks(&[CHUNKS]), (Ok(()), b"hello0123456789".to_vec(), true));
    parses_alike_however_split(CHUNKS, chunks);
}

#[test]
fn rejects_garbage_without_a_panic() {
    survives_garbage(REQUESTS, |pieces| drop(requests(pieces)));
    survives_garbage(RESPONSES, |pieces| drop(responses(pieces)));
    survives_garbage(CHUNKS, |pieces| drop(chunks(pieces)));
}

#[test]
fn a_response_that_ends_with_its_connection_is_complete_only_then() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\nall of it";
    assert_eq!(http::parse_response(bytes, false, false), Ok(None));
    let ParsedResponse { response, consumed, keep_alive } =
        http::parse_response(bytes, false, true).unwrap().unwrap();
    assert_eq!((&response.body[..], consumed, keep_alive), (&b"all of it"[..], bytes.len(), false));
    for cut in [&b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"[..], b"HTTP/1.1 200", b""] {
        assert!(http::parse_response(cut, false, true).is_err(), "cut short: {cut:?}");
    }
}

/// Guards the clients of discovery and Consul: an interim answer in front once counted as the answer.
#[test]
fn skips_interim_responses() {
    let interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let bytes = [&interim[..], interim, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"].concat();
    let FinalResponseHead { head, start } = http::parse_final_response_head(&bytes, false).unwrap().unwrap();
    assert_eq!((head.status, start), (200, 2 * interim.len()));
    assert_eq!(http::parse_final_response_head(&bytes[..interim.len() + 5], false), Ok(None));
    assert!(http::parse_final_response_head(b"HTTP/1.1 101 Switching Protocols\r\n\r\n", false).is_err());
}
