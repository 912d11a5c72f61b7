//! Gateways: what their policies ask for is carried out, and they start, drain, stop and are killed.

use super::{Event, Refusal, RpcState, World};
use crate::lifecycle::Phase;
use crate::policies::{self, HostAction, HostActions, Policy};
use crate::{Nanos, rng};
use std::collections::{BTreeMap, BTreeSet};

impl World {
    pub(super) fn with_gate<T>(
        &mut self,
        gateway: u32,
        call: impl FnOnce(&mut dyn Policy, &mut HostActions) -> T,
    ) -> Option<T> {
        let gate = self.gateways[gateway as usize].gate.as_deref_mut()?;
        Some(call(gate, &mut self.wishes))
    }

    /// Carries out what a gate wished during its last call, in order.
    pub(super) fn carry(&mut self, now: Nanos, gateway: u32) {
        // Nothing carried out here calls a gate, so the buffer can be taken and given back with its room.
        let mut wishes = std::mem::take(&mut self.wishes.0);
        for wish in wishes.drain(..) {
            match wish {
                HostAction::SendAttempt { rpc, server, timeout } => {
                    self.send_attempt(now, gateway, rpc, server, timeout)
                }
                HostAction::Reject { rpc, retry_after } => {
                    self.refuse(now, rpc, Refusal::Rejected { retry_after })
                }
                HostAction::Abort { rpc } => self.refuse(now, rpc, Refusal::Aborted),
                HostAction::SetTimer { after, token } => {
                    let incarnation = self.gateways[gateway as usize].lifecycle.incarnation;
                    self.queue.schedule_after(after.max(1), Event::Wake { gateway, incarnation, token });
                }
                HostAction::AddToCounter { name, add, forget } => {
                    self.call_counter(now, gateway, name, add, forget)
                }
            }
        }
        self.wishes.0 = wishes;
    }

    pub(super) fn wake(&mut self, now: Nanos, gateway: u32, incarnation: u32, token: u32) {
        if self.gateways[gateway as usize].lifecycle.incarnation == incarnation {
            self.with_gate(gateway, |gate, wishes| gate.on_timer(wishes, now, token));
            self.carry(now, gateway);
        }
    }

    pub(super) fn start_gate(&mut self, gateway: u32) {
        let incarnation = self.gateways[gateway as usize].lifecycle.incarnation;
        let seed = rng::gateway_seed(self.scenario.seed, gateway, incarnation);
        let gate = policies::new_policy(self.kind, gateway, seed, &self.settings, &self.ledger);
        self.gateways[gateway as usize].gate = Some(gate);
    }

    /// Gateways gone at once: what they held is cut, and the clients may come again elsewhere.
    pub(super) fn cut(&mut self, now: Nanos, gone: &[u32]) {
        let mut down = vec![false; self.gateways.len()];
        for &gateway in gone {
            down[gateway as usize] = true;
            let at = &mut self.gateways[gateway as usize];
            at.lifecycle.kill();
            (at.gate, at.attempts, at.counter_calls) = (None, BTreeMap::new(), BTreeSet::new());
        }
        let held: Vec<(u32, u32, u32)> = (self.rpcs.iter())
            .filter(|(_, live)| down[live.gateway as usize] && live.state.is_open())
            .map(|(rpc, live)| (*rpc, live.stream, live.tries))
            .collect();
        for (rpc, stream, tries) in held {
            self.set_state(rpc, RpcState::Abandoned);
            self.record.update(now, |counts| counts.disconnected += 1);
            self.schedule_retry(stream, tries, 0);
        }
    }

    pub(super) fn stop(&mut self, now: Nanos, gateway: u32, incarnation: u32) {
        let at = &self.gateways[gateway as usize];
        if at.lifecycle.incarnation != incarnation || !matches!(at.lifecycle.phase, Phase::Draining { .. }) {
            return;
        }
        let held: Vec<u32> = (self.rpcs.iter())
            .filter(|(_, live)| live.gateway == gateway && live.state.is_open())
            .map(|(rpc, _)| *rpc)
            .collect();
        for rpc in held {
            self.refuse(now, rpc, Refusal::Rejected { retry_after: 0 });
        }
        self.gateways[gateway as usize].lifecycle.stop();
        self.cut(now, &[gateway]);
    }

    pub(super) fn start(&mut self, now: Nanos, gateway: u32) {
        if self.gateways[gateway as usize].lifecycle.phase != Phase::Down {
            return;
        }
        self.gateways[gateway as usize].lifecycle.start();
        self.start_gate(gateway);
        let list = self.servers.discovery_list();
        self.with_gate(gateway, |gate, _| gate.on_server_list(now, true, &list));
    }
}
