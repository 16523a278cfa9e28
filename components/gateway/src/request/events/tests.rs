use bytes::Bytes;
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};

use super::EventBuffer;

/// What a buffer makes of a stream that arrives in these pieces: the bytes passed on, the id of the last complete event,
/// and whether the stream ends within an event.
fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<u8>, Option<u64>, bool) {
    let mut buffer = EventBuffer::default();
    let mut passed = Vec::new();
    for piece in pieces {
        if let Some(events) = buffer.push(&Bytes::copy_from_slice(piece)) {
            passed.extend_from_slice(&events);
        }
    }
    let within = buffer.is_within_event();
    (passed, buffer.last_id(), within)
}

#[test]
fn a_stream_that_ends_after_a_blank_line_is_complete() {
    for end in ["\n\n", "\r\n\r\n", "\r\r", "\n\r\n", "\r\n\n", "\n\r"] {
        let text = format!("id: 12{end}id: 123{end}");
        let (passed, id, within) = read([text.as_bytes()]);
        assert_eq!(passed, text.as_bytes(), "{end:?}");
        assert_eq!((id, within), (Some(123), false), "{end:?}");
    }
}

#[test]
fn a_stream_that_lacks_any_of_its_last_bytes_ends_within_an_event() {
    let (first, last) = ("id: 12\ndata: a\n\n", "id: 123\ndata: b\n\n");
    for missing in 1..last.len() {
        let text = format!("{first}{}", &last[..last.len() - missing]);
        let (passed, id, within) = read([text.as_bytes()]);
        assert_eq!(passed, first.as_bytes(), "{text:?}");
        assert_eq!((id, within), (Some(12), true), "{text:?}");
    }
}

#[test]
fn comments_and_blank_lines_are_no_events() {
    for text in [
        "",
        "\n",
        ": ping\n",
        ": ping\r\n\r\n",
        "id: 1\n\n: ping\n",
        "id: 1\r\n\r\n",
    ] {
        assert!(!read([text.as_bytes()]).2, "{text:?}");
    }
    for text in [": pi", "id: 1\n\n: ping", "id: 1\n: ping\n", "\n\nd"] {
        assert!(read([text.as_bytes()]).2, "{text:?}");
    }
}

#[test]
fn a_comment_between_events_is_passed_on_at_once() {
    let (passed, _, _) = read([b"id: 1\n\n: ping\n".as_slice()]);
    assert_eq!(passed, b"id: 1\n\n: ping\n");
}

#[test]
fn a_byte_order_mark_does_not_hide_the_first_id() {
    let text = "\u{feff}id: 7\ndata: a\n\n";
    assert_eq!(read([text.as_bytes()]), (text.into(), Some(7), false));
}

#[test]
fn a_response_that_continues_a_stream_starts_with_a_new_event() {
    let mut buffer = EventBuffer::default();
    assert_eq!(
        buffer.push(&Bytes::from_static(b"id: 3\n\nid: 4\ndata")),
        Some(Bytes::from_static(b"id: 3\n\n"))
    );
    buffer.discard_partial();
    assert_eq!(
        (buffer.last_id(), buffer.is_within_event()),
        (Some(3), false)
    );
    let rest = Bytes::from_static(b"id: 4\ndata: b\n\n");
    assert_eq!(buffer.push(&rest), Some(rest));
    assert_eq!(
        (buffer.last_id(), buffer.is_within_event()),
        (Some(4), false)
    );
}

#[test]
fn a_stream_can_be_resumed_only_after_an_event_with_an_id() {
    let cases = [
        ("", true),
        (": ping\n\n", true),
        ("retry: 100\n\n", true),
        ("data: a\n\n", false),
        ("data: a\n\nid: 2\ndata: b\n\n", true),
        ("id: 1\ndata: a\n\ndata: b\n\n", false),
        ("id: 1\ndata: a\n\ndata: b", true),
        ("id: x\ndata: a\n\n", false),
        ("data\n\n", false),
        ("dataset: a\n\n", true),
    ];
    for (text, can_resume) in cases {
        let mut buffer = EventBuffer::default();
        buffer.push(&Bytes::from_static(text.as_bytes()));
        assert_eq!(buffer.can_resume(), can_resume, "{text:?}");
    }
}

/// Texts made of the parts of event streams, in any order.
fn streams() -> impl Strategy<Value = String> {
    let parts = [
        "id: 4", "id:15", "data: x", "data", ":", ": c", "\n", "\r\n", "\r", "\n\n", "é",
    ];
    let parts = prop::collection::vec(prop::sample::select(parts.to_vec()), 0..40);
    parts.prop_map(|parts| parts.concat())
}

proptest! {
    #[test]
    fn the_pieces_in_which_a_stream_arrives_make_no_difference(
        text in streams(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let bytes = text.as_bytes();
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let pieces = cuts.windows(2).map(|cut| &bytes[cut[0]..cut[1]]);
        let (passed, id, within) = read(pieces);
        let (whole, whole_id, whole_within) = read([bytes]);
        prop_assert_eq!((id, within), (whole_id, whole_within));
        // the LF of a CR LF may arrive after the event has been passed on
        prop_assert!(whole == passed || whole == [&passed[..], b"\n"].concat());
        prop_assert!(bytes.starts_with(&passed));
    }
}
