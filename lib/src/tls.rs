//! TLS for the ports of callers and operators: certificate and key from files, taken up
//! anew without a restart when the files change.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures_util::Stream;
use futures_util::stream;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::listener::AcceptorExt;
use poem::listener::BoxAcceptor;
use poem::listener::RustlsCertificate;
use poem::listener::RustlsConfig;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use rustls::crypto::aws_lc_rs;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::sign::CertifiedKey;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::findings::Findings;
use crate::logging::Level;
use crate::logging::Line;
use crate::secrets::REDACTED;

/// Where certificate and key are, if there are any.
///
/// ```
/// use sardinewood::tls::TlsSettings;
///
/// assert!(TlsSettings::default().load().unwrap().is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// The chain of certificates in PEM, the server's own first.
    pub certificate_file: Option<PathBuf>,
    /// The private key in PEM.
    pub key_file: Option<PathBuf>,
    /// How often the files are looked at.
    pub reload_ms: u64,
}

impl Default for TlsSettings {
    fn default() -> Self {
        Self {
            certificate_file: None,
            key_file: None,
            reload_ms: 10_000,
        }
    }
}

/// A certificate and its key cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// Only one of the two files is named.
    #[error("--tls-certificate-file and --tls-key-file go together")]
    Incomplete,
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// A file holds something else.
    #[error("{path} holds no {what} in PEM")]
    NotPem {
        /// The file.
        path: String,
        /// What it should hold.
        what: &'static str,
    },
    /// The key is not the certificate's.
    #[error("certificate and key cannot be used together: {0}")]
    Mismatch(rustls::Error),
}

impl TlsSettings {
    /// Collects what is wrong.
    ///
    /// ```
    /// use sardinewood::findings::Findings;
    /// use sardinewood::tls::TlsSettings;
    ///
    /// let key_file = Some("/run/key.pem".into());
    /// let settings = TlsSettings { key_file, ..TlsSettings::default() };
    /// let mut findings = Findings::default();
    /// settings.check(&mut findings);
    /// assert!(!findings.is_empty());
    /// ```
    pub fn check(&self, findings: &mut Findings) {
        if let Err(error) = self.load() {
            findings.add("--tls-certificate-file", error.to_string());
        }
    }

    /// Reads and checks certificate and key; `None` if no files are named.
    ///
    /// ```
    /// use sardinewood::tls::TlsSettings;
    ///
    /// let certificate_file = Some("/nowhere/cert.pem".into());
    /// let key_file = Some("/nowhere/key.pem".into());
    /// let settings = TlsSettings { certificate_file, key_file, reload_ms: 1_000 };
    /// assert!(settings.load().is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Says which file is wrong and why.
    pub fn load(&self) -> Result<Option<TlsPair>, TlsError> {
        match (&self.certificate_file, &self.key_file) {
            (None, None) => Ok(None),
            (Some(certificate), Some(key)) => TlsPair::load(certificate, key).map(Some),
            _ => Err(TlsError::Incomplete),
        }
    }
}

/// A certificate with its key, both checked.
#[derive(Clone, PartialEq, Eq)]
pub struct TlsPair {
    certificate_pem: Vec<u8>,
    key_pem: Vec<u8>,
}

impl fmt::Debug for TlsPair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(REDACTED)
    }
}

impl TlsPair {
    fn load(certificate_file: &Path, key_file: &Path) -> Result<Self, TlsError> {
        let pair = Self {
            certificate_pem: read(certificate_file)?,
            key_pem: read(key_file)?,
        };
        let not_pem = |path: &Path, what| TlsError::NotPem {
            path: path.display().to_string(),
            what,
        };
        let chain: Result<Vec<_>, _> =
            CertificateDer::pem_slice_iter(&pair.certificate_pem).collect();
        let chain = chain.ok().filter(|chain| !chain.is_empty());
        let chain = chain.ok_or_else(|| not_pem(certificate_file, "certificate"))?;
        let key = PrivateKeyDer::from_pem_slice(&pair.key_pem);
        let key = key.map_err(|_| not_pem(key_file, "private key"))?;
        // A key of another certificate would fail each handshake, and callers would see
        // nothing but closed connections.
        CertifiedKey::from_der(chain, key, &aws_lc_rs::default_provider())
            .map_err(TlsError::Mismatch)?;
        Ok(pair)
    }

    fn to_config(&self) -> RustlsConfig {
        let certificate = RustlsCertificate::new()
            .cert(self.certificate_pem.clone())
            .key(self.key_pem.clone());
        RustlsConfig::new().fallback(certificate)
    }
}

fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
    std::fs::read(path).map_err(|source| TlsError::Unreadable {
        path: path.display().to_string(),
        source,
    })
}

/// What to do after the files were looked at again.
#[derive(Debug)]
pub enum Reload {
    /// They are the same.
    Keep,
    /// Use these from now on.
    Replace(TlsPair),
    /// They cannot be used: what was good before stays.
    Refuse(TlsError),
}

/// Compares what is used with what the files hold now.
///
/// Two files cannot be replaced in one step. Between the two steps the key is not the
/// certificate's; to take it up would fail each handshake, so the earlier pair stays until
/// the files fit together again.
///
/// ```
/// use sardinewood::tls::{Reload, TlsError, reload};
///
/// assert!(matches!(reload(None, Err(TlsError::Incomplete)), Reload::Refuse(_)));
/// assert!(matches!(reload(None, Ok(None)), Reload::Keep));
/// ```
#[must_use]
pub fn reload(used: Option<&TlsPair>, found: Result<Option<TlsPair>, TlsError>) -> Reload {
    match found {
        Err(error) => Reload::Refuse(error),
        Ok(Some(pair)) if Some(&pair) != used => Reload::Replace(pair),
        Ok(_) => Reload::Keep,
    }
}

/// The certificate and key in use, for any number of ports.
#[derive(Clone, Debug)]
pub struct TlsFeed {
    pair: watch::Receiver<Arc<TlsPair>>,
}

impl TlsFeed {
    /// Loads certificate and key and follows their files on the current runtime; `None` if
    /// no files are named.
    ///
    /// ```
    /// use sardinewood::tls::{TlsFeed, TlsSettings};
    ///
    /// assert!(TlsFeed::open(&TlsSettings::default()).unwrap().is_none());
    /// ```
    ///
    /// # Errors
    ///
    /// When the files cannot be used.
    pub fn open(settings: &TlsSettings) -> Result<Option<Self>, TlsError> {
        let Some(pair) = settings.load()? else {
            return Ok(None);
        };
        let (sender, pair) = watch::channel(Arc::new(pair));
        tokio::spawn(follow(settings.clone(), sender));
        Ok(Some(Self { pair }))
    }

    fn configs(&self) -> impl Stream<Item = RustlsConfig> + Send + Unpin + use<> {
        let mut pair = self.pair.clone();
        pair.mark_changed();
        Box::pin(stream::unfold(pair, |mut pair| async move {
            pair.changed().await.ok()?;
            let config = pair.borrow_and_update().to_config();
            Some((config, pair))
        }))
    }
}

async fn follow(settings: TlsSettings, pair: watch::Sender<Arc<TlsPair>>) {
    let pause = Duration::from_millis(settings.reload_ms);
    let mut complaint = String::new();
    while !pair.is_closed() {
        sleep(pause).await;
        let used = Arc::clone(&pair.borrow());
        match reload(Some(&used), settings.load()) {
            Reload::Keep => complaint.clear(),
            Reload::Replace(new) => {
                complaint.clear();
                pair.send_replace(Arc::new(new));
                Line::new(Level::Info, "certificate replaced").send();
            }
            Reload::Refuse(error) => complain(&mut complaint, &error),
        }
    }
}

/// Logs a problem once, not at each look at the files.
fn complain(last: &mut String, error: &TlsError) {
    let text = error.to_string();
    if *last != text {
        Line::new(Level::Error, "certificate not replaced")
            .field("error", &text)
            .send();
        *last = text;
    }
}

/// The acceptor itself, or TLS on top of it.
#[must_use]
pub fn secured(acceptor: impl Acceptor + 'static, tls: Option<&TlsFeed>) -> BoxAcceptor {
    let Some(tls) = tls else {
        return acceptor.boxed();
    };
    let inner = AfterCertificate {
        inner: acceptor,
        is_first: true,
    };
    inner.rustls(tls.configs()).boxed()
}

/// Accepts nothing at its first poll.
///
/// The library's acceptor looks at its stream of certificates and at new connections in an
/// order drawn at random, and drops a connection that it takes before the first
/// certificate: a caller that connects right after a start would see a reset. The first
/// certificate is ready at the first poll, so standing back once is enough.
struct AfterCertificate<A> {
    inner: A,
    is_first: bool,
}

impl<A: Acceptor> Acceptor for AfterCertificate<A> {
    type Io = A::Io;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(A::Io, LocalAddr, RemoteAddr, Scheme)> {
        if self.is_first {
            self.is_first = false;
            yield_now().await;
        }
        self.inner.accept().await
    }
}
