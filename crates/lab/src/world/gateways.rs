//! Gateways: what their policies ask for is carried out, and they start, drain, stop and are killed.

use super::{Event, Refusal, RpcState, World};
use crate::lifecycle::Phase;
use crate::policies::{self, HostAction, HostActions, Policy};
use crate::{Nanos, rng};
use std::collections::{BTreeMap, BTreeSet};

impl World {
    pub(super) fn with_policy<T>(
        &mut self,
        gateway: u32,
        call: impl FnOnce(&mut dyn Policy, &mut HostActions) -> T,
    ) -> Option<T> {
        let policy = self.gateways[gateway as usize].policy.as_deref_mut()?;
        Some(call(policy, &mut self.actions))
    }

    /// Carries out what a policy wished during its last call, in order.
    pub(super) fn execute_actions(&mut self, now: Nanos, gateway: u32) {
        // Nothing carried out here calls a policy, so the buffer can be taken and given back with its room.
        let mut actions = std::mem::take(&mut self.actions.0);
        for action in actions.drain(..) {
            match action {
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
        self.actions.0 = actions;
    }

    pub(super) fn wake(&mut self, now: Nanos, gateway: u32, incarnation: u32, token: u32) {
        if self.gateways[gateway as usize].lifecycle.incarnation == incarnation {
            self.with_policy(gateway, |policy, actions| policy.on_timer(actions, now, token));
            self.execute_actions(now, gateway);
        }
    }

    pub(super) fn start_policy(&mut self, gateway: u32) {
        let incarnation = self.gateways[gateway as usize].lifecycle.incarnation;
        let seed = rng::gateway_seed(self.scenario.seed, gateway, incarnation);
        let policy = policies::new_policy(self.kind, gateway, seed, &self.settings, &self.shared_buckets);
        self.gateways[gateway as usize].policy = Some(policy);
    }

    /// Gateways gone at once: what they held is cut, and the clients may come again elsewhere.
    pub(super) fn cut(&mut self, now: Nanos, gone: &[u32]) {
        let mut down = vec![false; self.gateways.len()];
        for &gateway in gone {
            down[gateway as usize] = true;
            let at = &mut self.gateways[gateway as usize];
            at.lifecycle.kill();
            (at.policy, at.attempts, at.counter_calls) = (None, BTreeMap::new(), BTreeSet::new());
        }
        let held: Vec<(u32, u32, u32)> = (self.rpcs.iter())
            .filter(|(_, live)| down[live.gateway as usize] && live.state.is_open())
            .map(|(rpc, live)| (*rpc, live.stream, live.tries))
            .collect();
        for (rpc, stream, tries) in held {
            self.set_state(rpc, RpcState::Abandoned);
            self.record.add(now, |counts| counts.cut += 1);
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
        self.start_policy(gateway);
        let list = self.servers.discovery_list();
        self.with_policy(gateway, |policy, _| policy.on_server_list(now, true, &list));
    }
}
