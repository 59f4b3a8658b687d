//! Tests which replies of other entries reach the questions that wait for them.

use std::time::Duration;

use sardinewood::direct::pending_replies::PendingReplies;
use tokio::time::Instant;

/// Guards against a late reply to a question that counts in the next one.
#[tokio::test(start_paused = true)]
async fn late_reply_not_counted_in_the_next_question() {
    let pending = PendingReplies::default();
    let first = pending.open(1);
    let first_id = first.id;
    drop(first);
    let mut second = pending.open(2);
    pending.complete(first_id, "late");
    let until = Instant::now() + Duration::from_millis(40);
    assert_eq!(second.next_until(until).await, None);
    pending.complete(second.id, "in time");
    let until = Instant::now() + Duration::from_millis(40);
    assert_eq!(second.next_until(until).await, Some("in time"));
}
