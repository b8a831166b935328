//! Shares a route's requests among its services.

use balsam_types::{Map, Route, RouteName, ServiceName, ServiceShare, new_map};

/// Routes whose shares are followed at once; more are followed anew from their first service.
const ROUTES_MAX: usize = 4_096;

#[derive(Debug)]
struct Split {
    shares: Vec<ServiceShare>,
    credits: Vec<i64>,
}

/// Chooses services so that each gets its share also of a short run of requests.
///
/// Each choice gives every service credit by its weight and takes the sum of the weights from the
/// chosen one (smooth weighted round robin).
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
    /// Makes a chooser that has chosen nothing.
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
        let weighted = (0..self.shares.len()).filter(|at| self.shares[*at].weight > 0);
        let chosen = weighted.max_by_key(|at| self.credits[*at])?;
        self.credits[chosen] -= total;
        Some(self.shares[chosen].service.clone())
    }
}
