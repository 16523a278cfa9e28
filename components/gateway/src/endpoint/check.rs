//! Checks what the platform or a peer lists about an endpoint. Other writers may use the same table, and the process adds
//! such values up, turns them into addresses and headers, and sends them to its peers.

use std::net::{IpAddr, SocketAddr};

use derive_more::{Display, Error};
use hyper::header::HeaderValue;

use super::Profile;

/// The longest name of a service, a build or a data centre, in bytes. Names are sent to peers in datagrams and written
/// into rows.
pub const MAX_NAME_BYTES: usize = 256;
/// More slots than any server has; those of all endpoints together can be added and multiplied.
pub const MAX_SLOTS: u64 = 1 << 24;
/// The end of the year 9999 in Unix milliseconds. An endpoint that claimed a later start would shut out all its later
/// incarnations.
pub const MAX_STARTED: u64 = 253_402_300_799_999;

/// Why a profile can't be that of an endpoint.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Invalid {
    /// The name of the endpoint can't be sent in a header.
    #[display("its name does not fit into a header")]
    Id,
    /// A name is too long.
    #[display("a name has more than {MAX_NAME_BYTES} bytes")]
    Name,
    /// Nothing can be reached at the address.
    #[display("no server can have its address")]
    Address,
    /// It has more slots than any server.
    #[display("it has more than {MAX_SLOTS} slots")]
    Slots,
    /// It started later than any date.
    #[display("it started beyond any date")]
    Started,
}

impl Profile {
    /// Checks that this can be the profile of an endpoint.
    ///
    /// # Errors
    ///
    /// [`Invalid`] if it can't.
    pub fn check(&self) -> Result<(), Invalid> {
        let names = [&*self.service, &*self.build.0, &*self.data_centre];
        let is_started = |started| started <= MAX_STARTED;
        match () {
            () if self.id.0.is_empty() || HeaderValue::try_from(&*self.id.0).is_err() => {
                Err(Invalid::Id)
            }
            () if names.iter().any(|name| name.len() > MAX_NAME_BYTES) => Err(Invalid::Name),
            () if !is_reachable(self.address) => Err(Invalid::Address),
            () if self.slots > MAX_SLOTS => Err(Invalid::Slots),
            () if !self.started.is_none_or(is_started) => Err(Invalid::Started),
            () => Ok(()),
        }
    }
}

/// Whether a single server can listen at an address.
pub(crate) fn is_reachable(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() > 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
