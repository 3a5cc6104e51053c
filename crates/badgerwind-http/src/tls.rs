//! TLS 1.2 and 1.3 (RFC 5246, RFC 8446) by rustls, under connections of either side.
//!
//! Certificates and keys come as PEM text (RFC 7468). What a side goes by is a value that can be exchanged while
//! connections are open: they keep the one that they began with.

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

/// What is wrong with certificates or keys. It holds none of a key's bytes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TlsError {
    /// Not PEM, or without what is looked for.
    #[error("no {what} in PEM form: {why}")]
    Pem {
        /// What was looked for.
        what: &'static str,
        /// Why it was not found.
        why: String,
    },
    /// The parts do not fit together, or are not taken.
    #[error("{0}")]
    Unfit(String),
    /// No name that a certificate could bear.
    #[error("\"{0}\" is neither a host's name nor an IP address")]
    Name(String),
}

/// A certificate chain, the end's own first, and its private key, both in PEM text.
#[derive(Clone, Copy)]
pub struct Identity<'a> {
    /// The chain.
    pub chain: &'a [u8],
    /// The key.
    pub key: &'a [u8],
}

type Parts = (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>);

fn certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let what = "certificate";
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let all = all.map_err(|e| TlsError::Pem { what, why: e.to_string() })?;
    match all.is_empty() {
        true => Err(TlsError::Pem { what, why: "none stands there".into() }),
        false => Ok(all),
    }
}

impl Identity<'_> {
    fn parts(&self) -> Result<Parts, TlsError> {
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
            .map_err(|e| TlsError::Unfit(format!("not an authority's certificate: {e}")))?;
    }
    Ok(roots)
}

fn unfit(e: rustls::Error) -> TlsError {
    TlsError::Unfit(e.to_string())
}

/// How a server meets its clients.
#[derive(Clone, Debug)]
pub struct ServerTls(Arc<ServerConfig>);

impl ServerTls {
    /// A server with an identity; where `clients` is given, clients must show a certificate of that authority.
    pub fn new(identity: Identity<'_>, clients: Option<&[u8]>) -> Result<Self, TlsError> {
        let provider = Arc::new(crypto::ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone());
        let builder = builder.with_safe_default_protocol_versions().map_err(unfit)?;
        let builder = match clients {
            None => builder.with_no_client_auth(),
            Some(pem) => {
                let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots(pem)?), provider);
                let verifier = verifier.build().map_err(|e| TlsError::Unfit(e.to_string()))?;
                builder.with_client_cert_verifier(verifier)
            }
        };
        let (chain, key) = identity.parts()?;
        let mut config = builder.with_single_cert(chain, key).map_err(unfit)?;
        config.alpn_protocols = vec![b"http/1.1".to_vec()]; // RFC 7301
        Ok(ServerTls(Arc::new(config)))
    }

    /// Shakes hands on a connection just accepted, within a time.
    pub async fn accept(&self, stream: TcpStream, time: Duration) -> io::Result<Stream> {
        let late = async {
            Timer::after(time).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let shaken = async { TlsAcceptor::from(self.0.clone()).accept(stream).await };
        Ok(Stream::Tls(Box::new(TlsStream::Server(shaken.or(late).await?))))
    }
}

/// How a client meets servers.
#[derive(Clone, Debug)]
pub struct ClientTls {
    config: Arc<ClientConfig>,
    name: ServerName<'static>,
}

impl ClientTls {
    /// A client that trusts the certificates of an authority that bear a name; it shows its own where one is given
    /// and asked for.
    pub fn new(authority: &[u8], name: &str, identity: Option<Identity<'_>>) -> Result<Self, TlsError> {
        let provider = Arc::new(crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider);
        let builder = builder.with_safe_default_protocol_versions().map_err(unfit)?;
        let builder = builder.with_root_certificates(roots(authority)?);
        let mut config = match identity {
            None => builder.with_no_client_auth(),
            Some(identity) => {
                let (chain, key) = identity.parts()?;
                builder.with_client_auth_cert(chain, key).map_err(unfit)?
            }
        };
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        let name = ServerName::try_from(name.to_owned()).map_err(|_| TlsError::Name(name.to_owned()))?;
        Ok(ClientTls { config: Arc::new(config), name })
    }

    /// Shakes hands on a connection just made. Nothing of a request was sent where this fails.
    pub(crate) async fn connect(&self, stream: TcpStream) -> Result<Stream, ExchangeError> {
        let connector = TlsConnector::from(self.config.clone());
        let shaken = connector.connect(self.name.clone(), stream).await;
        let shaken = shaken.map_err(|e| ExchangeError::Connect(format!("TLS: {e}")))?;
        Ok(Stream::Tls(Box::new(TlsStream::Client(shaken))))
    }
}

/// A connection, under TLS or not.
#[derive(Debug)]
pub enum Stream {
    /// As it is.
    Plain(TcpStream),
    /// Under TLS.
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
