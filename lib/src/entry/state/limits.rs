//! Limits of profiles: refuses requests over the rates and holds back requests over the
//! concurrency limit.

use super::EntryState;
use super::Failure;
use super::FailureReason;
use super::RequestId;
use super::Run;
use super::Submission;

impl EntryState {
    /// Returns the refusal of a request whose profile's rates are used up.
    pub(super) fn limit_refusal(
        &mut self,
        now_ms: u64,
        submission: &Submission,
    ) -> Option<Failure> {
        let entries = self.agents.entries(&submission.target);
        let tokens = tokens_of(submission);
        let profile = &submission.profile;
        let wait_ms = self.limits.wait_ms(now_ms, profile, tokens, entries)?;
        Some(Failure::not_run(FailureReason::LimitReached).retry_after(wait_ms))
    }

    pub(super) fn count_admitted(&mut self, now_ms: u64, submission: &Submission) {
        let entries = self.agents.entries(&submission.target);
        let tokens = tokens_of(submission);
        self.limits
            .admit(now_ms, &submission.profile, tokens, entries);
    }

    /// Counts a request towards the concurrency limit of its profile, or parks it until the
    /// limit allows it. Returns whether the request may be placed.
    pub(super) fn start_within_limit(&mut self, now_ms: u64, request: RequestId) -> bool {
        let Some(run) = self.runs.get_mut(&request) else {
            return false;
        };
        if run.is_active {
            return true;
        }
        let profile = run.submission.profile.clone();
        let entries = self.agents.entries(&run.submission.target);
        if !self.limits.can_start(&profile, entries) {
            let parked = self.parked.entry(profile.name.clone()).or_default();
            parked.insert(request);
            return false;
        }
        run.is_active = true;
        if let Some(parked) = self.parked.get_mut(&profile.name) {
            parked.shift_remove(&request);
        }
        self.limits.start(now_ms, &profile, entries);
        true
    }

    /// Releases what a finished request counts towards the concurrency limit, and starts the
    /// request that was parked first.
    pub(super) fn release_limits(&mut self, run: &Run) {
        let profile = &run.submission.profile;
        if let Some(parked) = self.parked.get_mut(&profile.name) {
            parked.shift_remove(&run.submission.request);
        }
        if !run.is_active {
            return;
        }
        self.limits.finish(profile);
        let next = self
            .parked
            .get_mut(&profile.name)
            .and_then(|parked| parked.shift_remove_index(0));
        if let Some(next) = next {
            self.reserve(self.now_ms, next);
        }
    }
}

/// Returns the tokens that a request is expected to use, of prompt and output.
fn tokens_of(submission: &Submission) -> u64 {
    let estimate = &submission.estimate;
    u64::from(estimate.prompt_tokens) + u64::from(estimate.expected_output_tokens)
}
