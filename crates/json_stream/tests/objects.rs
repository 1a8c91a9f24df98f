//! Splitting of object streams: items, limits and invalid text.

use json_stream::{MAX_DEPTH, ObjectStream, StreamError, StreamItem, exceeds_max_depth};

const MAX_OBJECT_BYTES: usize = 4096;

/// Reads all items of a stream that arrives in these pieces.
fn read_items(pieces: &[&[u8]]) -> Result<Vec<StreamItem>, StreamError> {
    let (mut stream, mut items) = (ObjectStream::new(MAX_OBJECT_BYTES), Vec::new());
    for piece in pieces {
        stream.input().extend_from_slice(piece);
        while let Some(item) = stream.next_item()? {
            items.push(item);
        }
    }
    Ok(items)
}

fn object(text: &str) -> StreamItem {
    StreamItem::Object(text.as_bytes().to_vec())
}

const INDENTED: &str = "{\n  \"rev\": 43,\n  \"targets\": [\n    {\"uid\": \"s-}\\\"{\\\\\"}\n  ]\n}";

#[test]
fn splits_objects_that_share_or_span_lines_and_reports_line_ends_between_them() {
    let stream = format!("{{\"rev\":41}}\n\r\n{INDENTED}\r\n{{\"rev\":44}}{{\"rev\":45}}\n");
    let items = read_items(&[stream.as_bytes()]).expect("a valid stream");
    let line_end = || StreamItem::LineEnd;
    let expected = [
        object("{\"rev\":41}"),
        line_end(),
        line_end(),
        object(INDENTED),
        line_end(),
        object("{\"rev\":44}"),
        object("{\"rev\":45}"),
        line_end(),
    ];
    assert_eq!(items, expected);
    fuzz_inputs::assert_same_result_for_any_split(stream.as_bytes(), read_items);
    fuzz_inputs::assert_no_panic_on_malformed_input(stream.as_bytes(), |pieces| drop(read_items(pieces)));
}

#[test]
fn is_inside_an_object_until_the_object_is_complete() {
    let mut stream = ObjectStream::new(64);
    stream.input().extend_from_slice(b"\n{\"rev\":1,\n\n");
    assert_eq!(stream.next_item(), Ok(Some(StreamItem::LineEnd)));
    assert_eq!(stream.next_item(), Ok(None), "empty lines inside an object are no heartbeats");
    assert!(stream.is_inside_object());
    stream.input().push(b'}');
    assert_eq!(stream.next_item(), Ok(Some(object("{\"rev\":1,\n\n}"))));
    assert!(!stream.is_inside_object());
}

#[test]
fn rejects_text_outside_objects_and_objects_that_are_too_long_or_too_deep() {
    for text in ["nonsense\n", "[1]\n", "  7", "{}x"] {
        assert_eq!(read_items(&[text.as_bytes()]), Err(StreamError::NotAnObject), "{text}");
    }
    let long = format!("{{\"a\":\"{}", "x".repeat(5000));
    assert_eq!(read_items(&[long.as_bytes()]), Err(StreamError::TooLong));
    let nested = |depth: usize| format!("{{\"a\":{}{}}}", "[".repeat(depth - 1), "]".repeat(depth - 1));
    assert!(
        read_items(&[nested(MAX_DEPTH).as_bytes()]).is_ok()
            && !exceeds_max_depth(nested(MAX_DEPTH).as_bytes())
    );
    let deep = nested(MAX_DEPTH + 1);
    assert_eq!(read_items(&[deep.as_bytes()]), Err(StreamError::TooDeep));
    assert!(exceeds_max_depth(deep.as_bytes()));
    assert!(
        !exceeds_max_depth(format!("\"{}", "[".repeat(999)).as_bytes()),
        "brackets in a string do not count"
    );
}

#[test]
fn an_error_text_states_the_violated_rule() {
    for (error, text) in [
        (StreamError::NotAnObject, "the stream has text outside a JSON object"),
        (StreamError::TooDeep, "a JSON object is nested too deeply"),
        (StreamError::TooLong, "a JSON object is too long"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}
