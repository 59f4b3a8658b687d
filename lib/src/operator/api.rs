//! What operators can ask of an entry: one command, and queries that only read.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::config::Config;
use crate::config::object::Kind;
use crate::config::object::ObjectKey;
use crate::config::spread_link::SpreadHandle;
use crate::entry::control::EntryQuery;
use crate::entry::control::EntryStatus;
use crate::logging::Level;
use crate::logging::Line;
use crate::operator::auth::Session;
use crate::operator::auth::identify;
use crate::operator::change::Author;
use crate::operator::change::NotDone;
use crate::operator::change::carry_out;
use crate::operator::messages::AuditTrail;
use crate::operator::messages::ChangeAnswer;
use crate::operator::messages::ChangeRequest;
use crate::operator::messages::Explanation;
use crate::operator::messages::InForce;
use crate::operator::messages::ProcessView;
use crate::operator::messages::Status;
use crate::operator::queries::AuditFilter;
use crate::operator::queries::Believed;
use crate::operator::queries::audit_trail;
use crate::operator::queries::believed;
use crate::operator::queries::in_force;
use crate::operator::queries::process_view;
use crate::operator::queries::revision_of;
use crate::operator::queries::upstream_views;
use crate::store::ReadError;
use crate::store::StoreClient;
use crate::store::StoredObject;
use crate::store::position::StorePosition;

/// How often and how long fresh reports are waited for before "in force" is answered.
const REPORT_ROUNDS: usize = 5;
/// The pause between two such rounds.
const REPORT_PAUSE: Duration = Duration::from_millis(60);

/// A way to ask the thread of control of the entry.
#[derive(Clone, Debug)]
pub struct EntryLink {
    /// What the entry says about itself.
    pub status: watch::Receiver<EntryStatus>,
    /// Questions to it.
    pub queries: mpsc::Sender<EntryQuery>,
}

/// What the API works with.
#[derive(Clone)]
pub struct OperatorApi {
    /// The name of the entry.
    pub entry: Arc<str>,
    /// The configuration of the process.
    pub config: Config,
    /// The platform's store.
    pub store: StoreClient,
    /// The other processes; absent in an entry that runs alone.
    pub spread: Option<SpreadHandle>,
    /// Hashes of tokens from the settings, for the first operators.
    pub token_sha256: Vec<Arc<str>>,
    /// The entry itself; absent where only the configuration is served.
    pub control: Option<EntryLink>,
}

impl OperatorApi {
    /// An API that knows the configuration and nothing else.
    ///
    /// ```
    /// use sardinewood::config::Config;
    /// use sardinewood::operator::api::OperatorApi;
    /// use sardinewood::store::StoreClient;
    ///
    /// let store = StoreClient::new("http://127.0.0.1:9300").unwrap();
    /// let api = OperatorApi::new("entry-1", Config::default(), store);
    /// assert!(api.spread.is_none());
    /// ```
    #[must_use]
    pub fn new(entry: &str, config: Config, store: StoreClient) -> Self {
        Self {
            entry: entry.into(),
            config,
            store,
            spread: None,
            token_sha256: Vec::new(),
            control: None,
        }
    }

    /// Finds the operator of a token.
    #[must_use]
    pub(crate) fn identify(&self, token: &str) -> Option<Session> {
        let catalog = Arc::clone(&self.config.catalog().borrow());
        identify(token, &catalog, &self.token_sha256)
    }

    /// Carries out a change for an operator, and logs it.
    pub(crate) async fn change(
        &self,
        session: &Session,
        from: &str,
        request: &ChangeRequest,
    ) -> Result<ChangeAnswer, NotDone> {
        let author = Author {
            who: Arc::clone(&session.who),
            from: from.into(),
            at_ms: now_ms(),
        };
        let answer = carry_out(&self.store, &self.config, request, &author).await;
        if let Ok(ChangeAnswer::Accepted { version }) = &answer {
            Line::new(Level::Info, "change accepted")
                .field(
                    "object",
                    format!("{}/{}", request.kind.as_str(), request.name),
                )
                .field("version", version)
                .field("change", &request.id)
                .field("who", &author.who)
                .send();
        }
        answer
    }

    /// What the entry says about itself.
    pub(crate) fn entry_status(&self) -> EntryStatus {
        let control = self.control.as_ref();
        control.map_or_else(EntryStatus::default, |control| {
            control.status.borrow().clone()
        })
    }

    /// What this entry remembers of a request; `None` if it remembers nothing.
    pub(crate) async fn explain(&self, id: &str) -> Option<Explanation> {
        let request = id.parse().ok()?;
        let (answer, decisions) = oneshot::channel();
        let query = EntryQuery::Explain { request, answer };
        self.control.as_ref()?.queries.send(query).await.ok()?;
        let decisions = decisions.await.ok()?;
        (!decisions.is_empty()).then(|| Explanation {
            request: id.into(),
            decisions,
            unreachable: Vec::new(),
        })
    }

    /// The other processes that are believed to run.
    pub(crate) async fn believed(&self) -> indexmap::IndexMap<Arc<str>, Believed> {
        let members = match &self.spread {
            Some(spread) => spread.members().await,
            None => Vec::new(),
        };
        believed(&self.config.catalog().borrow(), &members)
    }

    /// How far a version has got, after those that lack it were asked for fresh reports.
    pub(crate) async fn in_force(&self, key: &ObjectKey, version: StorePosition) -> InForce {
        let mut answer = self.in_force_as_heard(key, version).await;
        for _ in 0..REPORT_ROUNDS {
            let Some(spread) = &self.spread else {
                break;
            };
            if answer.missing.is_empty() {
                break;
            }
            let processes = self.believed().await;
            let missing = answer.missing.iter().filter_map(|name| processes.get(name));
            let addresses = missing.filter_map(|process| process.member.as_ref());
            spread
                .ask(addresses.map(|member| member.address).collect())
                .await;
            tokio::time::sleep(REPORT_PAUSE).await;
            answer = self.in_force_as_heard(key, version).await;
        }
        answer
    }

    async fn in_force_as_heard(&self, key: &ObjectKey, version: StorePosition) -> InForce {
        let processes = self.believed().await;
        let state = self.config.state();
        let state = state.borrow();
        let current = state
            .get(key)
            .map_or(StorePosition::default(), |(version, _)| version);
        let lacking = (!state.has(key, version)).then_some(&self.entry);
        in_force(&processes, lacking, version, current.max(version))
    }

    /// The audit trail. The history of an object is kept in the store only; while the store
    /// does not answer, the last change of each object is shown.
    pub(crate) async fn audit(&self, filter: &AuditFilter) -> AuditTrail {
        match self.read_records(filter).await {
            Ok(objects) => audit_trail(&objects, filter),
            Err(_) => AuditTrail {
                is_partial: true,
                ..audit_trail(&self.held_records(), filter)
            },
        }
    }

    async fn read_records(&self, filter: &AuditFilter) -> Result<Vec<StoredObject>, ReadError> {
        if let (Some(kind), Some(name)) = (filter.kind, &filter.name) {
            let object = self.store.get(kind.as_str(), name).await?;
            return Ok(object.into_iter().collect());
        }
        let kinds: Vec<_> = match filter.kind {
            Some(kind) => vec![kind.as_str()],
            None => Kind::ALL.map(Kind::as_str).to_vec(),
        };
        Ok(self.store.list(&kinds).await?.objects)
    }

    fn held_records(&self) -> Vec<StoredObject> {
        let state = self.config.state();
        let state = state.borrow();
        let keys = Kind::ALL.into_iter().flat_map(|kind| state.keys(kind));
        let held = keys.filter_map(|key| {
            let (version, content) = state.get(&key)?;
            Some(StoredObject {
                kind: key.kind.as_str().into(),
                name: key.name,
                version,
                value: serde_json::to_value(content?).ok()?,
            })
        });
        held.collect()
    }

    /// The state of the system as this entry knows it.
    pub(crate) async fn status(&self) -> Status {
        let processes = self.believed().await;
        let entry = self.entry_status();
        let revision = revision_of(&self.config.state().borrow());
        let own = ProcessView {
            name: Arc::clone(&self.entry),
            role: "entry".into(),
            revision: Some(revision),
            heard_ms_ago: Some(0),
        };
        let others = processes.iter();
        let others = others.map(|(name, process)| process_view(name, process));
        Status {
            entry: Arc::clone(&self.entry),
            revision,
            is_store_reachable: self.config.is_store_reachable(),
            waiting_by_tier: entry
                .counts
                .waiting_by_tier
                .map(|count| count as u64)
                .to_vec(),
            running: entry.counts.running as u64,
            processes: [own].into_iter().chain(others).collect(),
            upstreams: upstream_views(&self.config.catalog().borrow(), &entry),
        }
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
