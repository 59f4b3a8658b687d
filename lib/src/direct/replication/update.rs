//! Updates of the replica that entries get from each other.

use std::sync::Arc;

use crate::store::ObjectList;
use crate::store::StoredObject;
use crate::store::position::StorePosition;

/// What one entry has beyond the revisions of another.
#[derive(Clone, Debug, Default)]
pub struct ReplicaUpdate {
    /// The configuration, if it is newer.
    pub catalog: Option<Arc<StoredObject>>,
    /// The upstreams, if their list is newer.
    pub upstreams: Option<UpstreamListUpdate>,
}

/// The list of upstreams, or its changes.
#[derive(Clone, Debug)]
pub enum UpstreamListUpdate {
    /// All upstreams.
    Full(ObjectList),
    /// The changes since a revision.
    Delta(UpstreamListDelta),
}

/// Changes in the list of upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamListDelta {
    /// The position that the changes follow.
    pub after: StorePosition,
    /// The position that the changes lead to.
    pub position: StorePosition,
    /// New and changed objects.
    pub objects: Vec<StoredObject>,
    /// Names of removed objects, each with the position of its removal.
    pub removed: Vec<(StorePosition, Arc<str>)>,
}
