//! Drives [`streams`]: tells other entries where streams began, and finds out where a stream began that
//! a caller takes up.
//!
//! [`streams`]: crate::direct::streams

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde_json::json;
use tokio::time::Instant;

use crate::direct::membership::peer_message::PeerMessage;
use crate::direct::placement::job::MIN_RETRY_AFTER_MS;
use crate::direct::placement::slot_search::REPLY_TIMEOUT_MS;
use crate::direct::request::call::Call;
use crate::direct::request::headers::CallerHeaders;
use crate::direct::request::refusal::Refusal;
use crate::direct::request::refusal::request_id_text;
use crate::direct::sharing::admission::PeerRequestId;
use crate::direct::store_view::catalog::Customer;
use crate::direct::store_view::catalog::Route;
use crate::direct::streams::origin::OriginRecord;
use crate::direct::streams::origin::OriginReply;
use crate::direct::streams::origin::OriginRequest;
use crate::direct::streams::origin::StreamKey;
use crate::direct::streams::origin::StreamOrigin;
use crate::direct::streams::origin_records;
use crate::direct::streams::version_history::NoOnlyVersion;
use crate::direct::streams::version_history::ServiceVersion;
use crate::direct::traffic::TrafficState;
use crate::logging::Level;

/// How long all entries are waited for, once those that keep the record have not told the origin.
const ALL_REPLIES_TIMEOUT_MS: u64 = 120;
/// Streams a second for which all entries are asked. Callers that name streams which never were would
/// otherwise make an entry send hundreds of datagrams for each.
const MAX_ASKED_OF_ALL_PER_S: u32 = 20;
/// Records in one message. Each takes some 40 bytes with names of usual length.
const MAX_RECORDS_PER_MESSAGE: usize = 12;

/// Body of the response to a caller whose stream can't be resumed.
const ORIGIN_UNKNOWN: &str = "version of the resumed stream is unknown";
const VERSION_GONE: &str = "no upstream of the resumed stream's version";

/// How the origin of a stream became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OriginSource {
    /// This entry has its record.
    OwnRecord,
    /// The service has had one version only for as long as a stream can last.
    OnlyVersion,
    /// Another entry has its record.
    PeerRecord,
    /// Another entry knows the service's only version.
    PeerOnlyVersion,
}

impl OriginSource {
    fn name(self) -> &'static str {
        match self {
            Self::OwnRecord => "own_record",
            Self::OnlyVersion => "only_version",
            Self::PeerRecord => "peer_record",
            Self::PeerOnlyVersion => "peer_only_version",
        }
    }
}

/// Why nobody knows the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnknownOrigin {
    /// Its caller does not name the attempt that began it.
    NotNamed,
    /// Nobody has its record, and its route leads to several services.
    SeveralServices,
    /// Its record names a service to which its route does not lead any more.
    OtherService,
    /// Nobody has its record, and this entry can't claim an only version either.
    NoRecord(NoOnlyVersion),
}

impl UnknownOrigin {
    fn name(self) -> &'static str {
        match self {
            Self::NotNamed => "not_named",
            Self::SeveralServices => "several_services",
            Self::OtherService => "other_service",
            Self::NoRecord(because) => because.name(),
        }
    }
}

impl TrafficState {
    /// Applies the versions of all listed upstreams. Once a service has another version, the entries
    /// that keep records are told of the streams that began before.
    pub fn record_listed_versions(&self, listed: &IndexSet<ServiceVersion>) {
        let now_ms = self.now_ms();
        self.check_version_history();
        let changed = self.version_history.borrow_mut().update(listed, now_ms);
        for service in changed {
            let records = self.stream_origins.borrow().of_service(&service, now_ms);
            self.send_origin_records(records);
        }
    }

    /// Returns how long a stream of a route can last, over all tries of its caller.
    fn longest_stream_ms(&self, route: &Route) -> u64 {
        let history = self.version_history.borrow();
        history.longest_stream_ms().max(route.timeout_ms)
    }

    /// Returns the only version that a service has had for as long as a stream can last, which is at least
    /// this long. An entry whose list may be old does not know.
    fn only_version(&self, service: &str, least_ms: u64) -> Result<Arc<str>, NoOnlyVersion> {
        if self.may_list_be_old() {
            return Err(NoOnlyVersion::ListMayBeOld);
        }
        let history = self.version_history.borrow();
        history.only_version(service, least_ms, self.now_ms())
    }

    fn may_list_be_old(&self) -> bool {
        let age_ms = self.list_mark().age_ms;
        age_ms.is_none_or(|age_ms| age_ms > self.config_bound_ms.get())
    }

    /// Records a gap in the history of versions while the list may be old. Other entries are told of the
    /// streams that began before, as this one can't claim their version any more.
    pub fn check_version_history(&self) {
        if !self.may_list_be_old() {
            return;
        }
        let now_ms = self.now_ms();
        let has_lost_claims = self.version_history.borrow_mut().record_gap(now_ms);
        if has_lost_claims {
            self.send_all_origin_records();
        }
    }

    /// Records where a stream began whose first event is relayed now, for callers that take it up.
    pub fn record_stream_origin(&self, call: &Call, origin: StreamOrigin) {
        let Some(key) = call.stream_key().filter(|_| call.route.is_resumable()) else {
            return;
        };
        let now_ms = self.now_ms();
        let until_ms = call.caller_deadline_at_ms;
        let wait_ms = until_ms.saturating_sub(call.arrived_ms);
        self.version_history.borrow_mut().note_caller_wait(wait_ms);
        let longest_ms = self.longest_stream_ms(&call.route);
        let is_needed = self.is_stopping.get()
            || call.route.only_service().is_none()
            || self.only_version(&origin.service, longest_ms).is_err();
        let mut records = self.stream_origins.borrow_mut();
        records.insert(key, origin.clone(), until_ms, now_ms);
        drop(records);
        if is_needed {
            let remaining_ms = until_ms.saturating_sub(now_ms);
            self.send_origin_records(vec![OriginRecord {
                key,
                origin,
                remaining_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
            }]);
        }
    }

    /// Tells all records to the entries that keep them, for example because this one ends.
    pub fn send_all_origin_records(&self) {
        let records = self.stream_origins.borrow().all(self.now_ms());
        self.send_origin_records(records);
    }

    /// Tells records to the entries that keep them.
    fn send_origin_records(&self, records: Vec<OriginRecord>) {
        let mut by_owner: IndexMap<SocketAddr, Vec<OriginRecord>> = IndexMap::new();
        for record in records {
            for owner in self.record_owners(record.key) {
                by_owner.entry(owner).or_default().push(record.clone());
            }
        }
        for (owner, records) in by_owner {
            for records in records.chunks(MAX_RECORDS_PER_MESSAGE) {
                self.send_to_peer(owner, &PeerMessage::StreamOrigins(records.to_vec()));
            }
        }
    }

    /// Returns the other entries that keep a stream's record.
    ///
    /// This one is left out of the choice, as if it were leaving: if it were one of the owners, the record
    /// would be at fewer others.
    fn record_owners(&self, key: StreamKey) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        origin_records::record_owners(key, peers.record_candidates(true, self.now_ms()))
    }

    /// Keeps records that a peer has told.
    pub fn keep_origin_records(&self, records: Vec<OriginRecord>) {
        let now_ms = self.now_ms();
        let mut kept = self.stream_origins.borrow_mut();
        for record in records {
            let until_ms = now_ms + u64::from(record.remaining_ms);
            kept.insert(record.key, record.origin, until_ms, now_ms);
        }
    }

    fn recorded_origin(&self, key: StreamKey) -> Option<StreamOrigin> {
        let records = self.stream_origins.borrow();
        records.get(key, self.now_ms()).cloned()
    }

    /// Replies to a peer that asks where a stream began.
    pub fn handle_origin_request(&self, from: SocketAddr, request: &OriginRequest) {
        let recorded = self.recorded_origin(request.key);
        let only_version = || {
            let service = request.service.as_ref()?;
            self.only_version(service, request.longest_ms.into()).ok()
        };
        let reply = match (recorded, only_version()) {
            (Some(origin), _) => OriginReply::Recorded(origin),
            (None, Some(version)) => OriginReply::OnlyVersion(version),
            (None, None) => OriginReply::Unknown,
        };
        let request_id = request.id;
        self.send_to_peer(from, &PeerMessage::OriginReply { request_id, reply });
    }

    /// Passes a peer's reply to the request that waits for it.
    pub fn handle_origin_reply(&self, request_id: PeerRequestId, reply: OriginReply) {
        self.pending_origins.complete(request_id, reply);
    }

    /// Finds out where a stream began that a caller takes up; none if the request begins a stream.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the origin can't be found out, or none of its upstreams is left. The
    /// caller may begin the stream anew at once.
    pub async fn find_resumed_origin(
        &self,
        headers: &CallerHeaders,
        route: &Route,
        customer: Option<&Arc<Customer>>,
    ) -> Result<Option<StreamOrigin>, Refusal> {
        let Some(last_event_id) = headers.last_event_id.filter(|id| *id > 0) else {
            return Ok(None);
        };
        if !route.is_resumable() {
            return Ok(None);
        }
        let first_attempt = headers.resumes.as_ref();
        let found = self.find_origin(first_attempt, route, customer).await;
        let found = found.and_then(|(origin, source)| {
            let is_led_to = route.leads_to(&origin.service);
            is_led_to
                .then_some((origin, source))
                .ok_or(UnknownOrigin::OtherService)
        });
        let refusal = match &found {
            Err(_) => Some(ORIGIN_UNKNOWN),
            Ok((origin, _)) if !self.has_upstream_of(origin) => Some(VERSION_GONE),
            Ok(_) => None,
        };
        let (result, unknown_because) = match &found {
            Ok((_, source)) => (source.name(), None),
            Err(because) => ("unknown", Some(because.name())),
        };
        let label = unknown_because.or(refusal).unwrap_or(result);
        self.metrics.taken_up.with_label_values(&[label]).inc();
        let found = found.ok();
        let inputs = json!({
            "resumes": request_id_text(first_attempt),
            "last_event": last_event_id,
            "known_by": result,
            "unknown_because": unknown_because,
            "service": found.as_ref().map(|(origin, _)| &origin.service),
            "version": found.as_ref().map(|(origin, _)| &origin.version),
        });
        let id = headers.request_id.as_ref();
        if let Some(reason) = refusal {
            let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, reason, id);
            return Err(refusal.retry_after(MIN_RETRY_AFTER_MS).with_inputs(inputs));
        }
        self.log(Level::Info, "caller takes a stream up", |line| {
            line.field("request", request_id_text(id))
                .field("inputs", inputs)
        });
        Ok(found.map(|(origin, _)| origin))
    }

    fn has_upstream_of(&self, origin: &StreamOrigin) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.has_version(&origin.service, &origin.version)
    }

    async fn find_origin(
        &self,
        first_attempt: Option<&http::HeaderValue>,
        route: &Route,
        customer: Option<&Arc<Customer>>,
    ) -> Result<(StreamOrigin, OriginSource), UnknownOrigin> {
        let customer = customer.map(|customer| &*customer.name);
        let key =
            first_attempt.map(|attempt| StreamKey::new(customer, &route.name, attempt.as_bytes()));
        if let Some(origin) = key.and_then(|key| self.recorded_origin(key)) {
            return Ok((origin, OriginSource::OwnRecord));
        }
        let unknown = match route.only_service() {
            None => UnknownOrigin::SeveralServices,
            Some(service) => match self.only_version(service, self.longest_stream_ms(route)) {
                Ok(version) => {
                    let service = Arc::clone(service);
                    let origin = StreamOrigin { service, version };
                    return Ok((origin, OriginSource::OnlyVersion));
                }
                Err(because) => UnknownOrigin::NoRecord(because),
            },
        };
        let key = key.ok_or(UnknownOrigin::NotNamed)?;
        self.ask_origin(key, route).await.ok_or(unknown)
    }

    /// Asks the entries that keep a stream's record where it began, and then all others: the record may
    /// have been lost on its way, or have been told to entries that have ended since.
    async fn ask_origin(
        &self,
        key: StreamKey,
        route: &Route,
    ) -> Option<(StreamOrigin, OriginSource)> {
        let owners = self.record_owners(key);
        let found = self
            .ask_entries(&owners, key, route, REPLY_TIMEOUT_MS)
            .await;
        if found.is_some() || !self.try_ask_all() {
            return found;
        }
        let others = self.other_record_candidates();
        self.ask_entries(&others, key, route, ALL_REPLIES_TIMEOUT_MS)
            .await
    }

    /// Returns whether all entries may be asked about one more stream now, and counts it.
    fn try_ask_all(&self) -> bool {
        const MS_PER_S: u64 = 1_000;
        let second = self.now_ms() / MS_PER_S;
        let (counted_second, count) = self.origins_asked_of_all.get();
        let count = if counted_second == second { count } else { 0 };
        self.origins_asked_of_all.set((second, count + 1));
        count < MAX_ASKED_OF_ALL_PER_S
    }

    /// Returns all other entries that may have records, also those that an entry which has just started has
    /// not heard yet.
    fn other_record_candidates(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let candidates = peers.record_candidates(true, self.now_ms());
        let heard = candidates.map(|(entry, _)| entry);
        heard.chain(peers.unheard_seeds()).collect()
    }

    /// Asks some entries, and returns the first origin that one of them knows. Each question has an id of its
    /// own: late replies to one say nothing of those who are asked next.
    async fn ask_entries(
        &self,
        entries: &[SocketAddr],
        key: StreamKey,
        route: &Route,
        timeout_ms: u64,
    ) -> Option<(StreamOrigin, OriginSource)> {
        let mut pending = self.pending_origins.open(rand::random());
        let request = OriginRequest {
            id: pending.id,
            key,
            service: route.only_service().cloned(),
            longest_ms: u32::try_from(self.longest_stream_ms(route)).unwrap_or(u32::MAX),
        };
        self.send_to_peers(entries, &PeerMessage::OriginRequest(request));
        let until = Instant::now() + Duration::from_millis(timeout_ms);
        let mut unknown = 0;
        while unknown < entries.len() {
            match pending.next_until(until).await? {
                OriginReply::Recorded(origin) => return Some((origin, OriginSource::PeerRecord)),
                OriginReply::OnlyVersion(version) => {
                    let service = route.only_service().cloned()?;
                    let origin = StreamOrigin { service, version };
                    return Some((origin, OriginSource::PeerOnlyVersion));
                }
                OriginReply::Unknown => unknown += 1,
            }
        }
        None
    }
}
