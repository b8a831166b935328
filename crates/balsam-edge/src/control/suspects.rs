//! Shares observations of requests that crash upstreams between the daemons.

use super::events::ControlEvent;
use super::task::ControlTask;
use crate::clock::now;
use crate::peer::PeerMessage;
use balsam_decide::crashes::{TrackerInput, TrackerMessage, TrackerNotice, TrackerOutput};
use std::net::SocketAddr;
use std::sync::Arc;

impl ControlTask {
    /// Passes an input to the crash tracker and executes its outputs. `from` is the daemon that
    /// sent the input, if any.
    pub(super) fn watch(&mut self, from: Option<SocketAddr>, input: TrackerInput) {
        let is_leading = self.assigner.is_leading();
        let is_tick = matches!(input, TrackerInput::Tick);
        let refused = self.watch.suspects().digest();
        for output in self.watch.handle(now(), is_leading, input) {
            match output {
                TrackerOutput::SendToLeader(message) => {
                    let leader = self.assigner.leader();
                    let leader = leader.map(|leader| leader.address);
                    self.notify(leader.into_iter().collect(), message);
                }
                TrackerOutput::Broadcast(message) => {
                    let peers = self.peer_registry.peers(now(), self.this_daemon.address);
                    self.notify(peers, message);
                }
                TrackerOutput::Reply(message) => self.notify(from.into_iter().collect(), message),
                TrackerOutput::WriteRow(refused) => {
                    let lead = self.assigner.lead_version();
                    self.executor.write_refused(lead, refused);
                }
                TrackerOutput::Notice(notice) => self.log_notice(&notice),
            }
        }
        // A change of the refused requests is published at once. Requests that are only suspected
        // can wait for the next tick: their publication only saves work, and some faults bring
        // hundreds of them.
        if is_tick || refused != self.watch.suspects().digest() {
            self.publish_suspects();
        }
    }

    fn notify(&self, targets: Vec<SocketAddr>, message: TrackerMessage) {
        if !targets.is_empty() {
            self.send(targets, PeerMessage::Watch(message));
        }
    }

    fn publish_suspects(&mut self) {
        if let Some(suspects) = self.watch.take_list() {
            let refused = suspects.refused();
            let all = self.watch.suspects().len();
            self.metrics.suspects(refused, all - refused);
            self.view.suspects = Arc::new(suspects);
            self.publish();
        }
    }

    fn log_notice(&self, notice: &TrackerNotice) {
        match notice {
            TrackerNotice::Suspected {
                fingerprint,
                crashed,
                source,
            } => {
                let suspects = self.watch.suspects();
                let refused_until = suspects.refused_until(*fingerprint);
                ControlEvent::Suspect {
                    fingerprint: fingerprint.to_string(),
                    crashed: crashed.as_ref().map(|crashed| &crashed.name),
                    crashes: suspects.crashes(*fingerprint),
                    source: source.as_str(),
                    refused_ms: refused_until.map(|until| until.since(now())),
                }
                .emit();
            }
            TrackerNotice::Ignored { crash, count } => ControlEvent::CrashIgnored {
                fingerprint: crash.fingerprint.to_string(),
                crashed: &crash.upstream.name,
                born: crash.upstream.born.0,
                took_ms: crash.took_ms,
                reason: count.as_str(),
            }
            .emit(),
            TrackerNotice::Cleared {
                fingerprint,
                crashes,
            } => ControlEvent::SuspectCleared {
                fingerprint: fingerprint.to_string(),
                crashes: *crashes,
            }
            .emit(),
        }
    }
}
