//! Where a held response is read from: a target, or an instance that the request was forwarded to.

use crate::decision::capacity::in_flight::InFlight;
use crate::decision::registry::forward_peer::ForwardPeer;
use crate::decision::registry::target::Target;
use crate::proxy::response_body::ReusableConnection;
use std::rc::Rc;

/// The other end of the connection that a response is read from. Dropping it closes the connection, which
/// cancels the request there.
pub trait ResponseSource: 'static {
    /// What identifies it in log lines.
    fn label(&self) -> SourceLabel;
    /// Ends the request, whose response was read completely, and keeps the connection for others.
    fn release(self);
}

/// Identity and hall of a source.
#[derive(Clone, Debug)]
pub struct SourceLabel {
    /// Identity of the target, or name of the instance.
    pub id: Rc<str>,
    /// Its hall.
    pub hall: Rc<str>,
}

/// A target, with the count of the request there.
pub struct TargetSource {
    /// The connection.
    pub connection: ReusableConnection,
    /// Counts the request as in flight at the target.
    pub in_flight: InFlight<Target>,
}

impl ResponseSource for TargetSource {
    fn label(&self) -> SourceLabel {
        let target = self.in_flight.target();
        SourceLabel { id: target.id.clone(), hall: target.hall.clone() }
    }

    fn release(self) {
        self.connection.release(&self.in_flight.target().pool);
    }
}

/// An instance, with the count of the request there.
pub struct PeerSource {
    /// The connection.
    pub connection: ReusableConnection,
    /// Counts the request as in flight at the instance.
    pub in_flight: InFlight<ForwardPeer>,
}

impl ResponseSource for PeerSource {
    fn label(&self) -> SourceLabel {
        let peer = self.in_flight.target();
        SourceLabel { id: peer.name.clone(), hall: peer.hall.clone() }
    }

    fn release(self) {
        self.connection.release(&self.in_flight.target().pool);
    }
}
