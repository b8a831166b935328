//! Clusters of request paths whose control state is published by the test.

use balsam_daemon::control::decide::{ControlHandle, ControlInput};
use balsam_daemon::control::edge::{BootClock, Clock, TableClient, TableExchange};
use balsam_daemon::metrics;
use balsam_daemon::peer::{
    IncomingControl, ListenerHandle, PeerChannels, PeerSettings, start_client, start_listener,
};
use balsam_daemon::request::{RequestChannels, RequestHandles, RequestSettings, start};
use balsam_decide::control::{ControlState, Roster, ServicePlacement};
use balsam_decide::node::View;
use balsam_types::control::{DaemonInfo, UnitOwner, UpstreamInfo, UpstreamStatus};
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use balsam_types::{
    Epoch, Incarnation, RankName, ServiceName, TimeMs, UnitId, UpstreamName, ZoneName, new_set,
};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

const SLICES: u64 = 4;

/// Returns the current time on the lease clock.
pub fn now() -> TimeMs {
    BootClock.now()
}

/// The request path of one daemon.
#[derive(Debug)]
pub struct TestDaemon {
    /// The address for callers.
    pub caller: SocketAddr,
    /// Publishes views of the control state to the daemon.
    pub views: watch::Sender<Arc<View>>,
    /// The handles of the running request path.
    pub handles: Option<RequestHandles>,
    /// Receives the daemon's table operations.
    pub table: Option<mpsc::Receiver<TableExchange>>,
    /// Receives the daemon's messages to the control task.
    pub inputs: Option<mpsc::Receiver<ControlInput>>,
    /// The daemon's peer listener.
    pub listener: Option<ListenerHandle>,
    _incoming: mpsc::Receiver<IncomingControl>,
}

impl TestDaemon {
    /// Changes the daemon's view and publishes it.
    pub fn change(&self, change: impl FnOnce(&mut View)) {
        let mut view = View::clone(&self.views.borrow());
        change(&mut view);
        self.views.send_replace(Arc::new(view));
    }
}

/// Daemons that share one control state, which has a service `files` with one upstream.
#[derive(Debug)]
pub struct Cluster {
    /// The daemons. The first one is the entry daemon, and the last one is the dispatcher.
    pub daemons: Vec<TestDaemon>,
}

impl Cluster {
    /// Starts `count` daemons in front of one upstream that does not check grants.
    pub async fn start(count: u64, upstream: SocketAddr) -> Self {
        Self::start_with(count, upstream, |_| {}).await
    }

    /// Starts daemons like [`Cluster::start`], with settings changed by `configure`.
    pub async fn start_with(
        count: u64,
        upstream: SocketAddr,
        configure: impl Fn(&mut RequestSettings),
    ) -> Self {
        let mut started = Vec::new();
        for _ in 0..count {
            started.push(start_daemon(&configure).await);
        }
        let peers: Vec<SocketAddr> = started
            .iter()
            .map(|daemon| daemon.listener.as_ref().expect("a listener").address)
            .collect();
        let state = Arc::new(state(&peers, upstream));
        for (number, daemon) in started.iter().enumerate() {
            daemon.change(|view| {
                view.state = Arc::clone(&state);
                view.me = Incarnation(number as u64 + 1);
                view.lease_until = now().after(600_000);
                view.joined = true;
            });
        }
        Self { daemons: started }
    }

    /// Returns the daemon that callers connect to.
    pub fn entry(&self) -> &TestDaemon {
        &self.daemons[0]
    }

    /// Returns the daemon that dispatches to the upstream.
    pub fn dispatcher(&self) -> &TestDaemon {
        &self.daemons[self.daemons.len() - 1]
    }

    /// Changes and publishes the view of every daemon.
    pub fn change_all(&self, change: impl Fn(&mut View)) {
        for daemon in &self.daemons {
            daemon.change(&change);
        }
    }
}

/// Sets the maximum length of request bodies, in bytes.
pub fn set_body_max(view: &mut View, max_bytes: u64) {
    let edit = NodeEdit::new(NodePath::Root, Epoch(0))
        .with_value(SettingKey::BodyMaxBytes, SettingValue::Number(max_bytes));
    let state = Arc::make_mut(&mut view.state);
    let settings = Arc::make_mut(&mut state.settings);
    settings.apply(Epoch(1), &[edit]).expect("settings");
}

async fn start_daemon(configure: &impl Fn(&mut RequestSettings)) -> TestDaemon {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (control, incoming) = mpsc::channel(16);
    let (relay_sender, relays) = mpsc::channel(64);
    let channels = PeerChannels {
        control,
        relays: relay_sender,
    };
    let peer_settings = PeerSettings::new("secret");
    let listener = start_listener(any_port, peer_settings.clone(), channels).await;
    let (views, receiver) = watch::channel(Arc::new(empty_view()));
    let (input_sender, inputs) = mpsc::channel(1_024);
    let (table_sender, table) = mpsc::channel(64);
    let mut settings = RequestSettings::new(any_port);
    settings.grace_ms = 200;
    settings.keep_alive_ms = 1_000;
    configure(&mut settings);
    let (metrics, _) = metrics::start().expect("instruments");
    let channels = RequestChannels {
        control: ControlHandle::new(input_sender, receiver.clone()),
        table: TableClient::new(table_sender),
        peers: start_client(&peer_settings),
        relays,
        metrics,
    };
    let handles = start(settings, receiver, channels).await;
    let handles = handles.expect("a free port on loopback");
    TestDaemon {
        caller: handles.caller_address,
        views,
        handles: Some(handles),
        table: Some(table),
        inputs: Some(inputs),
        listener: Some(listener.expect("a free port on loopback")),
        _incoming: incoming,
    }
}

fn empty_view() -> View {
    View {
        state: Arc::new(ControlState::new()),
        me: Incarnation(0),
        lease_until: TimeMs(0),
        joined: false,
        suspected: new_set(),
        draining: new_set(),
        granted: new_set(),
        peers: Vec::new(),
        table_ok: true,
    }
}

fn state(peers: &[SocketAddr], upstream: SocketAddr) -> ControlState {
    let mut state = ControlState::new();
    state.epoch = Epoch(1);
    let zone = ZoneName::new("z1").expect("a name");
    for (number, peer_address) in peers.iter().enumerate() {
        let incarnation = Incarnation(number as u64 + 1);
        let daemon = DaemonInfo {
            incarnation,
            peer_address: *peer_address,
            zone: zone.clone(),
        };
        state.daemons.insert(incarnation, daemon);
    }
    state.open_rosters.push(Roster {
        since: Epoch(1),
        members: state.daemons.keys().copied().collect(),
    });
    let service = ServiceName::new("files").expect("a name");
    Arc::make_mut(&mut state.settings)
        .apply(Epoch(1), &settings(&service))
        .expect("settings");
    let name = UpstreamName::new("u1").expect("a name");
    state.upstreams.insert(
        name.clone(),
        UpstreamInfo {
            name: name.clone(),
            service: service.clone(),
            zone,
            address: upstream,
            slots: 2,
            connections: 8,
            checks_grants: false,
            status: UpstreamStatus::Active,
            drained_by_operator: false,
            dispatcher: Some(Incarnation(peers.len() as u64)),
        },
    );
    let mut placement = ServicePlacement::default();
    for unit in 0..SLICES {
        let owner = UnitOwner::Owned(name.clone());
        placement.units.insert(UnitId(unit), owner);
    }
    state.services.insert(service, Arc::new(placement));
    state
}

fn settings(service: &ServiceName) -> Vec<NodeEdit> {
    let rank = |name| {
        let rank = RankName::new(name).expect("a name");
        NodeEdit::new(NodePath::Rank(service.clone(), rank), Epoch(0))
    };
    let number = SettingValue::Number;
    vec![
        NodeEdit::new(NodePath::Service(service.clone()), Epoch(0))
            .with_value(SettingKey::Slices, number(SLICES)),
        rank("lookup").with_value(SettingKey::DeadlineMs, number(5_000)),
        rank("order")
            .with_value(SettingKey::DeadlineMs, number(5_000))
            .with_value(SettingKey::Orders, SettingValue::Flag(true)),
    ]
}
