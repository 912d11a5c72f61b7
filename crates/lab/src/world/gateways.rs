//! Emulates the gateways: executes the actions of their policies, and starts, stops and kills them.

use super::{ErrorAnswer, Event, RpcState, World};
use crate::lifecycle::Phase;
use crate::policies::{self, HostAction, HostActions, Policy};
use crate::{Nanos, rng};
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// Calls a gateway's policy. `None` if the gateway isn't running.
    pub(super) fn with_policy<T>(
        &mut self,
        gateway: u32,
        call: impl FnOnce(&mut dyn Policy, &mut HostActions) -> T,
    ) -> Option<T> {
        let policy = self.gateways[gateway as usize].policy.as_deref_mut()?;
        Some(call(policy, &mut self.actions))
    }

    /// Executes, in order, the actions that a policy requested during its last call.
    pub(super) fn execute_actions(&mut self, now: Nanos, gateway: u32) {
        // No action calls a policy, so nothing is added to the buffer meanwhile. Putting it back keeps its capacity.
        let mut actions = std::mem::take(&mut self.actions.0);
        for action in actions.drain(..) {
            match action {
                HostAction::SendAttempt { rpc, server, timeout } => {
                    self.send_attempt(now, gateway, rpc, server, timeout)
                }
                HostAction::Reject { rpc, retry_after } => {
                    self.answer_with_error(now, rpc, ErrorAnswer::Rejected { retry_after })
                }
                HostAction::Abort { rpc } => self.answer_with_error(now, rpc, ErrorAnswer::Aborted),
                HostAction::SetTimer { after, token } => {
                    let incarnation = self.gateways[gateway as usize].lifecycle.incarnation;
                    self.queue.schedule_after(after.max(1), Event::Timer { gateway, incarnation, token });
                }
                HostAction::AddToCounter { name, add, forget } => {
                    self.call_counter(now, gateway, name, add, forget)
                }
            }
        }
        self.actions.0 = actions;
    }

    pub(super) fn timer_expired(&mut self, now: Nanos, gateway: u32, incarnation: u32, token: u32) {
        if self.gateways[gateway as usize].lifecycle.incarnation == incarnation {
            self.with_policy(gateway, |policy, actions| policy.on_timer(actions, now, token));
            self.execute_actions(now, gateway);
        }
    }

    /// Creates the policy of a gateway's current incarnation.
    pub(super) fn start_policy(&mut self, gateway: u32) {
        let incarnation = self.gateways[gateway as usize].lifecycle.incarnation;
        let seed = rng::gateway_seed(self.scenario.seed, gateway, incarnation);
        let policy = policies::new_policy(self.kind, gateway, seed, &self.settings, &self.shared_buckets);
        self.gateways[gateway as usize].policy = Some(policy);
    }

    /// Takes gateways down at once. Their open RPCs count as `cut`, and the clients may retry at other gateways.
    pub(super) fn take_down_gateways(&mut self, now: Nanos, gateways: &[u32]) {
        let mut is_down = vec![false; self.gateways.len()];
        for &gateway in gateways {
            is_down[gateway as usize] = true;
            let state = &mut self.gateways[gateway as usize];
            state.lifecycle.kill();
            (state.policy, state.attempts, state.counter_calls) = (None, BTreeMap::new(), BTreeSet::new());
        }
        let open_rpcs: Vec<(u32, u32, u32)> = (self.rpcs.iter())
            .filter(|(_, live)| is_down[live.gateway as usize] && live.state.is_open())
            .map(|(rpc, live)| (*rpc, live.stream, live.retries))
            .collect();
        for (rpc, stream, retries) in open_rpcs {
            self.set_state(rpc, RpcState::Abandoned);
            self.record.update(now, |counts| counts.disconnected += 1);
            self.schedule_retry(stream, retries, 0);
        }
    }

    /// Stops a draining gateway at the end of its drain time. Its open RPCs are rejected, without a time for the retry.
    pub(super) fn stop_gateway(&mut self, now: Nanos, gateway: u32, incarnation: u32) {
        let state = &self.gateways[gateway as usize];
        if state.lifecycle.incarnation != incarnation
            || !matches!(state.lifecycle.phase, Phase::Draining { .. })
        {
            return;
        }
        let open_rpcs: Vec<u32> = (self.rpcs.iter())
            .filter(|(_, live)| live.gateway == gateway && live.state.is_open())
            .map(|(rpc, _)| *rpc)
            .collect();
        for rpc in open_rpcs {
            self.answer_with_error(now, rpc, ErrorAnswer::Rejected { retry_after: 0 });
        }
        self.gateways[gateway as usize].lifecycle.stop();
        self.take_down_gateways(now, &[gateway]);
    }

    /// Starts a gateway that is down, with the current server list.
    pub(super) fn start_gateway(&mut self, now: Nanos, gateway: u32) {
        if self.gateways[gateway as usize].lifecycle.phase != Phase::Down {
            return;
        }
        self.gateways[gateway as usize].lifecycle.start();
        self.start_policy(gateway);
        let list = self.servers.discovery_list();
        self.with_policy(gateway, |policy, _| policy.on_server_list(now, true, &list));
    }
}
