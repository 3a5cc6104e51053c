//! Where a message comes from, as budgets count it.

use std::net::{IpAddr, Ipv6Addr};

/// An address as budgets count it: IPv4 whole, IPv6 by its /64, since one host commonly has all of that
/// (RFC 4291 section 2.5.1, RFC 6177).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source(IpAddr);

impl Source {
    /// The source that an address belongs to. An IPv4 address written as IPv6 (RFC 4291 section 2.5.5.2) is the
    /// IPv4 address.
    pub fn of(address: IpAddr) -> Self {
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

/// The address behind balancers that are trusted: the last one in `X-Forwarded-For` that none of them is. What a
/// balancer appended can be believed; what stands before the first address of a stranger cannot, since that
/// stranger wrote it. Lines that stand more than once are one list in their order (RFC 9110 section 5.3): a balancer
/// may add a line of its own behind one that a stranger sent. `None` where the connection is not from a trusted
/// balancer, or names nobody.
pub fn forwarded(peer: IpAddr, trusted: &[IpAddr], lines: &[&str]) -> Option<IpAddr> {
    // A listener on both families shows IPv4 peers in their IPv6 form.
    let same = |a: IpAddr, b: IpAddr| a.to_canonical() == b.to_canonical();
    let trusts = |a: IpAddr| trusted.iter().any(|t| same(*t, a));
    if !trusts(peer) {
        return None;
    }
    for part in lines.iter().rev().flat_map(|l| l.rsplit(',')) {
        let address: IpAddr = address(part.trim())?;
        if !trusts(address) {
            return Some(address);
        }
    }
    None
}

/// An address, with or without a port, IPv6 with or without brackets: balancers write all of these.
fn address(text: &str) -> Option<IpAddr> {
    let plain = text.parse().ok();
    let port = || text.parse::<std::net::SocketAddr>().ok().map(|a| a.ip());
    let bare = || text.strip_prefix('[')?.strip_suffix(']')?.parse().ok();
    plain.or_else(port).or_else(bare)
}
