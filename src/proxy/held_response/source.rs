//! Where a held response is read from: a target, or an instance that the request was forwarded to.

use crate::decision::capacity::in_flight::{InFlight, InFlightCounter};
use crate::decision::registry::forward_peer::ForwardPeer;
use crate::decision::registry::target::Target;
use crate::net::pool::Pool;
use crate::proxy::response_body::ReusableConnection;
use std::rc::Rc;

/// What requests are sent to: it counts them, and has a pool of connections.
pub trait Endpoint: InFlightCounter + 'static {
    /// Connections to it.
    fn pool(&self) -> &Pool;
    /// What identifies it in log lines.
    fn label(&self) -> EndpointLabel;
}

/// Identity and hall of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointLabel {
    /// Identity of the target, or name of the instance.
    pub id: Rc<str>,
    /// Its hall.
    pub hall: Rc<str>,
}

impl Endpoint for Target {
    fn pool(&self) -> &Pool {
        &self.pool
    }

    fn label(&self) -> EndpointLabel {
        EndpointLabel { id: self.id.clone(), hall: self.hall.clone() }
    }
}

impl Endpoint for ForwardPeer {
    fn pool(&self) -> &Pool {
        &self.pool
    }

    fn label(&self) -> EndpointLabel {
        EndpointLabel { id: self.name.clone(), hall: self.hall.clone() }
    }
}

/// The connection that a response is read from, and the count of the request at its other end. Dropping it
/// closes the connection, which cancels the request there.
pub struct Source<E: Endpoint> {
    /// The connection.
    pub connection: ReusableConnection,
    /// Counts the request as in flight.
    pub in_flight: InFlight<E>,
}

impl<E: Endpoint> Source<E> {
    /// What identifies the other end in log lines.
    pub fn label(&self) -> EndpointLabel {
        self.in_flight.target().label()
    }

    /// Ends the request, whose response was read completely, and keeps the connection for others.
    pub fn release(self) {
        self.connection.release(self.in_flight.target().pool());
    }
}
