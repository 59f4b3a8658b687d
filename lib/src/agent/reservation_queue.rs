//! The bounded queue of reservations that wait at one agent.
//!
//! Order: tier, then started appointments, then the customer that had the least service
//! for its weight, then the earliest deadline. Each step costs the logarithm of what
//! waits, whatever the number of customers.

use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::agent::events::LinkId;
use crate::config::objects::TIER_COUNT;
use crate::ids::RequestId;
use crate::link::wire::Reservation;

/// Service is divided by weight in these units, so that whole numbers keep the fraction.
const SHARE_SCALE: u64 = 1_000;

/// Accounts of customers without waiting work are dropped beyond this number. A dropped
/// account starts again at the level of the tier, as one that was idle does.
const IDLE_ACCOUNTS: usize = 4_096;

/// A reservation as the agent keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedReservation {
    /// The link that it came on.
    pub link: LinkId,
    /// What the entry sent.
    pub reservation: Reservation,
    /// When it came.
    pub arrived_ms: u64,
    /// When the answer is of no use any more.
    pub deadline_ms: u64,
    /// When it has to start to be done by then, at the speed learned when it came.
    pub latest_start_ms: u64,
    /// The expected work, charged to its customer when it is granted.
    pub cost_us: u64,
}

/// Orders the waiting work of one customer in one lane.
type Turn = (u64, u64, RequestId);

/// What waits of one customer in one lane.
#[derive(Debug, Default)]
struct Turns {
    in_order: BTreeSet<Turn>,
    /// Its key in [`Lane::by_crowd`].
    crowd: u64,
}

/// The work of one tier that is of the same importance: of started appointments, or not.
#[derive(Debug, Default)]
struct Lane {
    /// What waits, by customer; never an empty set.
    customers: IndexMap<Arc<str>, Turns>,
    /// Customers by the service that they had.
    by_service: BTreeSet<(u64, Arc<str>)>,
    /// Customers by what waits of them for their weight; gives way first from the back.
    by_crowd: BTreeSet<(u64, Arc<str>)>,
}

/// The account of one customer in one tier.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Work done for its weight. Idle time is not saved up: the share of an idle customer
    /// is lent to the others, and is its own again with its next reservation.
    service: u64,
    weight: u64,
    waiting: usize,
}

#[derive(Debug, Default)]
struct TierQueue {
    started: Lane,
    new: Lane,
    accounts: IndexMap<Arc<str>, Account>,
    /// The service of the customer that was last granted something.
    level: u64,
}

/// Where one reservation stands.
#[derive(Clone, Debug)]
struct Place {
    sequence: u64,
    waiting: QueuedReservation,
}

/// Reservations in the order in which they are granted.
///
/// ```
/// use sardinewood::agent::events::LinkId;
/// use sardinewood::ids::RequestId;
/// use sardinewood::config::objects::{Target, Tier};
/// use sardinewood::agent::reservation_queue::{ReservationQueue, QueuedReservation};
/// use sardinewood::link::wire::Reservation;
///
/// let waiting = |id, tier| QueuedReservation {
///     link: LinkId(1),
///     reservation: Reservation {
///         request: RequestId(id),
///         target: Target::Model("small".into()),
///         tier: Tier(tier),
///         customer: "rundu".into(),
///         weight: 1,
///         waited_ms: 0,
///         deadline_in_ms: 1_000,
///         prompt_tokens: 10,
///         expected_output_tokens: 10,
///         max_output_tokens: 10,
///         prefix: vec![],
///         non_idempotent: false,
///         started_appointment: false,
///     },
///     arrived_ms: 0,
///     deadline_ms: 1_000,
///     latest_start_ms: 900,
///     cost_us: 100,
/// };
/// let mut queue = ReservationQueue::default();
/// queue.insert(waiting(1, 3));
/// queue.insert(waiting(2, 0));
/// assert_eq!(queue.first().unwrap().reservation.request, RequestId(2));
/// assert_eq!(queue.last().unwrap().reservation.request, RequestId(1));
/// ```
#[derive(Debug, Default)]
pub struct ReservationQueue {
    tiers: [TierQueue; TIER_COUNT],
    places: IndexMap<RequestId, Place>,
    by_latest_start: BTreeSet<(u64, RequestId)>,
    next_sequence: u64,
    cost_us: u64,
}

impl ReservationQueue {
    /// How many reservations wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The expected work of all that waits.
    #[must_use]
    pub fn cost_us(&self) -> u64 {
        self.cost_us
    }

    /// The reservation of a request.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<&QueuedReservation> {
        self.places.get(&request).map(|place| &place.waiting)
    }

    /// The reservation that is granted next.
    #[must_use]
    pub fn first(&self) -> Option<&QueuedReservation> {
        self.tiers
            .iter()
            .find_map(|tier| tier.started.first().or_else(|| tier.new.first()))
            .and_then(|request| self.get(request))
    }

    /// The reservation that gives way first.
    #[must_use]
    pub fn last(&self) -> Option<&QueuedReservation> {
        self.tiers
            .iter()
            .rev()
            .find_map(|tier| tier.new.last().or_else(|| tier.started.last()))
            .and_then(|request| self.get(request))
    }

    /// Requests that had to start by `now_ms`, the most pressing first.
    pub fn due(&self, now_ms: u64) -> impl Iterator<Item = &QueuedReservation> {
        self.by_latest_start
            .iter()
            .take_while(move |(latest_start_ms, _)| *latest_start_ms <= now_ms)
            .filter_map(|(_, request)| self.get(*request))
    }

    /// Requests whose reservation came on `link`.
    pub fn of_link(&self, link: LinkId) -> impl Iterator<Item = RequestId> {
        self.places
            .iter()
            .filter(move |(_, place)| place.waiting.link == link)
            .map(|(request, _)| *request)
    }

    /// All requests that wait, in no order.
    pub fn requests(&self) -> impl Iterator<Item = (RequestId, LinkId)> {
        self.places
            .iter()
            .map(|(request, place)| (*request, place.waiting.link))
    }

    /// Adds a reservation; one for the same request is replaced.
    pub fn insert(&mut self, waiting: QueuedReservation) {
        let request = waiting.reservation.request;
        self.remove(request);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.cost_us += waiting.cost_us;
        self.by_latest_start
            .insert((waiting.latest_start_ms, request));
        self.tier_mut(&waiting)
            .insert(&waiting, turn(sequence, &waiting));
        self.places.insert(request, Place { sequence, waiting });
    }

    /// Takes a reservation out without charging its customer.
    pub fn remove(&mut self, request: RequestId) -> Option<QueuedReservation> {
        let Place { sequence, waiting } = self.places.swap_remove(&request)?;
        self.cost_us -= waiting.cost_us;
        self.by_latest_start
            .remove(&(waiting.latest_start_ms, request));
        self.tier_mut(&waiting)
            .remove(&waiting, turn(sequence, &waiting));
        Some(waiting)
    }

    /// Takes out the reservation that is granted next and charges its customer.
    pub fn take_first(&mut self) -> Option<QueuedReservation> {
        let request = self.first()?.reservation.request;
        let waiting = self.get(request)?.clone();
        self.tier_mut(&waiting).charge(&waiting);
        self.remove(request)
    }

    /// Gives a customer back what was charged for a grant that was not used.
    pub fn refund(&mut self, waiting: &QueuedReservation) {
        self.tier_mut(waiting).refund(waiting);
    }

    fn tier_mut(&mut self, waiting: &QueuedReservation) -> &mut TierQueue {
        let tier = usize::from(waiting.reservation.tier.0).min(TIER_COUNT - 1);
        &mut self.tiers[tier]
    }
}

fn turn(sequence: u64, waiting: &QueuedReservation) -> Turn {
    (waiting.deadline_ms, sequence, waiting.reservation.request)
}

/// What `waiting` adds to the service of its customer.
fn share(waiting: &QueuedReservation) -> u64 {
    let weight = u64::from(waiting.reservation.weight.max(1));
    waiting.cost_us.saturating_mul(SHARE_SCALE) / weight
}

impl TierQueue {
    fn lane_mut(&mut self, waiting: &QueuedReservation) -> &mut Lane {
        if waiting.reservation.started_appointment {
            &mut self.started
        } else {
            &mut self.new
        }
    }

    fn insert(&mut self, waiting: &QueuedReservation, turn: Turn) {
        self.drop_idle_accounts();
        let customer = &waiting.reservation.customer;
        let level = self.level;
        let account = self.accounts.entry(Arc::clone(customer)).or_default();
        if account.waiting == 0 {
            account.service = account.service.max(level);
        }
        account.waiting += 1;
        account.weight = u64::from(waiting.reservation.weight.max(1));
        let account = *account;
        self.lane_mut(waiting).insert(customer, account, turn);
    }

    fn remove(&mut self, waiting: &QueuedReservation, turn: Turn) {
        let customer = &waiting.reservation.customer;
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        account.waiting -= 1;
        let account = *account;
        self.lane_mut(waiting).remove(customer, account, turn);
    }

    fn charge(&mut self, waiting: &QueuedReservation) {
        let customer = &waiting.reservation.customer;
        let Some(account) = self.accounts.get(customer) else {
            return;
        };
        self.level = self.level.max(account.service);
        self.set_service(customer, account.service.saturating_add(share(waiting)));
    }

    fn refund(&mut self, waiting: &QueuedReservation) {
        let customer = &waiting.reservation.customer;
        let Some(account) = self.accounts.get(customer) else {
            return;
        };
        self.set_service(customer, account.service.saturating_sub(share(waiting)));
    }

    fn set_service(&mut self, customer: &Arc<str>, service: u64) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        let before = account.service;
        account.service = service;
        self.started.move_service(customer, before, service);
        self.new.move_service(customer, before, service);
    }

    fn drop_idle_accounts(&mut self) {
        if self.accounts.len() > IDLE_ACCOUNTS {
            let busy = self.accounts.values().filter(|one| one.waiting > 0).count();
            if busy < IDLE_ACCOUNTS / 2 {
                self.accounts.retain(|_, account| account.waiting > 0);
            }
        }
    }
}

impl Lane {
    fn first(&self) -> Option<RequestId> {
        let (_, customer) = self.by_service.first()?;
        let (_, _, request) = self.customers.get(customer)?.in_order.first()?;
        Some(*request)
    }

    fn last(&self) -> Option<RequestId> {
        let (_, customer) = self.by_crowd.last()?;
        let (_, _, request) = self.customers.get(customer)?.in_order.last()?;
        Some(*request)
    }

    fn insert(&mut self, customer: &Arc<str>, account: Account, turn: Turn) {
        let turns = self.customers.entry(Arc::clone(customer)).or_default();
        turns.in_order.insert(turn);
        self.by_service
            .insert((account.service, Arc::clone(customer)));
        self.sort_by_crowd(customer, account.weight);
    }

    fn remove(&mut self, customer: &Arc<str>, account: Account, turn: Turn) {
        let Some(turns) = self.customers.get_mut(customer) else {
            return;
        };
        turns.in_order.remove(&turn);
        self.sort_by_crowd(customer, account.weight);
        if self.customers[customer].in_order.is_empty() {
            self.customers.swap_remove(customer);
            self.by_service
                .remove(&(account.service, Arc::clone(customer)));
        }
    }

    fn move_service(&mut self, customer: &Arc<str>, before: u64, after: u64) {
        if self.by_service.remove(&(before, Arc::clone(customer))) {
            self.by_service.insert((after, Arc::clone(customer)));
        }
    }

    fn sort_by_crowd(&mut self, customer: &Arc<str>, weight: u64) {
        let Some(turns) = self.customers.get_mut(customer) else {
            return;
        };
        self.by_crowd.remove(&(turns.crowd, Arc::clone(customer)));
        turns.crowd = turns.in_order.len() as u64 * SHARE_SCALE / weight;
        if !turns.in_order.is_empty() {
            self.by_crowd.insert((turns.crowd, Arc::clone(customer)));
        }
    }
}
