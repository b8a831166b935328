//! Plays deployments in which daemons send each other what they have read from the store, over
//! messages that are lost, late or out of order. Whatever happens, a daemon that serves requests
//! knows every change that is older than the bound.

use balsam_decide::feed::{
    Feed, FeedReading, FeedSource, FeedState, FeedTable, FeedTiming, StoreResponse, StoreTimeMs,
};
use balsam_decide::peers::relay_groups;
use balsam_types::TimeMs;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};

const TABLE: FeedTable = FeedTable::Upstreams;

const BOUND_MS: u64 = 3_000;

const STEP_MS: u64 = 20;

const LENGTH_MS: u64 = 20_000;

/// Interval of the leader's heartbeats and of its calls to the store.
const HEARTBEAT_MS: u64 = 240;

/// Interval between two changes while there are none in a burst.
const CHANGE_INTERVAL_MS: u64 = 2_500;

/// Number of changes of a burst, one a step.
const BURST_CHANGES: u64 = 40;

/// How long ago a daemon may have run to pass messages on.
const RELAY_TIMEOUT_MS: u64 = 2_500;

/// When relays fail, just before the burst of changes.
const RELAYS_FAIL_AT_MS: u64 = LENGTH_MS / 2 - 200;

/// Length of a turn of relays.
const TURN_MS: u64 = 250;

/// How long relays stay frozen.
const FREEZE_MS: u64 = 4_000;

/// A message from one daemon to another.
#[derive(Clone, Debug)]
enum Message {
    Heartbeat(FeedState),
    Reading(FeedReading),
    Delta {
        base: u64,
        version: u64,
    },
    /// A message that the receiver takes as its own and passes on.
    Relay {
        receivers: Vec<usize>,
        message: Box<Message>,
    },
}

/// The way of messages from the daemon that broadcasts them to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Passing {
    /// The sender sends to each receiver itself.
    Direct,
    /// Other daemons pass messages on, in turns.
    Relayed,
    /// As [`Self::Relayed`], but all relays drop what they should pass on, for the turns that
    /// begin in the time of one.
    TurnCut,
    /// As [`Self::Relayed`], but a tenth of the daemons freeze, and pass on late what has waited
    /// for them.
    RelaysFreeze,
    /// As [`Self::Relayed`], but a tenth of the daemons leave without notice.
    RelaysLeave,
}

impl Passing {
    /// Returns whether a daemon is frozen or gone.
    fn has_stopped(self, index: usize, at_ms: u64) -> bool {
        let stopped_until = match self {
            Self::Direct | Self::Relayed | Self::TurnCut => return false,
            Self::RelaysFreeze => RELAYS_FAIL_AT_MS + FREEZE_MS,
            Self::RelaysLeave => LENGTH_MS,
        };
        index % 10 == 8 && (RELAYS_FAIL_AT_MS..stopped_until).contains(&at_ms)
    }

    /// Returns whether relays drop what they should pass on.
    fn is_cut(self, at_ms: u64) -> bool {
        let cut = RELAYS_FAIL_AT_MS..RELAYS_FAIL_AT_MS + 2 * TURN_MS;
        self == Self::TurnCut && cut.contains(&at_ms)
    }
}

/// How a schedule treats messages and daemons.
#[derive(Clone, Copy, Debug)]
struct Faults {
    loss: f64,
    delay_max_ms: u64,
    /// Longest time for which a daemon's control path gets no processor time.
    starved_max_ms: u64,
    /// Whether the store turns the leader away in the second quarter.
    is_leader_refused: bool,
    /// Whether another daemon becomes the leader in the third quarter.
    has_new_leader: bool,
    passing: Passing,
}

#[derive(Debug)]
struct Daemon {
    feed: Feed,
    /// How far this daemon's clock is ahead of the store's.
    clock_ahead_ms: u64,
    starved_until: u64,
    /// When the daemon last had processor time.
    ran_at: u64,
    inbox: Vec<(u64, Message)>,
    /// The times at which a call for each table was sent and will be answered.
    calls: [Option<(u64, u64)>; 2],
    /// The version of the table that requests are served by.
    applied: u64,
    /// Whether the last call has failed.
    failed: bool,
    /// Until when requests are served, as the control path has last published it.
    serves_until: TimeMs,
}

impl Daemon {
    fn now(&self, at_ms: u64) -> TimeMs {
        TimeMs(at_ms + self.clock_ahead_ms)
    }
}

struct World {
    rng: StdRng,
    faults: Faults,
    daemons: Vec<Daemon>,
    leader: usize,
    /// Times and versions of all changes.
    changes: Vec<(u64, u64)>,
    served_steps: u64,
}

impl World {
    fn new(seed: u64, count: usize, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut daemon = |index: usize| {
            let clock_ahead_ms = rng.random_range(0..1_000_000);
            let now = TimeMs(clock_ahead_ms);
            let turn = (index * 1_000 / count) as u64;
            let timing = FeedTiming::new(BOUND_MS);
            let mut feed = Feed::new().with_turn(turn).with_timing(timing);
            feed.set_daemons(count as u32);
            for table in FeedTable::ALL {
                feed.record_response(now, table, response(now, 0, 1, true));
            }
            Daemon {
                serves_until: feed.serves_until(now),
                feed,
                clock_ahead_ms,
                starved_until: 0,
                ran_at: 0,
                inbox: Vec::new(),
                calls: [None; 2],
                applied: 1,
                failed: false,
            }
        };
        Self {
            daemons: (0..count).map(&mut daemon).collect(),
            rng,
            faults,
            leader: count / 2,
            changes: vec![(0, 1)],
            served_steps: 0,
        }
    }

    fn version_at(&self, at_ms: u64) -> u64 {
        let known = self.changes.iter().rev().find(|(at, _)| *at <= at_ms);
        known.map_or(0, |(_, version)| *version)
    }

    fn play(&mut self) {
        for at_ms in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            let is_burst =
                (LENGTH_MS / 2..LENGTH_MS / 2 + BURST_CHANGES * STEP_MS).contains(&at_ms);
            if is_burst || at_ms.is_multiple_of(CHANGE_INTERVAL_MS) {
                let version = self.version_at(at_ms) + 1;
                self.changes.push((at_ms, version));
            }
            if self.faults.has_new_leader && at_ms == LENGTH_MS * 5 / 8 {
                self.leader = 3;
            }
            for index in 0..self.daemons.len() {
                self.starve(index, at_ms);
                let has_stopped = self.faults.passing.has_stopped(index, at_ms);
                if !has_stopped && self.daemons[index].starved_until <= at_ms {
                    self.run(index, at_ms);
                }
                self.check(index, at_ms);
            }
        }
    }

    fn starve(&mut self, index: usize, at_ms: u64) {
        if self.faults.starved_max_ms > 0 && self.rng.random_bool(0.001) {
            let starved_ms = self.rng.random_range(0..self.faults.starved_max_ms);
            self.daemons[index].starved_until = at_ms + starved_ms;
        }
    }

    /// Lets a daemon handle what has arrived, and call the store and broadcast as it decides.
    fn run(&mut self, index: usize, at_ms: u64) {
        let is_leading = index == self.leader;
        let is_refused = is_leading
            && self.faults.is_leader_refused
            && (LENGTH_MS / 4..LENGTH_MS / 2).contains(&at_ms);
        let now = self.daemons[index].now(at_ms);
        self.daemons[index].ran_at = at_ms;
        self.receive(index, at_ms);
        for (number, table) in FeedTable::ALL.into_iter().enumerate() {
            let daemon = &mut self.daemons[index];
            match daemon.calls[number] {
                Some((asked_at, answered_at)) if answered_at <= at_ms => {
                    daemon.calls[number] = None;
                    daemon.failed = is_refused;
                    if is_refused {
                        daemon.feed.record_failure(now, table);
                    } else {
                        self.answered(index, at_ms, table, (asked_at, answered_at));
                    }
                }
                Some(_) => {}
                None => {
                    let is_due = is_leading && at_ms.is_multiple_of(HEARTBEAT_MS)
                        || !is_leading && daemon.feed.source(now, table) == FeedSource::Store;
                    let takes_ms = self.rng.random_range(5..100);
                    self.daemons[index].calls[number] = is_due.then_some((at_ms, at_ms + takes_ms));
                }
            }
        }
        if is_leading && at_ms.is_multiple_of(HEARTBEAT_MS) {
            let state = self.daemons[index].feed.state(now);
            self.send(index, at_ms, &Message::Heartbeat(state));
        }
        if let Some(reading) = self.daemons[index].feed.take_broadcast(now, is_leading) {
            self.send(index, at_ms, &Message::Reading(reading));
        }
        let daemon = &mut self.daemons[index];
        daemon.serves_until = daemon.feed.serves_until(now);
    }

    fn answered(&mut self, index: usize, at_ms: u64, table: FeedTable, call: (u64, u64)) {
        let (asked_at, answered_at) = call;
        let is_leading = index == self.leader;
        let version = self.version_at(answered_at);
        let daemon = &mut self.daemons[index];
        let now = daemon.now(at_ms);
        let asked_at = daemon.now(asked_at);
        let base = daemon.feed.seen(table).unwrap_or_default();
        let has_changes = table == TABLE && base < version;
        let response = response(asked_at, answered_at, version, has_changes);
        daemon.feed.record_response(now, table, response);
        if has_changes {
            daemon.applied = version;
        }
        if has_changes && daemon.feed.broadcasts_changes(is_leading) {
            self.send(index, at_ms, &Message::Delta { base, version });
        }
    }

    fn receive(&mut self, index: usize, at_ms: u64) {
        let daemon = &mut self.daemons[index];
        let now = daemon.now(at_ms);
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            daemon.inbox.drain(..).partition(|(at, _)| *at <= at_ms);
        daemon.inbox = waiting;
        for (_, message) in arrived {
            let message = match message {
                Message::Relay { receivers, message } => {
                    if !self.faults.passing.is_cut(at_ms) {
                        self.send_to_all(&receivers, at_ms, &message);
                    }
                    *message
                }
                message => message,
            };
            let daemon = &mut self.daemons[index];
            match message {
                Message::Heartbeat(state) => daemon.feed.heard(now, state),
                Message::Reading(reading) => daemon.feed.record_peer_reading(now, reading),
                Message::Delta { base, version } => {
                    if daemon.feed.accept_delta(now, TABLE, base, version) {
                        daemon.applied = version;
                    }
                }
                Message::Relay { .. } => unreachable!("passed on twice"),
            }
        }
    }

    /// Sends a message to all other daemons, over relays if there are any.
    fn send(&mut self, from: usize, at_ms: u64, message: &Message) {
        let receivers: Vec<usize> = (0..self.daemons.len()).filter(|to| *to != from).collect();
        if self.faults.passing == Passing::Direct {
            return self.send_to_all(&receivers, at_ms, message);
        }
        let is_recent = |to: &&usize| at_ms - self.daemons[**to].ran_at <= RELAY_TIMEOUT_MS;
        let candidates = receivers.iter().filter(is_recent).copied().map(address);
        let candidates: Vec<SocketAddr> = candidates.collect();
        let receivers: Vec<SocketAddr> = receivers.into_iter().map(address).collect();
        let groups = relay_groups(TimeMs(at_ms), &receivers, &candidates);
        for group in groups.expect("enough daemons") {
            let passed_on = Message::Relay {
                receivers: group.receivers.into_iter().map(index_of).collect(),
                message: Box::new(message.clone()),
            };
            self.send_to_all(&[index_of(group.relay)], at_ms, &passed_on);
        }
    }

    fn send_to_all(&mut self, receivers: &[usize], at_ms: u64, message: &Message) {
        for index in receivers {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let delay_ms = self.rng.random_range(5..=self.faults.delay_max_ms);
            let arrival = (at_ms + delay_ms, message.clone());
            self.daemons[*index].inbox.push(arrival);
        }
    }

    /// Checks that a daemon that serves requests knows all changes that are older than the bound.
    fn check(&mut self, index: usize, at_ms: u64) {
        let daemon = &self.daemons[index];
        if daemon.serves_until <= daemon.now(at_ms) {
            return;
        }
        self.served_steps += 1;
        // A daemon that the store turns away goes on with what it knows.
        if daemon.failed {
            return;
        }
        let applied = daemon.applied;
        let required = self.version_at(at_ms.saturating_sub(BOUND_MS));
        assert!(
            applied >= required,
            "daemon {index} serves by version {applied} at {at_ms} ms, {required} is older than the bound"
        );
    }
}

/// Returns the address of a daemon.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, index as u16 + 1))
}

/// Returns the daemon at an address.
fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn response(asked_at: TimeMs, answered_at: u64, version: u64, has_changes: bool) -> StoreResponse {
    StoreResponse {
        asked_at,
        store_now: StoreTimeMs(answered_at),
        version,
        has_changes,
    }
}

const CALM: Faults = Faults {
    loss: 0.0,
    delay_max_ms: 50,
    starved_max_ms: 0,
    is_leader_refused: false,
    has_new_leader: false,
    passing: Passing::Direct,
};

/// Guards the promise under each fault, and that it does not cost the callers: outside starvation
/// nearly all of the time is served.
#[rstest]
#[case::calm(CALM, 0.999)]
#[case::lossy(Faults { loss: 0.3, ..CALM }, 0.99)]
#[case::late(Faults { delay_max_ms: 4_000, ..CALM }, 0.99)]
#[case::refused(Faults { is_leader_refused: true, ..CALM }, 0.99)]
#[case::replaced(Faults { has_new_leader: true, loss: 0.1, ..CALM }, 0.99)]
#[case::starved(Faults { starved_max_ms: 6_000, ..CALM }, 0.7)]
#[case::all(
    Faults {
        loss: 0.2,
        delay_max_ms: 2_000,
        starved_max_ms: 4_000,
        is_leader_refused: true,
        has_new_leader: true,
        passing: Passing::Direct,
    },
    0.7
)]
#[case::relayed(Faults { passing: Passing::Relayed, ..CALM }, 0.999)]
#[case::lossy_relays(Faults { passing: Passing::Relayed, loss: 0.3, ..CALM }, 0.99)]
#[case::late_relays(Faults { passing: Passing::Relayed, delay_max_ms: 2_000, ..CALM }, 0.99)]
#[case::turn_cut(Faults { passing: Passing::TurnCut, ..CALM }, 0.99)]
#[case::relays_freeze(Faults { passing: Passing::RelaysFreeze, ..CALM }, 0.95)]
#[case::relays_leave(Faults { passing: Passing::RelaysLeave, ..CALM }, 0.95)]
#[case::all_relayed(
    Faults {
        loss: 0.2,
        delay_max_ms: 2_000,
        starved_max_ms: 4_000,
        is_leader_refused: true,
        has_new_leader: true,
        passing: Passing::RelaysFreeze,
    },
    0.7
)]
fn current_while_serving(#[case] faults: Faults, #[case] served_min: f64) {
    for seed in 0..3 {
        let mut world = World::new(seed, 295, faults);
        world.play();
        let steps = (LENGTH_MS / STEP_MS - 1) * world.daemons.len() as u64;
        let served = world.served_steps as f64 / steps as f64;
        assert!(served >= served_min, "seed {seed}: served {served}");
    }
}
