//! Probes keys before and after a loss.

use crate::harness::{Client, Sent};
use crate::measure::MeasureError;
use balsam_wire::upstream::headers;
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Probed keys, which fall on all upstreams.
const KEYS: usize = 48;
/// Pause between two probes of a key; it bounds the precision of the result.
const PERIOD: Duration = Duration::from_millis(100);
/// Deadline of a probe. Probes of one key overlap, so a waiting one hides no later success.
const PROBE_DEADLINE_MS: u64 = 400;
/// Time that keys are probed before the loss.
const BEFORE: Duration = Duration::from_secs(1);
/// Time that keys are probed after it; more than three times the bound.
const AFTER: Duration = Duration::from_secs(10);

/// How long keys were not served after a loss.
#[derive(Clone, Debug, Default)]
pub(super) struct Outage {
    /// Probed keys.
    pub keys: usize,
    /// For each key with a failed probe, the time from the loss until it was served again.
    pub affected_s: Vec<f64>,
    /// Keys whose last probe failed.
    pub never_served: usize,
}

impl Outage {
    /// Returns the longest time of a key.
    pub fn longest_s(&self) -> f64 {
        self.affected_s.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the mean time of the affected keys.
    pub fn mean_s(&self) -> f64 {
        self.affected_s.iter().sum::<f64>() / self.affected_s.len().max(1) as f64
    }
}

/// One probe: when it was sent, when it ended and whether it was served.
#[derive(Clone, Copy, Debug)]
struct Probe {
    sent: Instant,
    ended: Instant,
    served: bool,
}

/// Probes the keys of a service, causes the loss and returns how long keys were not served.
pub(super) async fn probe(
    callers: SocketAddr,
    service: &str,
    cause: impl FnOnce() -> Result<(), MeasureError>,
) -> Result<Outage, MeasureError> {
    let until = Instant::now() + BEFORE + AFTER;
    let probing = join_all((0..KEYS).map(|key| probe_key(callers, service, key, until)));
    let losing = async {
        actix_rt::time::sleep(BEFORE).await;
        let lost_at = Instant::now();
        cause().map(|()| lost_at)
    };
    let (probes, lost_at) = futures_util::future::join(probing, losing).await;
    Ok(outage(&probes, lost_at?))
}

async fn probe_key(callers: SocketAddr, service: &str, key: usize, until: Instant) -> Vec<Probe> {
    let timeout = Duration::from_millis(2 * PROBE_DEADLINE_MS);
    let client = Client::new(callers, timeout);
    let mut running = tokio::task::JoinSet::new();
    // Keys are probed at different moments of the period.
    actix_rt::time::sleep(PERIOD * key as u32 / KEYS as u32).await;
    for number in 0_u64.. {
        if Instant::now() >= until {
            break;
        }
        // Equal requests would be quarantined once a killed upstream has broken three of them.
        let sent = Sent::get(format!("/{service}/probe-{key}/{number}"))
            .with_header(headers::DEADLINE_MS, PROBE_DEADLINE_MS);
        let client = client.clone();
        running.spawn_local(async move {
            let begun = Instant::now();
            let answer = client.send(sent).await;
            Probe {
                sent: begun,
                ended: Instant::now(),
                served: answer.is_ok_and(|answer| answer.status == 200 && answer.complete),
            }
        });
        actix_rt::time::sleep(PERIOD).await;
    }
    let mut probes = Vec::new();
    while let Some(probe) = running.join_next().await {
        probes.extend(probe);
    }
    probes
}

fn outage(probes: &[Vec<Probe>], lost_at: Instant) -> Outage {
    let mut outage = Outage {
        keys: probes.len(),
        ..Outage::default()
    };
    for of_key in probes {
        let failed = of_key
            .iter()
            .filter(|probe| !probe.served && probe.ended > lost_at);
        let Some(last_failed) = failed.map(|probe| probe.sent).max() else {
            continue;
        };
        let later = of_key
            .iter()
            .filter(|probe| probe.served && probe.sent > last_failed);
        let served = later.map(|probe| probe.ended).min();
        if served.is_none() {
            outage.never_served += 1;
        }
        let last = of_key.iter().map(|probe| probe.ended).max();
        let ended = served.or(last).unwrap_or(lost_at + AFTER);
        outage.affected_s.push((ended - lost_at).as_secs_f64());
    }
    outage
}
