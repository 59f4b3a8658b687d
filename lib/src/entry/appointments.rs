//! Which appointments have begun, so that what was started goes before what was not.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexSet;

/// An appointment of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Appointment {
    customer: Arc<str>,
    name: Arc<str>,
}

/// The appointments that had a request dispatched from this entry; the newest ones.
///
/// An appointment whose requests come through several entries counts as begun in each
/// only after its first request there: the order is a preference, and asking the other
/// entries would cost each request a round trip.
///
/// ```
/// use sardinewood::entry::appointments::StartedAppointments;
///
/// let mut started = StartedAppointments::new(1);
/// started.insert(&"kowalczyk".into(), &"a-1".into());
/// assert!(started.contains(&"kowalczyk".into(), &"a-1".into()));
/// started.insert(&"kowalczyk".into(), &"a-2".into());
/// assert!(!started.contains(&"kowalczyk".into(), &"a-1".into()), "only one is kept");
/// ```
#[derive(Debug)]
pub struct StartedAppointments {
    capacity: usize,
    known: IndexSet<Appointment>,
    oldest_first: VecDeque<Appointment>,
}

impl StartedAppointments {
    /// Keeps at most `capacity` appointments.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            known: IndexSet::new(),
            oldest_first: VecDeque::new(),
        }
    }

    /// Whether an appointment has begun.
    #[must_use]
    pub fn contains(&self, customer: &Arc<str>, name: &Arc<str>) -> bool {
        self.known.contains(&Appointment {
            customer: customer.clone(),
            name: name.clone(),
        })
    }

    /// Notes that an appointment has begun.
    pub fn insert(&mut self, customer: &Arc<str>, name: &Arc<str>) {
        let appointment = Appointment {
            customer: customer.clone(),
            name: name.clone(),
        };
        if !self.known.insert(appointment.clone()) {
            return;
        }
        self.oldest_first.push_back(appointment);
        if self.known.len() > self.capacity
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.known.swap_remove(&oldest);
        }
    }
}
