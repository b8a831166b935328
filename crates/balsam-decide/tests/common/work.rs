//! Requests and operator commands.

use super::participants::{Host, Work, service};
use super::world::{Caller, Event, World};
use balsam_decide::grants::WorkRequest;
use balsam_decide::node::{CommandResult, Location, NodeInput, OperatorCommand, RequestId};
use balsam_types::settings::{NodeEdit, NodePath, SettingKey, SettingValue};
use balsam_types::{Epoch, KeyHash, UnitId};
use rand::RngExt;
use std::sync::Arc;

/// The number of units of the service; small, so that concurrent requests often use the same unit.
pub const UNITS: u64 = 3;

impl World {
    /// A random daemon routes a request for a random key by its view.
    pub fn request(&mut self) {
        let interval_ms = self.rng.random_range(10..60);
        self.after(interval_ms, Event::Request);
        let node = self.rng.random_range(0..self.nodes.len());
        let process = &self.nodes[node];
        let now = process.clock.at(self.t);
        let Some(view) = process.view.clone().filter(|view| view.has_lease(now)) else {
            return;
        };
        if process.frozen || !view.joined {
            return;
        }
        let key = KeyHash(self.rng.random_range(0..UNITS));
        let Location::At { unit, upstream, .. } = view.locate(&service(), key) else {
            return;
        };
        let Some(upstream) = self.upstream_named(&upstream.name) else {
            return;
        };
        let arrives = Event::WorkArrives(upstream, unit, key, view.state.epoch);
        let (from, to) = (Host::Node(node), Host::Upstream(upstream));
        self.send(from, to, arrives, false);
    }

    pub fn work_arrives(&mut self, upstream: usize, unit: UnitId, key: KeyHash, epoch: Epoch) {
        let duration_ms = if self.chance(self.options.profile.long_work_percent()) {
            self.rng
                .random_range(500..self.options.profile.work_max_ms())
        } else {
            self.rng.random_range(1..80)
        };
        let process = &mut self.upstreams[upstream];
        let now = process.clock.at(self.t);
        let request = WorkRequest {
            unit,
            key,
            epoch,
            deadline: now.after(10_000),
        };
        let Ok(id) = process.holder.begin(now, request) else {
            return;
        };
        let work = self.new_id();
        let process = &mut self.upstreams[upstream];
        let began_ms = self.t;
        process.running.insert(work, Work { id, key, began_ms });
        let boot_id = process.boot_id;
        self.after(duration_ms, Event::WorkEnds(upstream, boot_id, work));
    }

    /// Ends a request; the upstream checks only now whether the request may have its effect.
    pub fn work_ends(&mut self, upstream: usize, boot_id: u64, work: u64) {
        let process = &mut self.upstreams[upstream];
        if process.boot_id != boot_id {
            return;
        }
        let now = process.clock.at(self.t);
        let Some(work) = process.running.remove(&work) else {
            return;
        };
        let has_effect = process.holder.recheck(now, work.id).is_ok();
        process.holder.end(work.id);
        if has_effect {
            self.checks.ran(upstream, work.key, work.began_ms, self.t);
        }
    }

    /// An operator edits a setting at a random daemon.
    pub fn edit(&mut self) {
        let interval_ms = self.rng.random_range(150..600);
        self.after(interval_ms, Event::Edit);
        let node = self.rng.random_range(0..self.nodes.len());
        let Some(state) = self.nodes[node]
            .node
            .as_ref()
            .map(|node| Arc::clone(node.state()))
        else {
            return;
        };
        if self.nodes[node].frozen {
            return;
        }
        let path = NodePath::Service(service());
        let version = state
            .settings
            .node(&path)
            .map_or(Epoch(0), |node| node.version);
        self.edits += 1;
        let mut edit = NodeEdit::new(path, version);
        edit = if version == Epoch(0) {
            edit.with_value(SettingKey::Slices, SettingValue::Number(UNITS))
        } else {
            let value = SettingValue::Number(self.edits);
            edit.with_value(SettingKey::DeadlineMs, value)
        };
        let wait = self.chance(30);
        let command = OperatorCommand::Edit {
            edits: vec![edit],
            wait,
        };
        self.command(node, command);
    }

    /// Ends the random edits of the schedule.
    pub fn stop_edits(&mut self) {
        self.queue.retain(|_, event| !matches!(event, Event::Edit));
    }

    /// Sends a command to a daemon and returns the id under which its answer is stored.
    pub fn command(&mut self, node: usize, command: OperatorCommand) -> RequestId {
        let request = RequestId(self.new_id());
        let boot_id = self.nodes[node].boot_id;
        let input = NodeInput::Command { request, command };
        self.input(Caller { node, boot_id }, input);
        request
    }

    pub fn command_answered(&mut self, result: &CommandResult) {
        match result {
            CommandResult::Accepted { epoch, everywhere } => {
                self.checks.accepted(self.t, *epoch, *everywhere);
            }
            CommandResult::Pending { .. } | CommandResult::Refused(_) => {}
        }
    }
}
