//! Server-sent event streams, split at arbitrary bytes and joined over several
//! attempts.

use {
    cicadagate_policy::request::sse::{
        Event, EventParser, EventSequencer, MAX_EVENT_BYTES, SequenceCheck,
    },
    quickcheck::quickcheck,
};

fn stream(count: u64) -> Vec<u8> {
    (0..count)
        .flat_map(|id| format!("id: {id}\ndata: piece {id}\ndata: more\n\n").into_bytes())
        .collect()
}

fn split(bytes: &[u8], cuts: &[u8]) -> Vec<Event> {
    let mut parser = EventParser::default();
    let mut events = Vec::new();
    let mut rest = bytes;
    let mut cuts = cuts.iter().cycle();
    while !rest.is_empty() {
        let len = cuts.next().map_or(1, |cut| usize::from(*cut) + 1);
        let (chunk, tail) = rest.split_at(len.min(rest.len()));
        parser.feed(chunk).expect("events are short");
        events.extend(std::iter::from_fn(|| parser.next_event()));
        rest = tail;
    }
    assert!(!parser.has_partial_event());
    events
}

quickcheck! {
    fn events_do_not_depend_on_where_the_bytes_are_cut(count: u8, cuts: Vec<u8>) -> bool {
        let bytes = stream(u64::from(count % 20));
        let events = split(&bytes, &cuts);
        let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        raw == bytes && ids == (0..u64::from(count % 20)).map(Some).collect::<Vec<_>>()
    }

    // Each attempt stops anywhere, and the next one starts at or before the
    // next event.
    fn a_resumed_stream_has_each_event_once(breaks: Vec<(u8, u8)>) -> bool {
        let total = 40;
        let mut sequencer = EventSequencer::default();
        let mut seen = Vec::new();
        for (len, overlap) in breaks.into_iter().chain([(u8::MAX, 0)]) {
            let start = sequencer.last().map_or(0, |last| last + 1);
            let from = start.saturating_sub(u64::from(overlap % 4));
            for id in (from..total).take(usize::from(len)) {
                if sequencer.accept(Some(id)) == SequenceCheck::Pass {
                    seen.push(id);
                }
            }
        }
        seen == (0..total).collect::<Vec<_>>()
    }
}

#[test]
fn a_missing_event_is_a_gap_and_changes_nothing() {
    let mut sequencer = EventSequencer::resume_after(Some(4));
    assert_eq!(sequencer.accept(Some(6)), SequenceCheck::Gap);
    assert_eq!(sequencer.last(), Some(4));
    assert_eq!(sequencer.accept(Some(5)), SequenceCheck::Pass);
    assert_eq!(sequencer.accept(Some(5)), SequenceCheck::Drop);
    assert_eq!(sequencer.accept(None), SequenceCheck::Pass);
}

#[test]
fn the_data_of_an_event_is_its_data_lines() {
    let events = split(b"id: 3\r\ndata: a\r\ndata:b\r\n\r\n:comment\n\n", &[3]);
    assert_eq!(events[0].data().as_deref(), Some(&b"a\nb"[..]));
    assert_eq!(events[0].id, Some(3));
    assert_eq!((events[1].data(), events[1].id), (None, None));
}

#[test]
fn an_event_that_does_not_end_is_refused() {
    let mut parser = EventParser::default();
    let half = vec![b'x'; MAX_EVENT_BYTES / 2];
    assert!(parser.feed(&half).is_ok());
    assert!(parser.feed(&half).is_ok());
    assert!(parser.feed(b"x").is_err());
}

#[test]
fn a_stream_that_stops_inside_an_event_is_detected() {
    let mut parser = EventParser::default();
    parser.feed(b"id: 1\ndata: x\n\nid: 2\nda").expect("short");
    assert!(parser.next_event().is_some());
    assert!(parser.next_event().is_none());
    assert!(parser.has_partial_event());
}

// Guards against complete streams that count as cut short for blank lines after
// their last event, and against the opposite.
#[test]
fn a_stream_ends_within_an_event_if_a_line_of_it_is_left() {
    let cases = [
        ("", true),
        ("\n", true),
        ("data: 1\n\n", true),
        ("data: 1\n\n\n\n", true),
        ("data: 1\r\n\r\n\r\n", true),
        ("data: 1\n", false),
        ("data: 1\r\n", false),
        ("data: 1\n\ndata: 2", false),
        ("data: 1\n\n\nid", false),
        (":", false),
    ];
    for (stream, is_complete) in cases {
        let mut parser = EventParser::default();
        parser.feed(stream.as_bytes()).expect("short");
        let mut seen: Vec<u8> = Vec::new();
        while let Some(event) = parser.next_event() {
            seen.extend_from_slice(&event.raw);
        }
        assert_eq!(parser.has_partial_event(), !is_complete, "{stream:?}");
        let has_events = !seen.is_empty();
        let end = parser.end(true);
        assert_eq!(end.is_ok(), is_complete, "{stream:?}");
        assert_eq!(
            parser.end(false).is_ok(),
            is_complete && has_events,
            "{stream:?}"
        );
        seen.extend_from_slice(&end.unwrap_or_default());
        let is_whole = seen == stream.as_bytes();
        assert_eq!(is_whole, is_complete, "{stream:?}");
    }
}
