//! Queue of the reservations that wait at one agent.
//!
//! Reservations are ordered by tier, then started appointments first, then the customer
//! with the least service for its weight, then the earliest deadline. Each operation takes
//! time logarithmic in the length of the queue, independent of the number of customers.

use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::agent::events::LinkId;
use crate::config::objects::TIER_COUNT;
use crate::ids::RequestId;
use crate::link::wire::Reservation;

/// Factor applied before service is divided by a weight, so that integers keep the fraction.
const SERVICE_SCALE: u64 = 1_000;

/// Number of accounts above which those of customers without queued work are dropped. A
/// dropped account restarts at the virtual time of the tier, as an idle one does.
const MAX_IDLE_ACCOUNTS: usize = 4_096;

/// A reservation in the agent's queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedReservation {
    /// Link on which the reservation was received.
    pub link: LinkId,
    /// The reservation as the entry sent it.
    pub reservation: Reservation,
    /// Time of arrival.
    pub arrived_ms: u64,
    /// Deadline of the answer.
    pub deadline_ms: u64,
    /// Latest start that meets the deadline, at the speed measured when the reservation
    /// arrived.
    pub latest_start_ms: u64,
    /// Expected work, charged to the customer when the reservation is granted.
    pub cost_us: u64,
}

/// Sort key of a reservation among those of its customer: deadline, sequence, request.
type QueueKey = (u64, u64, RequestId);

/// Queued reservations of one customer in one priority class.
#[derive(Debug, Default)]
struct CustomerQueue {
    reservations: BTreeSet<QueueKey>,
    /// The customer's key in [`PriorityClass::by_queued_per_weight`].
    queued_per_weight: u64,
}

/// Queued reservations of one tier that belong to started appointments, or those that don't.
#[derive(Debug, Default)]
struct PriorityClass {
    /// Queued reservations by customer; never an empty queue.
    customers: IndexMap<Arc<str>, CustomerQueue>,
    /// Customers by the service that they received.
    by_service: BTreeSet<(u64, Arc<str>)>,
    /// Customers by their number of queued reservations divided by their weight. When the
    /// queue is full, the last customer loses a reservation first.
    by_queued_per_weight: BTreeSet<(u64, Arc<str>)>,
}

/// Account of one customer in one tier.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Work granted, divided by the weight. Idle time is not credited: the other customers
    /// use an idle customer's share until its next reservation.
    service: u64,
    weight: u64,
    queued: usize,
}

#[derive(Debug, Default)]
struct TierQueue {
    started: PriorityClass,
    new: PriorityClass,
    accounts: IndexMap<Arc<str>, Account>,
    /// Highest service of a customer at the time of a grant to it.
    virtual_time: u64,
}

/// A queued reservation and its sequence number.
#[derive(Clone, Debug)]
struct QueueItem {
    sequence: u64,
    queued: QueuedReservation,
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
/// let queued = |id, tier| QueuedReservation {
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
/// queue.insert(queued(1, 3));
/// queue.insert(queued(2, 0));
/// assert_eq!(queue.first().unwrap().reservation.request, RequestId(2));
/// assert_eq!(queue.last().unwrap().reservation.request, RequestId(1));
/// ```
#[derive(Debug, Default)]
pub struct ReservationQueue {
    tiers: [TierQueue; TIER_COUNT],
    items: IndexMap<RequestId, QueueItem>,
    by_latest_start: BTreeSet<(u64, RequestId)>,
    next_sequence: u64,
    cost_us: u64,
}

impl ReservationQueue {
    /// Returns the number of queued reservations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the expected work of all queued reservations.
    #[must_use]
    pub fn cost_us(&self) -> u64 {
        self.cost_us
    }

    /// Returns the reservation of a request.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<&QueuedReservation> {
        self.items.get(&request).map(|item| &item.queued)
    }

    /// Returns the reservation that is granted next.
    #[must_use]
    pub fn first(&self) -> Option<&QueuedReservation> {
        self.tiers
            .iter()
            .find_map(|tier| tier.started.first().or_else(|| tier.new.first()))
            .and_then(|request| self.get(request))
    }

    /// Returns the reservation that is refused first when the queue is full.
    #[must_use]
    pub fn last(&self) -> Option<&QueuedReservation> {
        self.tiers
            .iter()
            .rev()
            .find_map(|tier| tier.new.last().or_else(|| tier.started.last()))
            .and_then(|request| self.get(request))
    }

    /// Returns the reservations whose latest start is at or before `now_ms`, earliest first.
    pub fn due_to_start(&self, now_ms: u64) -> impl Iterator<Item = &QueuedReservation> {
        self.by_latest_start
            .iter()
            .take_while(move |(latest_start_ms, _)| *latest_start_ms <= now_ms)
            .filter_map(|(_, request)| self.get(*request))
    }

    /// Returns the requests whose reservations were received on `link`.
    pub fn requests_on_link(&self, link: LinkId) -> impl Iterator<Item = RequestId> {
        self.items
            .iter()
            .filter(move |(_, item)| item.queued.link == link)
            .map(|(request, _)| *request)
    }

    /// Returns all queued requests with their links, in no particular order.
    pub fn requests(&self) -> impl Iterator<Item = (RequestId, LinkId)> {
        self.items
            .iter()
            .map(|(request, item)| (*request, item.queued.link))
    }

    /// Adds a reservation, replacing one of the same request.
    pub fn insert(&mut self, queued: QueuedReservation) {
        let request = queued.reservation.request;
        self.remove(request);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.cost_us += queued.cost_us;
        self.by_latest_start
            .insert((queued.latest_start_ms, request));
        self.tier_mut(&queued)
            .insert(&queued, queue_key(sequence, &queued));
        self.items.insert(request, QueueItem { sequence, queued });
    }

    /// Removes and returns a reservation without charging its customer.
    pub fn remove(&mut self, request: RequestId) -> Option<QueuedReservation> {
        let QueueItem { sequence, queued } = self.items.swap_remove(&request)?;
        self.cost_us -= queued.cost_us;
        self.by_latest_start
            .remove(&(queued.latest_start_ms, request));
        self.tier_mut(&queued)
            .remove(&queued, queue_key(sequence, &queued));
        Some(queued)
    }

    /// Removes and returns the reservation that is granted next and charges its customer.
    pub fn take_first(&mut self) -> Option<QueuedReservation> {
        let request = self.first()?.reservation.request;
        let queued = self.get(request)?.clone();
        self.tier_mut(&queued).charge(&queued);
        self.remove(request)
    }

    /// Refunds a customer what was charged for a grant that was not used.
    pub fn refund(&mut self, queued: &QueuedReservation) {
        self.tier_mut(queued).refund(queued);
    }

    fn tier_mut(&mut self, queued: &QueuedReservation) -> &mut TierQueue {
        let tier = usize::from(queued.reservation.tier.0).min(TIER_COUNT - 1);
        &mut self.tiers[tier]
    }
}

fn queue_key(sequence: u64, queued: &QueuedReservation) -> QueueKey {
    (queued.deadline_ms, sequence, queued.reservation.request)
}

/// Returns what granting `queued` adds to the service of its customer.
fn service_cost(queued: &QueuedReservation) -> u64 {
    let weight = u64::from(queued.reservation.weight.max(1));
    queued.cost_us.saturating_mul(SERVICE_SCALE) / weight
}

impl TierQueue {
    fn class_mut(&mut self, queued: &QueuedReservation) -> &mut PriorityClass {
        if queued.reservation.started_appointment {
            &mut self.started
        } else {
            &mut self.new
        }
    }

    fn insert(&mut self, queued: &QueuedReservation, queue_key: QueueKey) {
        self.drop_idle_accounts();
        let customer = &queued.reservation.customer;
        let virtual_time = self.virtual_time;
        let account = self.accounts.entry(Arc::clone(customer)).or_default();
        if account.queued == 0 {
            account.service = account.service.max(virtual_time);
        }
        account.queued += 1;
        account.weight = u64::from(queued.reservation.weight.max(1));
        let account = *account;
        self.class_mut(queued).insert(customer, account, queue_key);
    }

    fn remove(&mut self, queued: &QueuedReservation, queue_key: QueueKey) {
        let customer = &queued.reservation.customer;
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        account.queued -= 1;
        let account = *account;
        self.class_mut(queued).remove(customer, account, queue_key);
    }

    fn charge(&mut self, queued: &QueuedReservation) {
        let customer = &queued.reservation.customer;
        let Some(account) = self.accounts.get(customer) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(account.service);
        self.set_service(
            customer,
            account.service.saturating_add(service_cost(queued)),
        );
    }

    fn refund(&mut self, queued: &QueuedReservation) {
        let customer = &queued.reservation.customer;
        let Some(account) = self.accounts.get(customer) else {
            return;
        };
        self.set_service(
            customer,
            account.service.saturating_sub(service_cost(queued)),
        );
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
        if self.accounts.len() > MAX_IDLE_ACCOUNTS {
            let busy = self
                .accounts
                .values()
                .filter(|account| account.queued > 0)
                .count();
            if busy < MAX_IDLE_ACCOUNTS / 2 {
                self.accounts.retain(|_, account| account.queued > 0);
            }
        }
    }
}

impl PriorityClass {
    fn first(&self) -> Option<RequestId> {
        let (_, customer) = self.by_service.first()?;
        let (_, _, request) = self.customers.get(customer)?.reservations.first()?;
        Some(*request)
    }

    fn last(&self) -> Option<RequestId> {
        let (_, customer) = self.by_queued_per_weight.last()?;
        let (_, _, request) = self.customers.get(customer)?.reservations.last()?;
        Some(*request)
    }

    fn insert(&mut self, customer: &Arc<str>, account: Account, queue_key: QueueKey) {
        let queue = self.customers.entry(Arc::clone(customer)).or_default();
        queue.reservations.insert(queue_key);
        self.by_service
            .insert((account.service, Arc::clone(customer)));
        self.update_queued_per_weight(customer, account.weight);
    }

    fn remove(&mut self, customer: &Arc<str>, account: Account, queue_key: QueueKey) {
        let Some(queue) = self.customers.get_mut(customer) else {
            return;
        };
        queue.reservations.remove(&queue_key);
        self.update_queued_per_weight(customer, account.weight);
        if self.customers[customer].reservations.is_empty() {
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

    fn update_queued_per_weight(&mut self, customer: &Arc<str>, weight: u64) {
        let Some(queue) = self.customers.get_mut(customer) else {
            return;
        };
        self.by_queued_per_weight
            .remove(&(queue.queued_per_weight, Arc::clone(customer)));
        queue.queued_per_weight = queue.reservations.len() as u64 * SERVICE_SCALE / weight;
        if !queue.reservations.is_empty() {
            self.by_queued_per_weight
                .insert((queue.queued_per_weight, Arc::clone(customer)));
        }
    }
}
