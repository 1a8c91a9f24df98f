//! Framing of messages that are split at random, truncated or malformed.

#![allow(clippy::unwrap_used)]

use fuzz_inputs::{assert_no_panic_on_malformed_input, assert_same_result_for_any_split};
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

/// The messages that were parsed before the input ended or an error occurred.
#[derive(Debug, PartialEq, Eq)]
struct Parsed<T> {
    messages: Vec<T>,
    error: Option<HttpError>,
}

#[derive(Debug, PartialEq, Eq)]
struct ParsedRequest {
    target: Vec<u8>,
    body: Vec<u8>,
}

/// Parses all requests of an input that arrives in pieces.
fn parse_requests(pieces: &[&[u8]]) -> Parsed<ParsedRequest> {
    let (mut buffer, mut messages, mut reading) = (Vec::new(), Vec::new(), None);
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
                            Err(error) => return Parsed { messages, error: Some(error) },
                        }
                    }
                    Ok(None) => break,
                    Err(error) => return Parsed { messages, error: Some(error) },
                }
            }
            let Some((target, mut body)) = reading.take() else { break };
            match body.read_from(&mut buffer) {
                Ok(true) => messages.push(ParsedRequest { target, body: body.bytes }),
                Ok(false) => {
                    reading = Some((target, body));
                    break;
                }
                Err(error) => return Parsed { messages, error: Some(error) },
            }
        }
    }
    Parsed { messages, error: None }
}

/// Parses all responses of an input that arrives in pieces. Returns their status codes and bodies.
fn parse_responses(pieces: &[&[u8]]) -> Parsed<(u16, Vec<u8>)> {
    let (mut buffer, mut messages) = (Vec::new(), Vec::new());
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match http::parse_response(&buffer, false, false) {
                Ok(Some(parsed)) => {
                    messages.push((parsed.response.status, parsed.response.body));
                    buffer.drain(..parsed.consumed);
                }
                Ok(None) => break,
                Err(error) => return Parsed { messages, error: Some(error) },
            }
        }
    }
    Parsed { messages, error: None }
}

/// The state of a decoder after an input.
#[derive(Debug, PartialEq, Eq)]
struct Decoded {
    data: Vec<u8>,
    is_done: bool,
    error: Option<HttpError>,
}

/// Decodes a chunked body that arrives in pieces.
fn decode_chunks(pieces: &[&[u8]]) -> Decoded {
    let (mut decoder, mut buffer, mut data) = (ChunkedDecoder::default(), Vec::new(), Vec::new());
    for piece in pieces {
        buffer.extend_from_slice(piece);
        match decoder.decode(&buffer, &mut data) {
            Ok(consumed) => drop(buffer.drain(..consumed)),
            Err(error) => return Decoded { data, is_done: false, error: Some(error) },
        }
    }
    Decoded { data, is_done: decoder.is_done(), error: None }
}

#[test]
fn parses_messages_alike_however_they_are_split() {
    let request = |target: &str, body: &str| ParsedRequest { target: target.into(), body: body.into() };
    let expected = vec![request("/a?b", "abc"), request("/c", "def"), request("/d", "")];
    assert_eq!(parse_requests(&[REQUESTS]), Parsed { messages: expected, error: None });
    assert_same_result_for_any_split(REQUESTS, parse_requests);
    assert_eq!(
        parse_responses(&[RESPONSES]).messages,
        [(200, b"hi".to_vec()), (404, b"abc".to_vec()), (204, vec![])]
    );
    assert_same_result_for_any_split(RESPONSES, parse_responses);
    let expected = Decoded { data: b"hello0123456789".to_vec(), is_done: true, error: None };
    assert_eq!(decode_chunks(&[CHUNKS]), expected);
    assert_same_result_for_any_split(CHUNKS, decode_chunks);
}

#[test]
fn survives_malformed_messages() {
    assert_no_panic_on_malformed_input(REQUESTS, |pieces| drop(parse_requests(pieces)));
    assert_no_panic_on_malformed_input(RESPONSES, |pieces| drop(parse_responses(pieces)));
    assert_no_panic_on_malformed_input(CHUNKS, |pieces| drop(decode_chunks(pieces)));
}

#[test]
fn a_response_without_a_length_is_complete_when_its_connection_ends() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\nall of it";
    assert_eq!(http::parse_response(bytes, false, false), Ok(None));
    let ParsedResponse { response, consumed, keep_alive } =
        http::parse_response(bytes, false, true).unwrap().unwrap();
    assert_eq!((&response.body[..], consumed, keep_alive), (&b"all of it"[..], bytes.len(), false));
    for truncated in [&b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"[..], b"HTTP/1.1 200", b""] {
        assert!(http::parse_response(truncated, false, true).is_err(), "{truncated:?}");
    }
}

/// Regression: the clients of the discovery agent and of Consul treated an interim response as the final one.
#[test]
fn skips_interim_responses() {
    let interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let bytes = [&interim[..], interim, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"].concat();
    let FinalResponseHead { head, start } = http::parse_final_response_head(&bytes, false).unwrap().unwrap();
    assert_eq!((head.status, start), (200, 2 * interim.len()));
    assert_eq!(http::parse_final_response_head(&bytes[..interim.len() + 5], false), Ok(None));
    assert!(http::parse_final_response_head(b"HTTP/1.1 101 Switching Protocols\r\n\r\n", false).is_err());
}
