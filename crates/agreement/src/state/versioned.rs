//! The state machine of the agreement together with what each content stands for.

use super::{Agreement, Decision, Offer, Receipt, Rejection, ScheduledContent};
use crate::Nanos;
use crate::message::LeaseMessage;

/// An [`Agreement`] that owns the settings (`T`) of the contents it may act on.
///
/// The settings are kept and dropped with their content, so that what a gateway says it acts on and what it acts on can't
/// differ.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VersionedAgreement<T> {
    pub(super) state: Agreement,
    /// The settings of the current content.
    current: T,
    /// The settings of the content that waits for its start: present exactly if there is one.
    pub(super) scheduled: Option<T>,
}

impl<T> VersionedAgreement<T> {
    /// Creates the state of a gateway that starts with these settings, whose content `state` was created with.
    pub fn new(state: Agreement, settings: T) -> VersionedAgreement<T> {
        VersionedAgreement { state, current: settings, scheduled: None }
    }

    /// The state machine.
    pub fn state(&self) -> &Agreement {
        &self.state
    }

    /// The settings of the current content.
    pub fn current(&self) -> &T {
        &self.current
    }

    /// The settings of the content that waits for its start, if any.
    pub fn scheduled(&self) -> Option<&T> {
        self.scheduled.as_ref()
    }

    /// See [`Agreement::offer`].
    pub fn offer(&mut self, now: Nanos, content: ScheduledContent, settings: T) -> Result<Offer, Rejection> {
        let offer = self.state.offer(now, content.content, content.start);
        if offer == Ok(Offer::Scheduled) {
            self.scheduled = Some(settings);
        }
        self.discard_unscheduled();
        offer
    }

    /// See [`Agreement::receive`].
    pub fn receive(&mut self, now: Nanos, message: &LeaseMessage) -> Receipt {
        let receipt = self.state.receive(now, message);
        self.discard_unscheduled();
        receipt
    }

    /// See [`Agreement::evaluate`].
    pub fn evaluate(&mut self, now: Nanos) -> Decision {
        let previous = self.state.content();
        let decision = self.state.evaluate(now);
        // Only a scheduled content becomes the current one.
        if decision.content != previous
            && let Some(settings) = self.scheduled.take()
        {
            self.current = settings;
        }
        decision
    }

    /// See [`Agreement::poll_messages`].
    pub fn poll_messages(&mut self, now: Nanos) -> Vec<LeaseMessage> {
        self.state.poll_messages(now)
    }

    /// Drops the settings of a content that the state machine dropped.
    fn discard_unscheduled(&mut self) {
        if self.state.scheduled().is_none() {
            self.scheduled = None;
        }
    }
}
