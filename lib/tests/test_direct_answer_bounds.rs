//! Tests the accounting of the bounds of upstreams' answers.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use sardinewood::direct::request::answer_bounds::AnswerBounds;
use sardinewood::direct::request::answer_bounds::AnswerPart;
use sardinewood::direct::request::answer_bounds::MAX_FRAMING_BYTES;
use sardinewood::direct::request::answer_bounds::MAX_HEAD_BYTES;
use sardinewood::direct::request::answer_bounds::MAX_INTERIM_HEADS;
use sardinewood::direct::request::answer_bounds::MAX_PART_MS;
use sardinewood::direct::request::answer_bounds::UNTIMED_FRAMING_BYTES;
use sardinewood::direct::request::held_bytes::ALWAYS_HELD_BYTES;
use sardinewood::direct::request::held_bytes::AnswerBuffer;
use sardinewood::direct::request::held_bytes::HeldBytes;
use sardinewood::direct::request::held_bytes::HoldError;
use sardinewood::direct::request::held_bytes::MAX_HELD_BYTES;
use sardinewood::direct::request::held_bytes::MAX_SHORT_BYTES;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
const INTERIM: &[u8] = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const MAX_BODY_BYTES: u64 = 1 << 20;

fn started() -> AnswerBounds {
    let mut bounds = AnswerBounds::default();
    bounds.start(MAX_BODY_BYTES);
    bounds
}

/// Receives a piece again and again. Returns the bytes until a bound was exceeded, and which one.
fn receive_endless(bounds: &mut AnswerBounds, piece: &[u8], is_taken: bool) -> (usize, AnswerPart) {
    let mut received = 0;
    for _ in 0..10_000_000 {
        received += piece.len();
        if let Err(part) = bounds.receive(piece, 0) {
            return (received, part);
        }
        if is_taken {
            bounds.part_taken();
        }
    }
    panic!("no bound");
}

#[test]
fn receive_heads_bounded_in_bytes_and_number() {
    // Guards against interim heads without end, and against a head without end.
    let (bytes, part) = receive_endless(&mut started(), INTERIM, false);
    assert_eq!(part, AnswerPart::InterimHeads);
    assert_eq!(bytes, INTERIM.len() * (MAX_INTERIM_HEADS as usize + 1));
    let long_interim = [
        b"HTTP/1.1 103 X\r\nA: ",
        &vec![b'a'; 60_000][..],
        b"\r\n\r\n",
    ]
    .concat();
    let (bytes, part) = receive_endless(&mut started(), &long_interim, false);
    assert_eq!(part, AnswerPart::InterimHeads);
    assert!(bytes <= 3 * MAX_HEAD_BYTES, "{bytes}");
    let (bytes, part) = receive_endless(&mut started(), b"H", false);
    assert_eq!((bytes, part), (MAX_HEAD_BYTES + 1, AnswerPart::Head));
}

#[test]
fn receive_interim_heads_before_a_head_allowed() {
    // Guards against counting the lines of a body as heads, in whatever pieces they arrive.
    let body = b"data: a\n\ndata: b\n\n".repeat(100);
    let answer = [INTERIM, INTERIM, HEAD, &body].concat();
    for size in [1, 7, 64, answer.len()] {
        let mut bounds = started();
        for piece in answer.chunks(size) {
            assert_eq!(bounds.receive(piece, 0), Ok(()), "in pieces of {size}");
        }
    }
}

#[test]
fn receive_framing_bounded_between_two_parts() {
    // Guards against framing without end, which the reader of the body never sees.
    let mut bounds = started();
    assert_eq!(bounds.receive(HEAD, 0), Ok(()));
    let (bytes, part) = receive_endless(&mut bounds, &[b'0'; 1_000], false);
    assert_eq!(part, AnswerPart::Framing);
    assert!(bytes as u64 <= MAX_FRAMING_BYTES + 1_000);
    assert_eq!(
        bounds.receive(b"5", 0),
        Err(AnswerPart::Framing),
        "for good"
    );
}

#[test]
fn receive_body_bounded_although_it_is_taken() {
    // Guards against a body without end whose reader takes it as it arrives.
    let mut bounds = started();
    assert_eq!(bounds.receive(HEAD, 0), Ok(()));
    let (bytes, part) = receive_endless(&mut bounds, &[b'x'; 1_000], true);
    assert_eq!(part, AnswerPart::Body);
    assert!(bytes as u64 <= MAX_BODY_BYTES + MAX_FRAMING_BYTES + 1_000);
}

#[test]
fn receive_part_that_drips_overdue() {
    // Guards against a head or framing that arrives byte by byte until the deadline.
    let mut bounds = started();
    assert_eq!(bounds.receive(b"H", 5), Ok(()));
    assert_eq!(bounds.receive(b"T", 5 + MAX_PART_MS), Ok(()));
    assert_eq!(bounds.receive(b"T", 6 + MAX_PART_MS), Err(AnswerPart::Head));
    let mut bounds = started();
    assert_eq!(bounds.receive(HEAD, 0), Ok(()));
    // An upstream may take its time before the body, and between two of its parts.
    assert_eq!(bounds.receive(b"5\r\nhello", 20_000), Ok(()));
    bounds.part_taken();
    for _ in 0..=UNTIMED_FRAMING_BYTES {
        assert_eq!(bounds.receive(b"0", 40_000), Ok(()));
    }
    assert_eq!(bounds.receive(b"0", 40_000 + MAX_PART_MS), Ok(()));
    let late_ms = 40_001 + MAX_PART_MS;
    assert_eq!(bounds.receive(b"0", late_ms), Err(AnswerPart::Framing));
}

#[test]
fn receive_short_framing_before_a_gap_allowed() {
    // Guards against cutting a slow stream whose upstream sends the end or the size of a chunk on its own.
    let mut bounds = started();
    assert_eq!(bounds.receive(HEAD, 0), Ok(()));
    assert_eq!(bounds.receive(b"5\r\nhello", 1), Ok(()));
    bounds.part_taken();
    assert_eq!(bounds.receive(b"\r\n", 2), Ok(()));
    assert_eq!(bounds.receive(b"10000\r\n", 10_000), Ok(()));
    assert_eq!(bounds.receive(&vec![b'x'; 0x10000], 20_000), Ok(()));
    bounds.part_taken();
    assert_eq!(bounds.receive(b"\r\n0\r\n\r\n", 30_000), Ok(()));
}

#[test]
fn receive_next_answer_counted_anew() {
    // Guards against bounds over all answers of a connection.
    let mut bounds = AnswerBounds::default();
    for _ in 0..40 {
        bounds.start(MAX_BODY_BYTES);
        assert_eq!(bounds.receive(HEAD, 0), Ok(()));
        assert_eq!(bounds.receive(&vec![b'x'; 100_000], 0), Ok(()));
        bounds.part_taken();
        bounds.finish();
    }
}

proptest! {
    #[test]
    fn receive_any_bytes_bounded(pieces in vec(vec(any::<u8>(), 0..2_000), 1..200)) {
        // Guards against bytes in some order that no bound counts, and against a panic.
        let mut bounds = started();
        let mut received: u64 = 0;
        for piece in pieces.iter().cycle().take(4_000) {
            if bounds.receive(piece, 0).is_err() {
                return Ok(());
            }
            received += piece.len() as u64;
        }
        let most = 2 * MAX_HEAD_BYTES as u64 + MAX_BODY_BYTES + MAX_FRAMING_BYTES;
        assert!(received <= most, "{received} bytes");
    }
}

#[test]
fn push_held_by_all_answers_together_bounded() {
    // Guards against many long answers that each stay below the bound of one.
    let held = HeldBytes::default();
    let piece = vec![0; 1 << 20];
    let mut buffers = Vec::new();
    let refused = loop {
        let mut buffer = AnswerBuffer::new(&held, 4 << 20);
        let pushed = (0..4).try_for_each(|_| buffer.push(&piece));
        buffers.push(buffer);
        if let Err(error) = pushed {
            break error;
        }
    };
    assert_eq!(refused, HoldError::NoneLeft);
    assert!(held.total() <= MAX_HELD_BYTES);
    // A short answer does not fail because of the long ones.
    let mut short = AnswerBuffer::new(&held, 4 << 20);
    assert_eq!(short.push(&piece[..ALWAYS_HELD_BYTES]), Ok(()));
    drop((short, buffers));
    assert_eq!(held.total(), 0);
}

#[test]
fn push_held_by_short_answers_together_bounded() {
    // Guards against short answers that nobody takes, each of which may always be held.
    let held = HeldBytes::default();
    let piece = vec![0; ALWAYS_HELD_BYTES];
    let mut buffers = Vec::new();
    for _ in 0..1_000 {
        let mut buffer = AnswerBuffer::new(&held, 4 << 20);
        if buffer.push(&piece).is_ok() {
            buffers.push(buffer);
        }
    }
    assert_eq!(held.total(), MAX_HELD_BYTES + MAX_SHORT_BYTES);
}

#[test]
fn push_counted_until_the_answer_is_dropped() {
    // Guards against answers that wait for slow callers and are counted no more.
    let held = HeldBytes::default();
    let mut buffer = AnswerBuffer::new(&held, 100);
    assert_eq!(buffer.push(&[b'x'; 100]), Ok(()));
    let answer = buffer.into_bytes();
    let part = answer.slice(..10);
    drop(answer);
    assert_eq!(held.total(), 100);
    drop(part);
    assert_eq!(held.total(), 0);
}
