//! How many endpoints of which kind to order for a service in each data centre.
//!
//! Revocable endpoints cost a fraction of the others, but the platform takes back all of a data centre at once, sooner
//! than others can start. So they carry the load, and enough others are kept in each data centre for it to serve its
//! callers until new ones have started. The plan answers bursts by holding endpoints in reserve, since a start takes
//! longer than a burst.

/// The endpoints of a service in a data centre, and the limits for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DataCentre {
    /// Endpoints in service that stay until they are ordered away.
    pub on_demand: u64,
    /// Endpoints in service that the platform may take back.
    pub revocable: u64,
    /// Whether there are revocable endpoints at all.
    pub offers_revocable: bool,
    /// Whether the platform refused the last order for revocable endpoints, as it has none there.
    pub revocable_refused: bool,
    /// Minimum number of endpoints, of both kinds together.
    pub min: u64,
    /// Maximum number of endpoints, of both kinds together.
    pub max: u64,
}

/// Settings of the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Endpoints that are not revocable, as a fraction of the maximum, in each data centre.
    pub on_demand_ratio: f64,
    /// Endpoints of both kinds, as a fraction of the maximum, in each data centre.
    pub total_ratio: f64,
    /// The same while the platform has no revocable ones.
    pub fallback_ratio: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            on_demand_ratio: 0.05,
            total_ratio: 0.8,
            fallback_ratio: 0.5,
        }
    }
}

/// Numbers of endpoints to order in a data centre; `None` where no order is to be given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Endpoints that are not revocable.
    pub on_demand: Option<u64>,
    /// Revocable endpoints.
    pub revocable: Option<u64>,
}

/// Plans the endpoints of a data centre.
///
/// Revocable endpoints are ordered first. The others are given up only as far as revocable ones serve in
/// their place, so that no step leaves fewer endpoints than before; until then there is no order for them
/// at all, since the list may not have all of them yet. If the platform has no revocable ones, others take
/// their place until it has some again.
#[must_use]
pub fn plan(data_centre: &DataCentre, weights: &Weights) -> Wanted {
    if !data_centre.offers_revocable {
        return Wanted::default();
    }
    let share = |ratio: f64| crate::to_u64((crate::to_f64(data_centre.max) * ratio).ceil());
    let total = share(weights.total_ratio)
        .max(data_centre.min)
        .min(data_centre.max);
    let min_on_demand = share(weights.on_demand_ratio).max(1).min(total);
    let lacking = if data_centre.revocable_refused {
        share(weights.fallback_ratio)
            .min(total)
            .saturating_sub(data_centre.revocable)
    } else {
        0
    };
    let not_replaced = data_centre.on_demand.saturating_sub(data_centre.revocable);
    let on_demand = min_on_demand.max(not_replaced).max(lacking);
    // both kinds share the maximum, and those to be given up still count
    let room = data_centre
        .max
        .saturating_sub(on_demand.max(data_centre.on_demand));
    Wanted {
        on_demand: (data_centre.revocable > 0 || data_centre.revocable_refused)
            .then_some(on_demand),
        revocable: Some(room.min(total - min_on_demand)),
    }
}
