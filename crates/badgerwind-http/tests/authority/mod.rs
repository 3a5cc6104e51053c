//! Certificates for tests, made anew each time.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// An authority, and what it signs.
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
    /// Chain and key of a name.
    pub fn sign(&self, name: &str) -> (String, String) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        (params.signed_by(&key, &self.issuer).unwrap().pem(), key.serialize_pem())
    }
}
