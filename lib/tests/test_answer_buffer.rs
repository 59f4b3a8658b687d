//! Tests of the answer buffer and of the scan of event streams.

use bytes::Bytes;
use sardinewood::agent::answer_buffer::AnswerBuffer;
use sardinewood::answer::event_scan::EventScan;
use sardinewood::answer::reader::checksum;
use sardinewood::link::wire::AnswerEnd;

const CHUNK: &[u8] = b"0123456789";

fn buffer_of(chunks: usize, window_bytes: u64, buffer_whole: bool) -> AnswerBuffer {
    let mut buffer = AnswerBuffer::new(window_bytes, buffer_whole);
    for _ in 0..chunks {
        buffer.append(Bytes::from_static(CHUNK));
    }
    buffer
}

/// Sends everything that is unsent and returns the bytes.
fn drain(buffer: &mut AnswerBuffer) -> Vec<u8> {
    let mut sent = Vec::new();
    while let Some((_, bytes)) = buffer.next_unsent() {
        sent.extend_from_slice(&bytes);
        buffer.mark_sent();
    }
    sent
}

#[test]
fn has_room_ends_at_the_window_unless_the_answer_must_be_whole() {
    let mut buffer = buffer_of(3, 30, false);
    assert!(!buffer.has_room());
    buffer.acknowledge(10);
    assert!(buffer.has_room());
    assert!(buffer_of(3, 30, true).has_room());
}

#[test]
fn rewind_resumes_from_any_kept_offset() {
    let whole = CHUNK.repeat(3);
    let mut buffer = buffer_of(3, 100, false);
    for from_bytes in [0, 7, 10, 29, 30] {
        buffer.rewind(from_bytes).unwrap();
        let from = usize::try_from(from_bytes).unwrap();
        assert_eq!(drain(&mut buffer), &whole[from..]);
    }
    assert!(buffer.rewind(31).is_err());
    let mut buffer = buffer_of(3, 100, false);
    buffer.acknowledge(25);
    assert_eq!(buffer.rewind(0).unwrap_err().buffered_from_bytes, 20);
    buffer.rewind(20).unwrap();
}

#[test]
fn rewind_whole_answer_is_kept_after_acknowledgement() {
    let mut buffer = buffer_of(3, 10, true);
    drain(&mut buffer);
    buffer.acknowledge(30);
    buffer.rewind(0).unwrap();
    assert_eq!(drain(&mut buffer), CHUNK.repeat(3));
}

#[test]
fn append_beyond_the_limit_keeps_only_unacknowledged_bytes() {
    let mut buffer = AnswerBuffer::new(100, true);
    let chunk = Bytes::from(vec![0; 1024 * 1024]);
    for _ in 0..17 {
        buffer.append(chunk.clone());
        buffer.acknowledge(buffer.len_bytes());
    }
    assert!(buffer.rewind(0).is_err());
    assert_eq!(buffer.len_bytes(), 17 * 1024 * 1024);
}

#[test]
fn complete_has_length_and_checksum_of_all_bytes() {
    let end = AnswerEnd::Complete {
        length_bytes: 30,
        checksum: checksum(&CHUNK.repeat(3)),
    };
    assert_eq!(buffer_of(3, 100, false).complete(), end);
}

#[test]
fn scan_counts_the_same_however_the_stream_is_cut() {
    let stream = b"id: 0\ndata: {\"a\":1}\n\n: comment\n\nid: 1\r\ndata: x\r\n\r\nid: 2\n\
        data: y\ndata: z\n\ndata: [DONE]\n\n";
    for size in 1..stream.len() {
        let mut scan = EventScan::default();
        let events: u32 = stream.chunks(size).map(|part| scan.scan(part).events).sum();
        assert_eq!(events, 3, "cut every {size} bytes");
        assert_eq!(scan.last_id(), Some(2));
        assert!(scan.is_done());
    }
}

#[test]
fn scan_does_not_take_part_of_an_event_for_whole() {
    let mut scan = EventScan::default();
    let scanned = scan.scan(b"id: 7\ndata: [DONE]\n");
    assert_eq!((scanned.events, scanned.whole_bytes), (0, 0));
    assert_eq!(scan.last_id(), None);
    scan.drop_partial();
    scan.scan(b"data: {}\n\n");
    assert_eq!(scan.last_id(), None, "the cut event's id is forgotten");
}

#[test]
fn next_unsent_joins_accumulated_chunks() {
    // Failure: the caller gets its tokens late and in bursts. The thread of the call task was
    // busy while many tokens arrived from the engine. Sending them one by one would keep the
    // task behind; joined they cost few frames.
    let mut buffer = AnswerBuffer::new(1 << 20, false);
    for token in 0..1_000_u32 {
        buffer.append(Bytes::from(format!("data: {token:026}\n\n")));
    }
    let mut frames = 0;
    let mut next_offset = 0;
    while let Some((offset, bytes)) = buffer.next_unsent() {
        assert_eq!(offset, next_offset);
        assert!(bytes.len() <= 16 << 10);
        next_offset += bytes.len() as u64;
        buffer.mark_sent();
        frames += 1;
    }
    assert_eq!(next_offset, 34_000);
    assert_eq!(frames, 3);
}
