//! Shares what the daemons know of requests that crash upstreams.

use super::lines::ControlLine;
use super::task::ControlTask;
use crate::clock::now;
use crate::peer::PeerMessage;
use balsam_decide::crashes::{Crash, CrashCount, Crashed};
use balsam_types::{Fingerprint, TimeMs};
use std::net::SocketAddr;
use std::sync::Arc;

impl ControlTask {
    /// Notes that an upstream's connection ended under a request, here or at another daemon.
    pub(super) fn suspect(&mut self, crash: Crash) {
        let count = self.suspects.crashed(now(), &crash);
        if count != CrashCount::Counted {
            return ControlLine::CrashIgnored {
                fingerprint: crash.fingerprint.to_string(),
                crashed: &crash.upstream.name,
                born: crash.upstream.born.0,
                took_ms: crash.took_ms,
                reason: count.as_str(),
            }
            .write();
        }
        self.note_suspect(crash.fingerprint, &crash.upstream, "crash");
        if self.assigner.is_leading() {
            self.share_suspect(crash.fingerprint);
        } else {
            self.send(self.leader_address(), PeerMessage::Crash(crash));
        }
    }

    /// Takes over what the leader knows of a request.
    pub(super) fn hear_suspect(&mut self, fingerprint: Fingerprint, crashed: Vec<Crashed>) {
        let Some(last) = crashed.last().cloned() else {
            return;
        };
        self.suspects.told(now(), fingerprint, crashed);
        self.note_suspect(fingerprint, &last, "leader");
    }

    /// Notes that an upstream has served a request, here or at another daemon.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        let crashes = self.suspects.crashes(fingerprint);
        let is_shared = self.suspects.to_share(fingerprint).is_some();
        if !self.suspects.served(fingerprint) {
            return;
        }
        self.has_new_suspects = true;
        ControlLine::SuspectCleared {
            fingerprint: fingerprint.to_string(),
            crashes,
        }
        .write();
        let cleared = PeerMessage::Cleared(fingerprint);
        if !self.assigner.is_leading() {
            self.send(self.leader_address(), cleared);
        } else if is_shared {
            let peers = self.book.peers(now(), self.me.address);
            self.send(peers, cleared);
        }
    }

    /// Publishes the suspects if they have changed.
    pub(super) fn publish_suspects(&mut self, now: TimeMs) {
        let has_expired = self.suspects.expire(now);
        if std::mem::take(&mut self.has_new_suspects) || has_expired {
            let suspects = self.suspects.list();
            let refused = suspects.refused();
            self.metrics
                .suspects(refused, self.suspects.len() - refused);
            self.view.suspects = Arc::new(suspects);
            self.publish();
        }
    }

    fn note_suspect(&mut self, fingerprint: Fingerprint, crashed: &Crashed, source: &'static str) {
        self.has_new_suspects = true;
        let refused_until = self.suspects.refused_until(fingerprint);
        ControlLine::Suspect {
            fingerprint: fingerprint.to_string(),
            crashed: &crashed.name,
            crashes: self.suspects.crashes(fingerprint),
            source,
            refused_ms: refused_until.map(|until| until.since(now())),
        }
        .write();
        if refused_until.is_some() {
            self.publish_suspects(now());
        }
    }

    fn share_suspect(&mut self, fingerprint: Fingerprint) {
        let Some(crashed) = self.suspects.to_share(fingerprint) else {
            return;
        };
        let crashed = crashed.to_vec();
        let peers = self.book.peers(now(), self.me.address);
        let message = PeerMessage::Suspect {
            fingerprint,
            crashed,
        };
        self.send(peers, message);
    }

    fn leader_address(&self) -> Vec<SocketAddr> {
        let leader = self.assigner.leader();
        leader.map(|leader| leader.address).into_iter().collect()
    }
}
