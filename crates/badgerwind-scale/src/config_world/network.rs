//! The simulated network: one-way delays by distance, and the bytes of messages as they go out.

use badgerwind_config::wire::{DiscoveryRequest, DiscoveryResponse};
use badgerwind_config::Kind;
use badgerwind_http::{Exchange, Response};
use rand::rngs::StdRng;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Delays one way, in microseconds, between the bounds of a uniform draw.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Within a region.
    pub near: (u64, u64),
    /// Between regions.
    pub far: (u64, u64),
}

impl Default for Network {
    fn default() -> Self {
        Network { near: (200, 1_500), far: (20_000, 120_000) }
    }
}

impl Network {
    /// The delay of one message.
    pub fn delay(&self, same_region: bool, random: &mut StdRng) -> u64 {
        let (least, most) = if same_region { self.near } else { self.far };
        random.random_range(least..=most)
    }
}

/// How long the service may hold a question open: the default of the settings.
pub const WAIT: Duration = Duration::from_secs(20);

/// Bytes of a question as it goes out, and its body.
pub fn request_bytes(service: SocketAddr, kind: Kind, request: &DiscoveryRequest) -> (u64, Vec<u8>) {
    let body = serde_json::to_vec(request).unwrap_or_default();
    let target = format!("/v3/discovery:{}?wait={}", kind.name(), WAIT.as_millis());
    let headers = vec![("content-type", "application/json".to_owned())];
    let exchange = Exchange { method: "POST", target, headers, body: body.as_slice().into() };
    (exchange.encode(service).len() as u64, body)
}

/// Bytes of an answer as it goes out, and its body; none: nothing new.
pub fn response_bytes(response: Option<&DiscoveryResponse>) -> (u64, Vec<u8>) {
    match response {
        None => (Response::new(204, "", Vec::new()).encode(true).len() as u64, Vec::new()),
        Some(response) => {
            let body = serde_json::to_vec(response).unwrap_or_default();
            let answer = Response::new(200, "application/json", body.as_slice());
            (answer.encode(true).len() as u64, body)
        }
    }
}
