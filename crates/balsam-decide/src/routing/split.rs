//! The split of a route's traffic among its services.

use balsam_types::{Map, Route, RouteName, ServiceName, ServiceShare, new_map};

/// The number of routes whose state is kept.
///
/// If there are more, the state of all routes is dropped, and each starts from its first service.
const ROUTES_MAX: usize = 4_096;

/// The state of one route.
#[derive(Debug)]
struct Split {
    shares: Vec<ServiceShare>,
    credits: Vec<i64>,
}

/// Chooses the service of each request by smooth weighted round robin.
///
/// Each choice adds the weight of every service to its credit, and takes the sum of the weights
/// from the credit of the chosen one. Thus every service gets its share also of a short run of
/// requests.
#[derive(Debug)]
pub struct TrafficSplits {
    routes: Map<RouteName, Split>,
}

impl Default for TrafficSplits {
    fn default() -> Self {
        Self::new()
    }
}

impl TrafficSplits {
    /// Creates a chooser without state.
    pub fn new() -> Self {
        Self { routes: new_map() }
    }

    /// Returns the service of the next request on `route`, or `None` if no service has weight.
    pub fn choose(&mut self, route: &Route) -> Option<ServiceName> {
        if let [only] = route.shares.as_slice() {
            return Some(only.service.clone());
        }
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(&route.name) {
            self.routes.clear();
        }
        let split = self
            .routes
            .entry(route.name.clone())
            .or_insert_with(|| Split::new(route));
        if split.shares != route.shares {
            *split = Split::new(route);
        }
        split.choose()
    }
}

impl Split {
    fn new(route: &Route) -> Self {
        Self {
            shares: route.shares.clone(),
            credits: vec![0; route.shares.len()],
        }
    }

    fn choose(&mut self) -> Option<ServiceName> {
        let total: i64 = self
            .shares
            .iter()
            .map(|share| i64::from(share.weight))
            .sum();
        for (credit, share) in self.credits.iter_mut().zip(&self.shares) {
            *credit += i64::from(share.weight);
        }
        let weighted = (0..self.shares.len()).filter(|index| self.shares[*index].weight > 0);
        let chosen = weighted.max_by_key(|index| self.credits[*index])?;
        self.credits[chosen] -= total;
        Some(self.shares[chosen].service.clone())
    }
}
