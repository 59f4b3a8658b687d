//! The bytes of an answer on their way, and what is read along in them.

use bytes::Bytes;
use sardinewood::agent::answer_buffer::AnswerBuffer;
use sardinewood::answer::event_scan::EventScan;
use sardinewood::answer::reader::checksum;
use sardinewood::link::wire::AnswerEnd;

const CHUNK: &[u8] = b"0123456789";

fn log_of(chunks: usize, window_bytes: u64, buffer_whole: bool) -> AnswerBuffer {
    let mut log = AnswerBuffer::new(window_bytes, buffer_whole);
    for _ in 0..chunks {
        log.append(Bytes::from_static(CHUNK));
    }
    log
}

/// Everything that the log sends from where it stands.
fn drain(log: &mut AnswerBuffer) -> Vec<u8> {
    let mut sent = Vec::new();
    while let Some((_, bytes)) = log.next_unsent() {
        sent.extend_from_slice(&bytes);
        log.mark_sent();
    }
    sent
}

#[test]
fn has_room_ends_at_the_window_unless_the_answer_must_be_whole() {
    let mut log = log_of(3, 30, false);
    assert!(!log.has_room());
    log.acknowledge(10);
    assert!(log.has_room());
    assert!(log_of(3, 30, true).has_room());
}

#[test]
fn rewind_resumes_from_any_kept_offset() {
    let whole = CHUNK.repeat(3);
    let mut log = log_of(3, 100, false);
    for from_bytes in [0, 7, 10, 29, 30] {
        log.rewind(from_bytes).unwrap();
        let from = usize::try_from(from_bytes).unwrap();
        assert_eq!(drain(&mut log), &whole[from..]);
    }
    assert!(log.rewind(31).is_err());
    let mut log = log_of(3, 100, false);
    log.acknowledge(25);
    assert_eq!(log.rewind(0).unwrap_err().buffered_from_bytes, 20);
    log.rewind(20).unwrap();
}

#[test]
fn rewind_whole_answer_is_kept_after_acknowledgement() {
    let mut log = log_of(3, 10, true);
    drain(&mut log);
    log.acknowledge(30);
    log.rewind(0).unwrap();
    assert_eq!(drain(&mut log), CHUNK.repeat(3));
}

#[test]
fn append_beyond_the_bound_keeps_only_what_is_not_acknowledged() {
    let mut log = AnswerBuffer::new(100, true);
    let chunk = Bytes::from(vec![0; 1024 * 1024]);
    for _ in 0..17 {
        log.append(chunk.clone());
        log.acknowledge(log.len_bytes());
    }
    assert!(log.rewind(0).is_err());
    assert_eq!(log.len_bytes(), 17 * 1024 * 1024);
}

#[test]
fn complete_tells_length_and_checksum_of_all_bytes() {
    let end = AnswerEnd::Complete {
        length_bytes: 30,
        checksum: checksum(&CHUNK.repeat(3)),
    };
    assert_eq!(log_of(3, 100, false).complete(), end);
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
fn next_unsent_piled_up_chunks_leave_together() {
    // The caller sees its tokens late and in bursts. The thread of the pump was busy, so many
    // tokens came from the engine before it could send one. Sent one by one they would keep
    // it behind; together they cost one frame.
    let mut log = AnswerBuffer::new(1 << 20, false);
    for token in 0..1_000_u32 {
        log.append(Bytes::from(format!("data: {token:026}\n\n")));
    }
    let mut frames = 0;
    let mut next_offset = 0;
    while let Some((offset, bytes)) = log.next_unsent() {
        assert_eq!(offset, next_offset);
        assert!(bytes.len() <= 16 << 10);
        next_offset += bytes.len() as u64;
        log.mark_sent();
        frames += 1;
    }
    assert_eq!(next_offset, 34_000);
    assert_eq!(frames, 3);
}
