//! TLS 1.2 and 1.3 (RFC 5246, RFC 8446) with rustls, for server and client connections.
//!
//! Certificates and keys are PEM text (RFC 7468). The configuration of a side can be replaced while
//! connections are open; open connections keep the configuration that they were established with.

use crate::client::ExchangeError;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use futures_rustls::rustls::pki_types::pem::PemObject;
use futures_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use futures_rustls::rustls::server::WebPkiClientVerifier;
use futures_rustls::rustls::{self, crypto, ClientConfig, RootCertStore, ServerConfig};
use futures_rustls::{TlsAcceptor, TlsConnector, TlsStream};
use smol::net::TcpStream;
use smol::Timer;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Why certificates or keys cannot be used. It never contains any of a key's bytes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TlsError {
    /// The text is not PEM, or does not contain the expected item.
    #[error("no {what} in PEM form: {why}")]
    Pem {
        /// The expected item.
        what: &'static str,
        /// The reason.
        why: String,
    },
    /// The certificates and keys do not match, or are not accepted.
    #[error("{0}")]
    Invalid(String),
    /// The server name cannot occur in a certificate.
    #[error("\"{0}\" is neither a host's name nor an IP address")]
    Name(String),
}

/// A certificate chain, with the end-entity certificate first, and its private key, both as PEM text.
#[derive(Clone, Copy)]
pub struct Identity<'a> {
    /// The certificate chain.
    pub chain: &'a [u8],
    /// The private key.
    pub key: &'a [u8],
}

type ChainAndKey = (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>);

fn certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let what = "certificate";
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let all = all.map_err(|e| TlsError::Pem { what, why: e.to_string() })?;
    match all.is_empty() {
        true => Err(TlsError::Pem { what, why: "none found".into() }),
        false => Ok(all),
    }
}

impl Identity<'_> {
    fn parse(&self) -> Result<ChainAndKey, TlsError> {
        let key = PrivateKeyDer::from_pem_slice(self.key);
        let key = key.map_err(|e| TlsError::Pem { what: "private key", why: e.to_string() })?;
        Ok((certificates(self.chain)?, key))
    }
}

fn roots(authority: &[u8]) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(authority)? {
        roots
            .add(certificate)
            .map_err(|e| TlsError::Invalid(format!("not an authority's certificate: {e}")))?;
    }
    Ok(roots)
}

fn invalid(e: rustls::Error) -> TlsError {
    TlsError::Invalid(e.to_string())
}

/// The TLS configuration of a server.
#[derive(Clone, Debug)]
pub struct ServerTls(Arc<ServerConfig>);

impl ServerTls {
    /// A configuration with the server's identity. With `client_authorities`, clients must present a
    /// certificate signed by one of these authorities.
    pub fn new(identity: Identity<'_>, client_authorities: Option<&[u8]>) -> Result<Self, TlsError> {
        let provider = Arc::new(crypto::ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone());
        let builder = builder.with_safe_default_protocol_versions().map_err(invalid)?;
        let builder = match client_authorities {
            None => builder.with_no_client_auth(),
            Some(pem) => {
                let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots(pem)?), provider);
                let verifier = verifier.build().map_err(|e| TlsError::Invalid(e.to_string()))?;
                builder.with_client_cert_verifier(verifier)
            }
        };
        let (chain, key) = identity.parse()?;
        let mut config = builder.with_single_cert(chain, key).map_err(invalid)?;
        config.alpn_protocols = vec![b"http/1.1".to_vec()]; // RFC 7301
        Ok(ServerTls(Arc::new(config)))
    }

    /// Performs the handshake on a connection that was just accepted, within the timeout.
    pub async fn accept(&self, stream: TcpStream, timeout: Duration) -> io::Result<Stream> {
        let timed_out = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let handshake = async { TlsAcceptor::from(self.0.clone()).accept(stream).await };
        Ok(Stream::Tls(Box::new(TlsStream::Server(handshake.or(timed_out).await?))))
    }
}

/// The TLS configuration of a client.
#[derive(Clone, Debug)]
pub struct ClientTls {
    config: Arc<ClientConfig>,
    name: ServerName<'static>,
}

impl ClientTls {
    /// A configuration that accepts certificates signed by an authority and valid for a server name. With
    /// `identity`, the client presents its own certificate if the server requests one.
    pub fn new(authority: &[u8], name: &str, identity: Option<Identity<'_>>) -> Result<Self, TlsError> {
        let provider = Arc::new(crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider);
        let builder = builder.with_safe_default_protocol_versions().map_err(invalid)?;
        let builder = builder.with_root_certificates(roots(authority)?);
        let mut config = match identity {
            None => builder.with_no_client_auth(),
            Some(identity) => {
                let (chain, key) = identity.parse()?;
                builder.with_client_auth_cert(chain, key).map_err(invalid)?
            }
        };
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        let name = ServerName::try_from(name.to_owned()).map_err(|_| TlsError::Name(name.to_owned()))?;
        Ok(ClientTls { config: Arc::new(config), name })
    }

    /// Performs the handshake on a new connection. If it fails, no part of a request was sent.
    pub(crate) async fn connect(&self, stream: TcpStream) -> Result<Stream, ExchangeError> {
        let connector = TlsConnector::from(self.config.clone());
        let stream = connector.connect(self.name.clone(), stream).await;
        let stream = stream.map_err(|e| ExchangeError::Connect(format!("TLS: {e}")))?;
        Ok(Stream::Tls(Box::new(TlsStream::Client(stream))))
    }
}

/// A connection with or without TLS.
#[derive(Debug)]
pub enum Stream {
    /// Plain TCP.
    Plain(TcpStream),
    /// TLS over TCP.
    Tls(Box<TlsStream<TcpStream>>),
}

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Self {
        Stream::Plain(stream)
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Plain(s) => Pin::new(s).poll_read(cx, buf),
            Stream::Tls(s) => Pin::new(&mut **s).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Plain(s) => Pin::new(s).poll_write(cx, buf),
            Stream::Tls(s) => Pin::new(&mut **s).poll_write(cx, buf),
        }
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(s) => Pin::new(s).poll_flush(cx),
            Stream::Tls(s) => Pin::new(&mut **s).poll_flush(cx),
        }
    }
    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Plain(s) => Pin::new(s).poll_close(cx),
            Stream::Tls(s) => Pin::new(&mut **s).poll_close(cx),
        }
    }
}
