//! The simulated network: one-way delays by distance, and the encoded size of HTTP messages.

use badgerwind_config::wire::{DiscoveryRequest, DiscoveryResponse};
use badgerwind_config::Kind;
use badgerwind_http::{Exchange, Response};
use rand::rngs::StdRng;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// One-way delays in microseconds. Each is uniformly distributed between a minimum and a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Minimum and maximum delay within a region.
    pub intra_region_delay: (u64, u64),
    /// Minimum and maximum delay between regions.
    pub inter_region_delay: (u64, u64),
}

impl Default for Network {
    fn default() -> Self {
        Network { intra_region_delay: (200, 1_500), inter_region_delay: (20_000, 120_000) }
    }
}

impl Network {
    /// Draws the delay of one message.
    pub fn delay(&self, same_region: bool, rng: &mut StdRng) -> u64 {
        let (min, max) = if same_region { self.intra_region_delay } else { self.inter_region_delay };
        rng.random_range(min..=max)
    }
}

/// Longest time for which the service holds a request open: the default of the settings.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(20);

/// Encoded size of a request in bytes, including the HTTP head, and its body.
pub fn request_bytes(service: SocketAddr, kind: Kind, request: &DiscoveryRequest) -> (u64, Vec<u8>) {
    let body = serde_json::to_vec(request).unwrap_or_default();
    let target = format!("/v3/discovery:{}?wait={}", kind.name(), POLL_TIMEOUT.as_millis());
    let headers = vec![("content-type", "application/json".to_owned())];
    let exchange = Exchange { method: "POST", target, headers, body: body.as_slice().into() };
    (exchange.encode(service).len() as u64, body)
}

/// Encoded size of a response in bytes, including the HTTP head, and its body. `None` is the response without
/// content that ends a request for which there is no new version.
pub fn response_bytes(response: Option<&DiscoveryResponse>) -> (u64, Vec<u8>) {
    match response {
        None => (Response::new(204, "", Vec::new()).encode(true).len() as u64, Vec::new()),
        Some(response) => {
            let body = serde_json::to_vec(response).unwrap_or_default();
            let http_response = Response::new(200, "application/json", body.as_slice());
            (http_response.encode(true).len() as u64, body)
        }
    }
}
