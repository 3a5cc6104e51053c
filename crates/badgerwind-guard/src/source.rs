//! The source of a message, by which budgets are counted.

use std::net::{IpAddr, Ipv6Addr};

/// An address by which budgets are counted: the whole address for IPv4, the /64 for IPv6, since one host
/// commonly has all of a /64 (RFC 4291 section 2.5.1, RFC 6177).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source(IpAddr);

impl Source {
    /// The source that an address belongs to. An IPv4-mapped IPv6 address (RFC 4291 section 2.5.5.2) belongs
    /// to the IPv4 address.
    pub fn from_address(address: IpAddr) -> Self {
        Source(match address {
            IpAddr::V4(_) => address,
            IpAddr::V6(six) => match six.to_ipv4_mapped() {
                Some(four) => IpAddr::V4(four),
                None => IpAddr::V6(Ipv6Addr::from(u128::from(six) & !u128::from(u64::MAX))),
            },
        })
    }
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            IpAddr::V4(a) => a.fmt(f),
            IpAddr::V6(a) => write!(f, "{a}/64"),
        }
    }
}

/// The client's address behind trusted balancers: the last address in `X-Forwarded-For` that is not one of
/// theirs. What a trusted balancer appended is reliable; what precedes the first other address is not, since
/// that client may have written it. Several header lines are one list in their order (RFC 9110 section 5.3),
/// as a balancer may append its own line after one that the client sent. `None` where the connection is
/// not from a trusted balancer, or the header gives no such address.
pub fn forwarded_address(peer: IpAddr, trusted: &[IpAddr], lines: &[&str]) -> Option<IpAddr> {
    // A dual-stack listener reports IPv4 peers as IPv4-mapped IPv6 addresses.
    let same = |a: IpAddr, b: IpAddr| a.to_canonical() == b.to_canonical();
    let is_trusted = |a: IpAddr| trusted.iter().any(|t| same(*t, a));
    if !is_trusted(peer) {
        return None;
    }
    for part in lines.iter().rev().flat_map(|l| l.rsplit(',')) {
        let address: IpAddr = parse_address(part.trim())?;
        if !is_trusted(address) {
            return Some(address);
        }
    }
    None
}

/// Parses an address with or without a port, IPv6 with or without brackets; balancers write all of these.
fn parse_address(text: &str) -> Option<IpAddr> {
    let plain = text.parse().ok();
    let with_port = || text.parse::<std::net::SocketAddr>().ok().map(|a| a.ip());
    let bracketed = || text.strip_prefix('[')?.strip_suffix(']')?.parse().ok();
    plain.or_else(with_port).or_else(bracketed)
}
