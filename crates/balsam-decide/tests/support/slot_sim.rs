//! A simulation of one dispatcher and its upstream.

use crate::support::{member, rank};
use balsam_decide::dispatch::{
    Dispatch, DispatchInput, DispatchOutput, DispatchPolicy, QueuedRequest, SlotResult, Ticket,
};
use balsam_types::{KeyHash, TimeMs, UnitId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The requests that one member sends in one rank.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// The rank.
    pub rank: &'static str,
    /// The member.
    pub member: &'static str,
    /// The offered load, as the mean number of busy slots.
    pub offered_slots: f64,
    /// The mean service time in milliseconds.
    pub service_ms: f64,
    /// The time from arrival to deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// The results of the requests of one source.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// The number of requests sent.
    pub sent: u64,
    /// The number of requests served by their deadline.
    pub served: u64,
    /// The slot time of requests served by their deadline, in milliseconds.
    pub useful_ms: u64,
    /// The slot time of all requests that have ended, in milliseconds.
    pub used_ms: u64,
}

impl Tally {
    /// Returns the share of requests served by their deadline.
    pub fn success(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }

    /// Returns the sum of two tallies.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            useful_ms: self.useful_ms + other.useful_ms,
            used_ms: self.used_ms + other.used_ms,
        }
    }
}

/// A request that has not ended yet.
struct PendingRequest {
    source: usize,
    deadline: u64,
    started: u64,
}

/// Sends the requests of `sources` to one dispatcher for `duration_ms`; returns the tally of each
/// source.
pub fn simulate(
    policy: DispatchPolicy,
    sources: &[Source],
    duration_ms: u64,
    seed: u64,
) -> Vec<Tally> {
    let mut random = StdRng::seed_from_u64(seed);
    let slots = policy.slots as usize;
    let mut dispatch = Dispatch::new(Arc::new(policy));
    let mut tallies = vec![Tally::default(); sources.len()];
    let mut sent: BTreeMap<Ticket, PendingRequest> = BTreeMap::new();
    let mut ends: BTreeMap<u64, Vec<Ticket>> = BTreeMap::new();
    let mut next_ticket = 0;
    let mut wake = None;
    for now in 0..duration_ms {
        let mut inputs: Vec<DispatchInput> = Vec::new();
        for ticket in ends.remove(&now).unwrap_or_default() {
            let request = sent.remove(&ticket).expect("running request");
            let tally = &mut tallies[request.source];
            tally.used_ms += now - request.started;
            if now <= request.deadline {
                tally.served += 1;
                tally.useful_ms += now - request.started;
            }
            let result = SlotResult::Served;
            inputs.push(DispatchInput::Finished { ticket, result });
        }
        for (at, source) in sources.iter().enumerate() {
            let mut expected = source.offered_slots / source.service_ms;
            while expected > 0.0 {
                if random.random::<f64>() < expected.min(1.0) {
                    let ticket = Ticket(next_ticket);
                    next_ticket += 1;
                    let deadline = now + source.deadline_ms;
                    tallies[at].sent += 1;
                    let request = PendingRequest {
                        source: at,
                        deadline,
                        started: 0,
                    };
                    sent.insert(ticket, request);
                    inputs.push(DispatchInput::Enqueue(QueuedRequest {
                        ticket,
                        rank: rank(source.rank),
                        member: member(source.member),
                        unit: UnitId(ticket.0 % 64),
                        key: KeyHash(ticket.0 % 64),
                        deadline: TimeMs(deadline),
                    }));
                }
                expected -= 1.0;
            }
        }
        if wake.is_some_and(|at| at <= TimeMs(now)) {
            inputs.push(DispatchInput::Tick);
        }
        for input in inputs {
            for output in dispatch.handle(TimeMs(now), input) {
                match output {
                    DispatchOutput::Start { ticket } => {
                        let request = sent.get_mut(&ticket).expect("known request");
                        request.started = now;
                        let mean = sources[request.source].service_ms;
                        // Half of the service time is fixed, the other half is exponential.
                        let tail = -(1.0 - random.random::<f64>()).ln();
                        let service_ms = (mean * (0.5 + 0.5 * tail)).round().max(1.0);
                        ends.entry(now + service_ms as u64)
                            .or_default()
                            .push(ticket);
                    }
                    DispatchOutput::Refuse { ticket, .. } => {
                        sent.remove(&ticket);
                    }
                }
            }
            assert!(dispatch.running() <= slots, "more requests than slots");
        }
        wake = dispatch.next_wake(TimeMs(now));
    }
    tallies
}
