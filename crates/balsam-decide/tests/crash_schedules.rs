//! Tests with random schedules that a request that crashes upstreams is sent only a few more times
//! after the third crash, although daemons restart and datagrams are lost.

use balsam_decide::crashes::{
    Crash, CrashTracker, CrashedUpstream, Refused, TrackerInput, TrackerMessage, TrackerOutput,
};
use balsam_types::{Fingerprint, StartTime, TimeMs, UpstreamName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SCHEDULES: u64 = 400;
const DAEMONS: usize = 12;
const DURATION_MS: u64 = 40_000;
const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 250;

/// The time after which the limit applies to a daemon that has been running without a fault.
const STABLE_MS: u64 = 3_000;

/// The number of crashes after which the platform's limit requires that the request is refused.
const CRASHES_ALLOWED: usize = 3;

/// The number of attempts that the platform allows after that. Counts attempts of daemons that have
/// been running for [`STABLE_MS`], later than [`STABLE_MS`] after the last allowed crash.
const ATTEMPTS_AFTER_MAX: usize = 3;

/// The time without a leader after the leader has ended.
const ELECTION_MS: u64 = 1_600;

/// Fingerprint of the request that crashes every upstream that executes it.
const CRASHING_REQUEST: Fingerprint = Fingerprint(77);

/// An event that is scheduled for a later time.
enum Event {
    MessageArrives {
        from: usize,
        to: usize,
        message: TrackerMessage,
    },
    ConnectionEnds {
        at: usize,
        incarnation: u64,
        crash: Crash,
    },
    WriteEnds {
        at: usize,
        incarnation: u64,
        row: Vec<Refused>,
    },
    DaemonStarts(usize),
}

struct Daemon {
    tracker: CrashTracker,
    incarnation: u64,
    is_up: bool,
    started_at_ms: u64,
}

struct Simulation {
    rng: StdRng,
    now_ms: u64,
    daemons: Vec<Daemon>,
    leader: Option<usize>,
    election_at_ms: u64,
    row: Vec<Refused>,
    events: Vec<(u64, Event)>,
    loss_rate: f64,
    upstreams_crashed: u64,
    crashed_at_ms: Vec<u64>,
    attempts_after_limit: Vec<String>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let daemons = (0..DAEMONS).map(|_| Daemon {
            tracker: CrashTracker::new(),
            incarnation: 0,
            is_up: true,
            started_at_ms: 0,
        });
        let mut rng = StdRng::seed_from_u64(seed);
        let loss_rate = rng.random_range(0.0..0.3);
        Self {
            rng,
            now_ms: 0,
            daemons: daemons.collect(),
            leader: Some(0),
            election_at_ms: 0,
            row: Vec::new(),
            events: Vec::new(),
            loss_rate,
            upstreams_crashed: 0,
            crashed_at_ms: Vec::new(),
            attempts_after_limit: Vec::new(),
        }
    }

    fn schedule(&mut self, from_ms: u64, to_ms: u64, event: Event) {
        let at = self.now_ms + self.rng.random_range(from_ms..to_ms);
        self.events.push((at, event));
    }

    fn send(&mut self, from: usize, to: usize, message: TrackerMessage) {
        if from != to && !self.rng.random_bool(self.loss_rate) {
            self.schedule(1, 150, Event::MessageArrives { from, to, message });
        }
    }

    fn handle_input(&mut self, at: usize, from: Option<usize>, input: TrackerInput) {
        let is_leading = self.leader == Some(at);
        let daemon = &mut self.daemons[at];
        let (incarnation, now_ms) = (daemon.incarnation, TimeMs(self.now_ms));
        for output in daemon.tracker.handle(now_ms, is_leading, input) {
            match output {
                TrackerOutput::SendToLeader(message) => {
                    if let Some(leader) = self.leader {
                        self.send(at, leader, message);
                    }
                }
                TrackerOutput::Broadcast(message) => {
                    for to in 0..DAEMONS {
                        self.send(at, to, message.clone());
                    }
                }
                TrackerOutput::Reply(message) => {
                    let to = from.expect("a reply to the sender of a message");
                    self.send(at, to, message);
                }
                TrackerOutput::WriteRow(row) => self.schedule(
                    5,
                    60,
                    Event::WriteEnds {
                        at,
                        incarnation,
                        row,
                    },
                ),
                TrackerOutput::Notice(_) => {}
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::MessageArrives { from, to, message } if self.daemons[to].is_up => {
                self.handle_input(to, Some(from), TrackerInput::Heard(message));
            }
            Event::ConnectionEnds {
                at,
                incarnation,
                crash,
            } if self.daemons[at].incarnation == incarnation => {
                self.handle_input(at, None, TrackerInput::CrashedUpstream(crash));
            }
            Event::WriteEnds {
                at,
                incarnation,
                row,
            } if self.daemons[at].incarnation == incarnation => {
                let is_done = self.leader == Some(at);
                if is_done {
                    self.row = row;
                }
                self.handle_input(at, None, TrackerInput::RowWritten { is_done });
            }
            Event::DaemonStarts(at) => {
                self.daemons[at].is_up = true;
                self.daemons[at].started_at_ms = self.now_ms;
                let row = self.row.clone();
                self.handle_input(at, None, TrackerInput::RowRead(row));
            }
            Event::MessageArrives { .. }
            | Event::ConnectionEnds { .. }
            | Event::WriteEnds { .. } => {}
        }
    }

    fn stop(&mut self, at: usize) {
        if !self.daemons[at].is_up {
            return;
        }
        let daemon = &mut self.daemons[at];
        daemon.tracker = CrashTracker::new();
        daemon.incarnation += 1;
        daemon.is_up = false;
        self.schedule(200, 2_000, Event::DaemonStarts(at));
        if self.leader == Some(at) {
            self.leader = None;
            self.election_at_ms = self.now_ms + ELECTION_MS;
        }
    }

    /// Sends the request to a daemon. Unless the daemon is down or refuses it, another upstream
    /// crashes.
    fn send_request(&mut self, at: usize) {
        let daemon = &self.daemons[at];
        let suspects = daemon.tracker.suspects();
        if !daemon.is_up || suspects.refused_until(CRASHING_REQUEST).is_some() {
            return;
        }
        let (incarnation, is_stable) = (
            daemon.incarnation,
            self.now_ms >= daemon.started_at_ms + STABLE_MS,
        );
        let third_crash_at_ms = self.crashed_at_ms.get(CRASHES_ALLOWED - 1);
        if is_stable
            && third_crash_at_ms.is_some_and(|crash_at_ms| self.now_ms > crash_at_ms + STABLE_MS)
        {
            self.attempts_after_limit
                .push(format!("{} ms at daemon {at}", self.now_ms));
        }
        self.upstreams_crashed += 1;
        let took_ms = self.rng.random_range(1..80);
        let crash = Crash {
            fingerprint: CRASHING_REQUEST,
            upstream: CrashedUpstream {
                name: UpstreamName::new(format!("u{}", self.upstreams_crashed))
                    .expect("a valid name"),
                born: StartTime(self.upstreams_crashed),
            },
            took_ms,
            ended_ago_ms: 0,
        };
        self.crashed_at_ms.push(self.now_ms + took_ms);
        self.crashed_at_ms.sort_unstable();
        let ends_at_ms = self.now_ms + took_ms;
        self.events.push((
            ends_at_ms,
            Event::ConnectionEnds {
                at,
                incarnation,
                crash,
            },
        ));
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        let due = self.events.extract_if(.., |(at, _)| *at <= now_ms);
        let mut due: Vec<(u64, Event)> = due.collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, event) in due {
            self.handle_event(event);
        }
        if self.leader.is_none() && now_ms >= self.election_at_ms {
            self.leader = (0..DAEMONS).find(|at| self.daemons[*at].is_up);
        }
        if now_ms.is_multiple_of(TICK_MS) {
            for at in 0..DAEMONS {
                if self.daemons[at].is_up {
                    self.handle_input(at, None, TrackerInput::Tick);
                }
            }
        }
        if let Some(leader) = self.leader.filter(|_| now_ms.is_multiple_of(HEARTBEAT_MS)) {
            let digest = self.daemons[leader].tracker.suspects().digest();
            for at in (0..DAEMONS).filter(|at| *at != leader) {
                if self.daemons[at].is_up && !self.rng.random_bool(self.loss_rate) {
                    self.handle_input(at, None, TrackerInput::LeaderDigest(digest));
                }
            }
        }
    }

    fn run(&mut self) {
        while self.now_ms < DURATION_MS {
            self.step();
            if self.rng.random_bool(0.03) {
                // One or several callers at once retry the request, each at a random daemon.
                for _ in 0..self.rng.random_range(1..4) {
                    let at = self.rng.random_range(0..DAEMONS);
                    self.send_request(at);
                }
            }
            if self.rng.random_bool(0.006) {
                let at = self.rng.random_range(0..DAEMONS);
                self.stop(at);
            }
            if self.rng.random_bool(0.001) {
                for at in 0..DAEMONS {
                    self.stop(at);
                }
            }
            self.now_ms += STEP_MS;
        }
    }
}

/// Guards the platform's limit on attempts after the third crash, for daemons that have
/// been running for at least [`STABLE_MS`].
#[test]
fn poison_contained() {
    for seed in 0..SCHEDULES {
        let mut sim = Simulation::new(seed);
        sim.run();
        assert!(sim.crashed_at_ms.len() >= CRASHES_ALLOWED, "seed {seed}");
        assert!(
            sim.attempts_after_limit.len() <= ATTEMPTS_AFTER_MAX,
            "seed {seed}: sent too late at {:?}; {} crashes, loss rate {:.2}",
            sim.attempts_after_limit,
            sim.crashed_at_ms.len(),
            sim.loss_rate
        );
    }
}

/// Guards that no daemon goes on refusing a request that an upstream has served, although other
/// daemons and the row in the store still listed it.
#[test]
fn served_again() {
    for seed in 0..SCHEDULES {
        let mut sim = Simulation::new(seed);
        for _ in 0..4 {
            sim.send_request(1);
            sim.step();
            sim.now_ms += 200;
        }
        while sim.now_ms < 2_000 {
            sim.step();
            sim.now_ms += STEP_MS;
        }
        let is_refusing = |at: &usize| {
            let suspects = sim.daemons[*at].tracker.suspects();
            suspects.refused_until(CRASHING_REQUEST).is_some()
        };
        let at = (2..DAEMONS).find(is_refusing).unwrap_or(1);
        sim.handle_input(at, None, TrackerInput::Served(CRASHING_REQUEST));
        while sim.now_ms < 9_000 {
            sim.step();
            sim.now_ms += STEP_MS;
        }
        for (at, daemon) in sim.daemons.iter().enumerate() {
            let refused = daemon.tracker.suspects().refused_until(CRASHING_REQUEST);
            assert_eq!(refused, None, "seed {seed}, daemon {at}");
        }
    }
}
