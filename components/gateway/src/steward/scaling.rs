//! Orders the number of endpoints of each service that can be scaled, while this process is the steward.
//!
//! The policy makes the plan; this module supplies its inputs, and repeats an order until its endpoints serve. See
//! `docs/DESIGN.md#ordering-endpoints`.

use std::{sync::Arc, time::Duration};

use clock::Instant;
use policy::scaling::{self, DataCentre, Weights};

use super::lease::Authority;
use crate::{
    adapters::{DutyError, EndpointOrder},
    endpoint::State,
    process::Gateway,
    version::{Scaling, Service},
};

/// Interval between two plans.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time in addition to the start of an endpoint until the list has it; after it an order is given again.
const LISTING_DELAY: Duration = Duration::from_secs(3);
/// Time before the next order for endpoints of which the platform had none.
const UNAVAILABLE_DELAY: Duration = Duration::from_secs(3);
/// Time before an order that failed for another reason is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Orders endpoints as long as this process is the steward, for the lifetime of the process.
pub async fn run(gateway: Arc<Gateway>) {
    let mut scaler = Scaler::default();
    loop {
        clock::sleep(POLL_INTERVAL).await;
        match gateway.steward.authority() {
            Some(authority) if gateway.adapters.duties.is_some() => {
                scaler.step(&gateway, authority).await;
            }
            _ => scaler = Scaler::default(),
        }
    }
}

/// The orders given so far, one for each kind of endpoint.
#[derive(Debug, Default)]
struct Scaler {
    epoch: u64,
    given: Vec<Given>,
}

/// The last order for a kind of endpoint of a service in a data centre.
#[derive(Clone, Debug)]
struct Given {
    order: EndpointOrder,
    outcome: Result<(), DutyError>,
    /// Before then, the same order is not repeated.
    repeat_from: Instant,
}

impl Given {
    /// Whether this was for the same kind of endpoint of the same service and data centre.
    fn is_for_kind_of(&self, order: &EndpointOrder) -> bool {
        self.order.service == order.service
            && self.order.data_centre == order.data_centre
            && self.order.revocable == order.revocable
    }
}

impl Scaler {
    async fn step(&mut self, gateway: &Gateway, authority: Authority) {
        if self.epoch != authority.epoch {
            self.epoch = authority.epoch;
            self.given.clear();
        }
        let Some(configuration) = gateway.configuration() else {
            return;
        };
        for service in configuration.services() {
            let Some(limits) = &service.scaling else {
                continue;
            };
            for (data_centre, _) in &limits.prices {
                for (order, current) in self.plan(gateway, service, limits, data_centre) {
                    if self.is_due(&order, current)
                        && !self.give(gateway, authority, limits, order).await
                    {
                        return;
                    }
                }
            }
        }
    }

    /// Returns the orders for a data centre, each with the number of such endpoints in service. There are none as long
    /// as no endpoint is known there: the list may not be complete.
    fn plan(
        &self,
        gateway: &Gateway,
        service: &Service,
        limits: &Scaling,
        data_centre: &Arc<str>,
    ) -> Vec<(EndpointOrder, u64)> {
        let order = |revocable, count| EndpointOrder {
            service: Arc::clone(&service.name),
            data_centre: Arc::clone(data_centre),
            revocable,
            count,
        };
        let current = DataCentre {
            on_demand: in_service(gateway, service, data_centre, false),
            revocable: in_service(gateway, service, data_centre, true),
            offers_revocable: limits.revocable_price.is_some(),
            revocable_refused: self
                .find(&order(true, 0))
                .is_some_and(|given| given.outcome == Err(DutyError::Unavailable)),
            min: limits.min,
            max: limits.max,
        };
        if current.on_demand + current.revocable == 0 {
            return Vec::new();
        }
        let wanted = scaling::plan(&current, &Weights::default());
        let revocable = wanted
            .revocable
            .map(|count| (order(true, count), current.revocable));
        let on_demand = wanted
            .on_demand
            .map(|count| (order(false, count), current.on_demand));
        revocable.into_iter().chain(on_demand).collect()
    }

    /// Whether an order is to be given: it differs from the last one, or that one has not had its effect in time.
    fn is_due(&self, order: &EndpointOrder, current: u64) -> bool {
        match self.find(order) {
            None => order.count != current,
            Some(given) if given.order.count == order.count && given.outcome.is_ok() => {
                current < order.count && Instant::now() >= given.repeat_from
            }
            Some(given) if given.outcome.is_ok() => true,
            Some(given) => Instant::now() >= given.repeat_from,
        }
    }

    fn find(&self, order: &EndpointOrder) -> Option<&Given> {
        self.given.iter().find(|given| given.is_for_kind_of(order))
    }

    /// Gives an order. Returns whether this process still may.
    async fn give(
        &mut self,
        gateway: &Gateway,
        authority: Authority,
        limits: &Scaling,
        order: EndpointOrder,
    ) -> bool {
        let Some(duties) = &gateway.adapters.duties else {
            return false;
        };
        let holder = super::holder(gateway, authority);
        // no await may come between this check of the lease and the call
        if !gateway.steward.may_order(authority.epoch) {
            return false;
        }
        let outcome = duties.order_endpoints(&holder, &order).await;
        gateway.count_duty("endpoints", outcome);
        let answer = outcome.map_or_else(|error| error.to_string(), |()| "accepted".to_owned());
        log::info!(
            service = &*order.service, data_centre = &*order.data_centre, revocable = order.revocable,
            count = order.count, epoch = authority.epoch, answer; "ordered endpoints"
        );
        let delay = match outcome {
            Ok(()) => limits.boot + LISTING_DELAY,
            Err(DutyError::Unavailable) => UNAVAILABLE_DELAY,
            Err(_) => RETRY_DELAY,
        };
        self.given.retain(|given| !given.is_for_kind_of(&order));
        self.given.push(Given {
            order,
            outcome,
            repeat_from: Instant::now() + delay,
        });
        true
    }
}

/// Returns the number of listed endpoints of a kind that accept requests.
fn in_service(gateway: &Gateway, service: &Service, data_centre: &str, revocable: bool) -> u64 {
    let fleet = gateway.registry.fleet(&service.name);
    let counted = fleet.targets().iter().filter(|target| {
        target.with(|state| {
            let profile = &state.profile;
            state.listed
                && profile.state == State::Ready
                && profile.revocable == revocable
                && *profile.data_centre == *data_centre
        })
    });
    u64::try_from(counted.count()).unwrap_or(u64::MAX)
}
