//! The platform's state.

use super::{InstanceList, PlatformReply, PlatformRequest, Table};
use balsam_types::{Map, TimeMs};
use balsam_wire::platform::{PlatformCounters, PlatformFaults, TxRequest};
use bytes::Bytes;
use std::sync::Arc;

/// Table, objects, instance list, switches and counters.
#[derive(Debug, Default)]
pub struct PlatformState {
    table: Table,
    objects: Map<Arc<str>, Bytes>,
    instances: InstanceList,
    faults: PlatformFaults,
    counters: PlatformCounters,
}

impl PlatformState {
    /// Makes an empty platform without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the fault switches.
    pub const fn faults(&self) -> PlatformFaults {
        self.faults
    }

    /// Counts a request that a fault switch kept from the state.
    pub fn count_faulted(&mut self) {
        self.counters.faulted += 1;
    }

    /// Applies one request.
    pub fn handle(&mut self, now: TimeMs, request: PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Transact(tx) => self.transact(tx),
            PlatformRequest::Read(read) => {
                self.counters.reads += 1;
                PlatformReply::Rows(self.table.read(&read))
            }
            PlatformRequest::PutObject { name, bytes } => {
                self.counters.object_writes += 1;
                self.objects.insert(name, bytes);
                PlatformReply::Done
            }
            PlatformRequest::GetObject { name } => {
                self.counters.object_reads += 1;
                PlatformReply::Object(self.objects.get(&name).cloned())
            }
            PlatformRequest::Instances => {
                self.counters.instance_reads += 1;
                PlatformReply::Instances(self.instances.visible(now))
            }
            PlatformRequest::ChangeInstances(update) => {
                self.instances.change(now, update);
                PlatformReply::Done
            }
            PlatformRequest::Faults => PlatformReply::Faults(self.faults),
            PlatformRequest::SetFaults(faults) => {
                self.faults = faults;
                PlatformReply::Done
            }
            PlatformRequest::Counters => PlatformReply::Counters(self.counters),
        }
    }

    fn transact(&mut self, tx: TxRequest) -> PlatformReply {
        self.counters.writes += 1;
        let response = self.table.transact(tx);
        if !response.committed {
            self.counters.conflicts += 1;
        }
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            self.counters.faulted += 1;
            return PlatformReply::LostAnswer;
        }
        PlatformReply::Tx(response)
    }
}
