//! Frames on a link: bounds, malformed input and order.

use std::sync::Arc;

use bytes::Bytes;
use sardinewood::ids::AttemptId;
use sardinewood::ids::RequestId;
use sardinewood::link::frames::AgentEnd;
use sardinewood::link::frames::EntryEnd;
use sardinewood::link::frames::FrameEncoder;
use sardinewood::link::frames::FrameError;
use sardinewood::link::frames::FrameReader;
use sardinewood::link::frames::MAX_FRAME_BYTES;
use sardinewood::link::frames::write_frames;
use sardinewood::link::wire::AgentMessage;
use sardinewood::link::wire::AnswerEnd;
use sardinewood::link::wire::EntryMessage;
use sardinewood::link::wire::RefusalReason;
use tokio::sync::mpsc;

fn attempt() -> AttemptId {
    AttemptId {
        request: RequestId(5),
        number: 1,
    }
}

fn data(offset_bytes: u64, length: usize) -> AgentMessage {
    AgentMessage::Data {
        attempt: attempt(),
        offset_bytes,
        bytes: Bytes::from(vec![7; length]),
    }
}

#[test]
fn push_message_over_limit_is_refused_and_nothing_appended() {
    let mut encoder = FrameEncoder::<AgentEnd>::new();
    let error = encoder.push(&data(0, MAX_FRAME_BYTES)).unwrap_err();
    assert!(matches!(error, FrameError::TooLarge { .. }), "{error}");
    assert_eq!(encoder.len_bytes(), 0);
}

#[tokio::test]
async fn next_frame_over_limit_is_refused_before_its_body() {
    let announced = u32::try_from(MAX_FRAME_BYTES + 1).unwrap().to_be_bytes();
    let mut reader = FrameReader::<AgentEnd, _>::new(&announced[..]);
    assert!(matches!(reader.next().await, Err(FrameError::Io(_))));
}

#[tokio::test]
async fn next_malformed_body_is_refused() {
    let frame = [0, 0, 0, 2, 250, 250];
    let mut reader = FrameReader::<EntryEnd, _>::new(&frame[..]);
    assert!(matches!(reader.next().await, Err(FrameError::Malformed(_))));
}

#[tokio::test]
async fn next_trailing_bytes_are_refused() {
    let mut encoder = FrameEncoder::<EntryEnd>::new();
    let message = EntryMessage::Withdraw {
        request: RequestId(1),
    };
    encoder.push(&message).unwrap();
    let mut frame = encoder.take().to_vec();
    frame.push(0);
    frame[3] += 1;
    let mut reader = FrameReader::<AgentEnd, _>::new(&frame[..]);
    assert!(matches!(reader.next().await, Err(FrameError::Malformed(_))));
}

#[tokio::test]
async fn next_link_cut_inside_a_frame_is_an_error() {
    let mut encoder = FrameEncoder::<AgentEnd>::new();
    encoder.push(&data(0, 100)).unwrap();
    let frames = encoder.take();
    let mut reader = FrameReader::<EntryEnd, _>::new(&frames[..50]);
    assert!(matches!(reader.next().await, Err(FrameError::Io(_))));
}

#[tokio::test]
async fn write_frames_keeps_order_and_sends_control_first() {
    let (control, control_queue) = mpsc::channel(8);
    let (bulk, bulk_queue) = mpsc::channel(600);
    for offset in 0..500 {
        bulk.send(data(offset * 1000, 1000)).await.unwrap();
    }
    let end = AgentMessage::End {
        attempt: attempt(),
        end: AnswerEnd::Broken {
            reason: Arc::from("cut"),
        },
    };
    bulk.send(end.clone()).await.unwrap();
    let refuse = AgentMessage::Refuse {
        request: RequestId(9),
        reason: RefusalReason::Leaving,
        retry_after_ms: 0,
    };
    control.send(refuse.clone()).await.unwrap();
    drop((control, bulk));

    let mut written = Vec::new();
    write_frames::<AgentEnd, _>(&mut written, control_queue, bulk_queue)
        .await
        .unwrap();

    let mut reader = FrameReader::<EntryEnd, _>::new(&written[..]);
    assert_eq!(reader.next().await.unwrap(), Some(refuse));
    for offset in 0..500 {
        assert_eq!(
            reader.next().await.unwrap(),
            Some(data(offset * 1000, 1000))
        );
    }
    assert_eq!(reader.next().await.unwrap(), Some(end));
    assert_eq!(reader.next().await.unwrap(), None);
}

#[tokio::test]
async fn write_frames_goes_on_with_one_channel_closed() {
    for closed_first in [true, false] {
        let (first, first_queue) = mpsc::channel::<EntryMessage>(1);
        let (second, second_queue) = mpsc::channel(1);
        drop(first);
        let message = EntryMessage::Withdraw {
            request: RequestId(1),
        };
        let sent = message.clone();
        let sender = tokio::spawn(async move {
            tokio::task::yield_now().await;
            second.send(sent).await.unwrap();
        });
        let mut written = Vec::new();
        let (control, bulk) = if closed_first {
            (first_queue, second_queue)
        } else {
            (second_queue, first_queue)
        };
        write_frames::<EntryEnd, _>(&mut written, control, bulk)
            .await
            .unwrap();
        sender.await.unwrap();
        let mut reader = FrameReader::<AgentEnd, _>::new(&written[..]);
        assert_eq!(reader.next().await.unwrap(), Some(message));
    }
}
