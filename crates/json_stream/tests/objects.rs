//! Streams of objects, cut anywhere and spoilt anyhow.

use json_stream::{DEEPEST, Item, Objects, Unreadable, nests_too_deep};

/// All items of what comes in these pieces, or why it cannot be read.
fn read(pieces: &[&[u8]]) -> Result<Vec<Item>, Unreadable> {
    let (mut objects, mut items) = (Objects::new(4096), Vec::new());
    for piece in pieces {
        objects.input().extend_from_slice(piece);
        while let Some(item) = objects.next_item()? {
            items.push(item);
        }
    }
    Ok(items)
}

fn object(text: &str) -> Item {
    Item::Object(text.as_bytes().to_vec())
}

const INDENTED: &str = "{\n  \"rev\": 43,\n  \"targets\": [\n    {\"uid\": \"s-}\\\"{\\\\\"}\n  ]\n}";

#[test]
fn objects_on_one_line_and_over_several_are_found_with_the_lines_between() {
    let stream = format!("{{\"rev\":41}}\n\r\n{INDENTED}\r\n{{\"rev\":44}}{{\"rev\":45}}\n");
    let found = read(&[stream.as_bytes()]).expect("it is sound");
    let end = || Item::LineEnd;
    let expected = [
        object("{\"rev\":41}"),
        end(),
        end(),
        object(INDENTED),
        end(),
        object("{\"rev\":44}"),
        object("{\"rev\":45}"),
        end(),
    ];
    assert_eq!(found, expected);
    fuzz_inputs::parses_alike_however_split(stream.as_bytes(), read);
    fuzz_inputs::survives_garbage(stream.as_bytes(), |pieces| drop(read(pieces)));
}

#[test]
fn an_object_that_has_begun_is_told_until_it_ends() {
    let mut objects = Objects::new(64);
    objects.input().extend_from_slice(b"\n{\"rev\":1,\n\n");
    assert_eq!(objects.next_item(), Ok(Some(Item::LineEnd)));
    assert_eq!(objects.next_item(), Ok(None), "blank lines inside an object are no sign of life");
    assert!(objects.is_begun());
    objects.input().push(b'}');
    assert_eq!(objects.next_item(), Ok(Some(object("{\"rev\":1,\n\n}"))));
    assert!(!objects.is_begun());
}

#[test]
fn other_text_and_what_is_too_long_or_too_deep_is_told() {
    for text in ["nonsense\n", "[1]\n", "  7", "{}x"] {
        assert_eq!(read(&[text.as_bytes()]), Err(Unreadable("text that is no object")), "{text}");
    }
    let long = format!("{{\"a\":\"{}", "x".repeat(5000));
    assert_eq!(read(&[long.as_bytes()]), Err(Unreadable("an object that is too long")));
    let nested = |depth: usize| format!("{{\"a\":{}{}}}", "[".repeat(depth - 1), "]".repeat(depth - 1));
    assert!(read(&[nested(DEEPEST).as_bytes()]).is_ok() && !nests_too_deep(nested(DEEPEST).as_bytes()));
    let deep = nested(DEEPEST + 1);
    assert_eq!(read(&[deep.as_bytes()]), Err(Unreadable("an object that nests too deep")));
    assert!(nests_too_deep(deep.as_bytes()));
    assert!(
        !nests_too_deep(format!("\"{}", "[".repeat(999)).as_bytes()),
        "brackets in a string nest nothing"
    );
}
