//! The configuration of one process: its state, shared by those who feed it, and the
//! published picture that decisions read.

pub mod audit;
pub mod catalog;
pub mod follow;
pub(crate) mod held;
pub mod hosts;
pub mod log;
pub mod object;
pub mod objects;
pub mod objects_check;
pub mod process;
pub mod spread;
pub mod spread_link;
pub mod spread_message;
pub mod state;
pub(crate) mod version;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio::sync::watch;

use crate::config::catalog::Catalog;
use crate::config::state::ConfigState;
use crate::store::StoredObject;

/// A handle on the configuration of this process; clones share it.
///
/// ```
/// # use sardinewood::store::position::StorePosition;
/// use sardinewood::config::Config;
///
/// let config = Config::default();
/// assert_eq!(config.catalog().borrow().revision, StorePosition::default());
/// ```
#[derive(Clone, Debug)]
pub struct Config {
    state: Arc<watch::Sender<ConfigState>>,
    catalog: Arc<watch::Sender<Arc<Catalog>>>,
    list_wanted: Arc<Notify>,
    is_store_reachable: Arc<AtomicBool>,
    others: Arc<AtomicUsize>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            state: Arc::new(watch::Sender::default()),
            catalog: Arc::new(watch::Sender::default()),
            list_wanted: Arc::default(),
            is_store_reachable: Arc::default(),
            others: Arc::default(),
        }
    }
}

impl Config {
    /// A configuration of these objects, which nothing changes.
    ///
    /// ```
    /// use sardinewood::config::Config;
    /// use sardinewood::store::StoredObject;
    ///
    /// let object: StoredObject = serde_json::from_str(r#"{
    ///     "kind": "profiles", "name": "lookup", "version": 7,
    ///     "value": {"name": "lookup", "tier": 2, "deadline_ms": 4000}
    /// }"#).unwrap();
    /// let config = Config::fixed(&[object]);
    /// assert_eq!(config.catalog().borrow().profiles.len(), 1);
    /// ```
    #[must_use]
    pub fn fixed(objects: &[StoredObject]) -> Self {
        let config = Self::default();
        config.apply(|state| {
            for object in objects {
                state.apply_object(object);
            }
        });
        config
    }

    /// The picture in force, and a way to wait for the next.
    ///
    /// ```
    /// let catalog = sardinewood::config::Config::default().catalog();
    /// assert!(catalog.borrow().customers.is_empty());
    /// ```
    #[must_use]
    pub fn catalog(&self) -> watch::Receiver<Arc<Catalog>> {
        self.catalog.subscribe()
    }

    /// The whole state, and a way to wait for the next change of it.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// let state = sardinewood::config::Config::default().state();
    /// assert_eq!(state.borrow().digest().newest, StorePosition::default());
    /// ```
    #[must_use]
    pub fn state(&self) -> watch::Receiver<ConfigState> {
        self.state.subscribe()
    }

    /// Changes the state, and publishes the picture if it is another one.
    ///
    /// ```
    /// # use sardinewood::store::position::StorePosition;
    /// use sardinewood::config::Config;
    /// use sardinewood::store::ObjectList;
    ///
    /// let config = Config::default();
    /// config.apply(|state| {
    ///     state.apply_list(&ObjectList { position: StorePosition::new(0, 12), objects: vec![] });
    /// });
    /// assert_eq!(config.catalog().borrow().revision, StorePosition::new(0, 12));
    /// ```
    pub fn apply(&self, change: impl FnOnce(&mut ConfigState)) {
        self.state.send_if_modified(|state| {
            let before = state.digest();
            change(state);
            let modified = state.digest() != before;
            if modified {
                self.catalog.send_replace(Arc::new(state.catalog()));
            }
            modified
        });
    }

    /// Asks whoever follows the store to list everything again.
    ///
    /// ```
    /// sardinewood::config::Config::default().want_list();
    /// ```
    pub fn want_list(&self) {
        self.list_wanted.notify_one();
    }

    /// Waits until [`Self::want_list`] is called.
    ///
    /// ```
    /// # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    /// # runtime.block_on(async {
    /// let config = sardinewood::config::Config::default();
    /// config.want_list();
    /// config.list_wanted().await;
    /// # });
    /// ```
    pub async fn list_wanted(&self) {
        self.list_wanted.notified().await;
    }

    /// Notes whether the store answered the last call of whoever follows it.
    ///
    /// ```
    /// let config = sardinewood::config::Config::default();
    /// config.set_store_reachable(true);
    /// assert!(config.is_store_reachable());
    /// ```
    pub fn set_store_reachable(&self, reachable: bool) {
        self.is_store_reachable.store(reachable, Ordering::Relaxed);
    }

    /// Whether the store answered the last call of whoever follows it.
    ///
    /// ```
    /// assert!(!sardinewood::config::Config::default().is_store_reachable());
    /// ```
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        self.is_store_reachable.load(Ordering::Relaxed)
    }

    /// Tells how many other processes are known through the spread; 0 while none is heard.
    ///
    /// ```
    /// let config = sardinewood::config::Config::default();
    /// config.set_others(12);
    /// assert_eq!(config.others(), 12);
    /// ```
    pub fn set_others(&self, count: usize) {
        self.others.store(count, Ordering::Relaxed);
    }

    /// How many other processes would tell this one of a change.
    ///
    /// ```
    /// assert_eq!(sardinewood::config::Config::default().others(), 0);
    /// ```
    #[must_use]
    pub fn others(&self) -> usize {
        self.others.load(Ordering::Relaxed)
    }
}
