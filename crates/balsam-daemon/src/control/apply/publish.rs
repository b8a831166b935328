//! The channel that publishes the view to the request path.

use balsam_decide::control::ControlState;
use balsam_decide::node::View;
use balsam_types::{Incarnation, TimeMs, new_set};
use std::sync::Arc;
use tokio::sync::watch;

/// Returns the view of a daemon that has not read the table yet.
pub fn empty_view(me: Incarnation) -> View {
    View {
        state: Arc::new(ControlState::new()),
        me,
        lease_until: TimeMs(0),
        joined: false,
        suspected: new_set(),
        draining: new_set(),
        granted: new_set(),
        peers: Vec::new(),
        table_ok: false,
    }
}

/// Owns the sender of the channel of views.
#[derive(Debug)]
pub struct Publisher {
    views: watch::Sender<Arc<View>>,
}

impl Publisher {
    /// Creates a publisher, and a receiver whose first view is that of daemon `me` before it has read
    /// the table.
    pub fn new(me: Incarnation) -> (Self, watch::Receiver<Arc<View>>) {
        let (views, receiver) = watch::channel(Arc::new(empty_view(me)));
        (Self { views }, receiver)
    }

    /// Replaces the published view.
    pub fn publish(&self, view: Arc<View>) {
        self.views.send_replace(view);
    }
}
