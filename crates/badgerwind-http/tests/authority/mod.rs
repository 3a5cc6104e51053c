//! Certificates for tests, generated on each run.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// A certificate authority that signs certificates for tests.
pub struct Authority {
    pub pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    pub fn new() -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::<String>::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).unwrap().pem();
        Authority { pem, issuer: Issuer::new(params, key) }
    }
    /// Generates a certificate chain and private key for a name, both as PEM text.
    pub fn sign(&self, name: &str) -> (String, String) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        (params.signed_by(&key, &self.issuer).unwrap().pem(), key.serialize_pem())
    }
}
