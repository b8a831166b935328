//! The lagging list of instances.

use balsam_types::{TimeMs, UpstreamName};
use balsam_wire::platform::{InstanceBody, InstancesUpdate};
use std::collections::{BTreeMap, VecDeque};

/// The instance list, in which changes become visible after a lag.
#[derive(Debug, Default)]
pub struct InstanceList {
    visible: BTreeMap<UpstreamName, InstanceBody>,
    pending: VecDeque<(TimeMs, InstancesUpdate)>,
    lag_ms: u64,
}

impl InstanceList {
    /// Makes an empty list without lag.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a change, which becomes visible after the lag and after all earlier changes.
    pub fn change(&mut self, now: TimeMs, update: InstancesUpdate) {
        if let Some(lag_ms) = update.lag_ms {
            self.lag_ms = lag_ms;
        }
        self.pending.push_back((now.after(self.lag_ms), update));
    }

    /// Returns the visible instances in the order of their names.
    pub fn visible(&mut self, now: TimeMs) -> Vec<InstanceBody> {
        while let Some((_, update)) = self.pending.pop_front_if(|(due, _)| *due <= now) {
            self.apply(update);
        }
        self.visible.values().cloned().collect()
    }

    fn apply(&mut self, update: InstancesUpdate) {
        for instance in update.put {
            self.visible.insert(instance.name.clone(), instance);
        }
        for name in update.remove {
            self.visible.remove(&name);
        }
    }
}
