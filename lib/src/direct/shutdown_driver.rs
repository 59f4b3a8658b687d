//! Drives [`shutdown`]: ends an entry so that all callers get answers.
//!
//! [`shutdown`]: crate::direct::shutdown

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::direct::replication::heartbeats::HeartbeatTask;
use crate::direct::shutdown::ShutdownSchedule;
use crate::direct::shutdown::ShutdownStep;
use crate::direct::shutdown::WaitAtShutdown;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;
use crate::logging::Line;

/// How often the shutdown checks whether all requests have ended.
const SHUTDOWN_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Retry delay for callers of a process that is about to stop. Other entries can serve them at
/// once.
const CLOSING_RETRY_AFTER_MS: u64 = 10;
/// Retry delay if all entries are about to stop. New ones take about this long to start.
const REPLACED_RETRY_AFTER_MS: u64 = 1_000;

/// Stops the entry: reports it as not ready, refuses requests after a delay, waits for open requests, and
/// answers those that are left shortly before the shutdown timeout.
pub async fn shut_down(traffic: &TrafficState, timeout: Duration) {
    let started_at = Instant::now();
    let schedule = ShutdownSchedule::new(timeout);
    traffic.begin_shutdown(started_at + schedule.answer_after());
    traffic.send_all_origin_records();
    log_shutdown(traffic, "stopping", started_at);
    loop {
        sleep(SHUTDOWN_POLL_PERIOD).await;
        match schedule.step(started_at.elapsed(), traffic.open_requests.total()) {
            ShutdownStep::Serve => {}
            ShutdownStep::Refuse => traffic.close(),
            ShutdownStep::AnswerAll => {
                traffic.close();
                traffic.answer_all();
            }
            ShutdownStep::Exit => break,
        }
    }
    HeartbeatTask::announce_exit(traffic);
    log_shutdown(traffic, "ended", started_at);
}

fn log_shutdown(traffic: &TrafficState, message: &'static str, started_at: Instant) {
    Line::new(Level::Info, message)
        .field("open_requests", traffic.open_requests.total())
        .field("by_stage", traffic.open_requests.by_stage())
        .field("after_ms", started_at.elapsed().as_millis())
        .send();
}

impl TrafficState {
    /// Reports the entry as not ready. All requests that are not being relayed are answered at a time.
    fn begin_shutdown(&self, answers_at: Instant) {
        self.is_stopping.set(true);
        self.answers_at_ms.set(Some(self.ms_at(answers_at)));
    }

    /// Refuses requests from now on and closes callers' idle connections.
    fn close(&self) {
        if !self.is_closing.replace(true) {
            self.closing.notify_waiters();
        }
    }

    /// Ends the waits of all requests that are not being relayed, so that their callers get answers.
    fn answer_all(&self) {
        self.must_answer.set(true);
        self.answers_due.notify_waiters();
    }

    /// Waits until all requests have to be answered because the process ends.
    pub async fn wait_until_answers_due(&self) {
        let due = self.answers_due.notified();
        if !self.must_answer.get() {
            due.await;
        }
    }

    /// Returns until when a request keeps waiting for a slot, for which the queues expect it to wait this
    /// long; none unless the entry refuses new requests.
    #[must_use]
    pub fn waits_at_shutdown_until_ms(
        &self,
        service: &str,
        expected_wait_ms: Option<u64>,
    ) -> Option<u64> {
        let answers_at_ms = self.answers_at_ms.get().filter(|_| self.is_closing.get())?;
        let wait = WaitAtShutdown {
            now_ms: self.now_ms(),
            answers_at_ms,
            expected_run_ms: self.dispatcher.borrow().typical_hold_ms(service),
            expected_wait_ms,
            has_other_entries: self.has_other_entries(),
        };
        Some(wait.until_ms())
    }

    /// Returns whether there are other entries that will not exit soon.
    fn has_other_entries(&self) -> bool {
        let peers = self.peers.borrow();
        peers.owner_candidates(true, self.now_ms()).next().is_some()
    }

    /// Returns the retry delay for callers that are refused because the process will end.
    #[must_use]
    pub fn closing_retry_after_ms(&self) -> u64 {
        if self.has_other_entries() {
            CLOSING_RETRY_AFTER_MS
        } else {
            REPLACED_RETRY_AFTER_MS
        }
    }
}
