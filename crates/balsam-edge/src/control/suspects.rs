//! Shares what the daemons know of requests that crash upstreams.

use super::lines::ControlLine;
use super::task::ControlTask;
use crate::clock::now;
use crate::peer::PeerMessage;
use balsam_decide::crashes::{TrackerInput, TrackerMessage, TrackerNotice, TrackerOutput};
use std::net::SocketAddr;
use std::sync::Arc;

impl ControlTask {
    /// Gives the watch one input, of the daemon `from` if it has sent it, and does what follows.
    pub(super) fn watch(&mut self, from: Option<SocketAddr>, input: TrackerInput) {
        let is_leading = self.assigner.is_leading();
        let is_tick = matches!(input, TrackerInput::Tick);
        let refused = self.watch.suspects().digest();
        for output in self.watch.handle(now(), is_leading, input) {
            match output {
                TrackerOutput::SendToLeader(message) => {
                    let leader = self.assigner.leader();
                    let leader = leader.map(|leader| leader.address);
                    self.tell(leader.into_iter().collect(), message);
                }
                TrackerOutput::Broadcast(message) => {
                    let peers = self.book.peers(now(), self.me.address);
                    self.tell(peers, message);
                }
                TrackerOutput::Reply(message) => self.tell(from.into_iter().collect(), message),
                TrackerOutput::WriteRow(refused) => {
                    let lead = self.assigner.lead_version();
                    self.actor.write_refused(lead, refused);
                }
                TrackerOutput::Notice(note) => self.write_note(&note),
            }
        }
        // Others than refused requests only save work, and come by the hundred in some faults.
        if is_tick || refused != self.watch.suspects().digest() {
            self.publish_suspects();
        }
    }

    fn tell(&self, targets: Vec<SocketAddr>, message: TrackerMessage) {
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

    fn write_note(&self, note: &TrackerNotice) {
        match note {
            TrackerNotice::Suspected {
                fingerprint,
                crashed,
                source,
            } => {
                let suspects = self.watch.suspects();
                let refused_until = suspects.refused_until(*fingerprint);
                ControlLine::Suspect {
                    fingerprint: fingerprint.to_string(),
                    crashed: crashed.as_ref().map(|crashed| &crashed.name),
                    crashes: suspects.crashes(*fingerprint),
                    source: source.as_str(),
                    refused_ms: refused_until.map(|until| until.since(now())),
                }
                .write();
            }
            TrackerNotice::Ignored { crash, count } => ControlLine::CrashIgnored {
                fingerprint: crash.fingerprint.to_string(),
                crashed: &crash.upstream.name,
                born: crash.upstream.born.0,
                took_ms: crash.took_ms,
                reason: count.as_str(),
            }
            .write(),
            TrackerNotice::Cleared {
                fingerprint,
                crashes,
            } => ControlLine::SuspectCleared {
                fingerprint: fingerprint.to_string(),
                crashes: *crashes,
            }
            .write(),
        }
    }
}
