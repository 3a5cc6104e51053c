//! The messages of the exchange: DiscoveryRequest and DiscoveryResponse of the xDS transport protocol in the
//! JSON mapping of protocol buffers. Unused fields are not sent, and are ignored when received.

use crate::client::Report;
use serde::{Deserialize, Serialize};

/// The front end that sends a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The front end's name.
    pub id: String,
    /// The fleet that it belongs to.
    #[serde(default)]
    pub cluster: String,
    /// Its state and health.
    #[serde(default)]
    pub metadata: Metadata,
}

/// The state that a front end reports with each request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// The state of each type of resource.
    #[serde(default)]
    pub report: Vec<Report>,
    /// Calls since the front end started.
    #[serde(default)]
    pub health: Health,
}

/// Calls since the front end started, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Calls that were served.
    pub served: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that failed.
    pub failed: u64,
}

/// A request for a type of resource, which also acknowledges or rejects the last offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiscoveryRequest {
    /// The version that runs; empty if the settings file's own content runs.
    #[serde(default)]
    pub version_info: String,
    /// The front end that sends the request.
    pub node: Node,
    /// The requested resources; empty for all of the type.
    #[serde(default)]
    pub resource_names: Vec<String>,
    /// The type of resource.
    pub type_url: String,
    /// The nonce of the acknowledged offer; empty if none.
    #[serde(default)]
    pub response_nonce: String,
    /// Why the offer was rejected; absent if it was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error_detail: Option<Status>,
}

/// The fields of google.rpc.Status that are used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The error code of google.rpc.Code: 3 is INVALID_ARGUMENT, 8 RESOURCE_EXHAUSTED, 9 FAILED_PRECONDITION.
    pub code: u32,
    /// The error message for operators.
    pub message: String,
}

/// An offered version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiscoveryResponse {
    /// The version: an integer in decimal digits.
    pub version_info: String,
    /// A single resource that holds the part's text.
    pub resources: Vec<Resource>,
    /// The type of resource.
    pub type_url: String,
    /// Identifies this offer.
    pub nonce: String,
    /// The control service that makes the offer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control_plane: Option<ControlPlane>,
}

/// A resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// The type URL.
    #[serde(rename = "@type")]
    pub kind: String,
    /// A settings document.
    pub value: String,
}

/// The control service that makes an offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlPlane {
    /// The name of the service.
    pub identifier: String,
}
