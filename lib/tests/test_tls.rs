//! TLS on the callers' port, and a certificate that is replaced while the entry runs.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rcgen::CertifiedKey;
use rcgen::KeyPair;
use rcgen::generate_simple_self_signed;
use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::crypto::aws_lc_rs;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::ServerName;
use sardinewood::config::Config;
use sardinewood::entry;
use sardinewood::entry::settings::EntrySettings;
use sardinewood::findings::Findings;
use sardinewood::metrics::Metrics;
use sardinewood::tls::Reload;
use sardinewood::tls::TlsSettings;
use sardinewood::tls::reload;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

/// Longer than any healthy run takes.
const GENEROUS: Duration = Duration::from_secs(20);

/// Two files that are removed at the end of a test.
struct Files {
    directory: PathBuf,
}

impl Files {
    fn new() -> Self {
        let name = format!("sardinewood-tls-{:016x}", rand::random::<u64>());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir(&directory).unwrap();
        Self { directory }
    }

    fn settings(&self) -> TlsSettings {
        TlsSettings {
            certificate_file: Some(self.directory.join("cert.pem")),
            key_file: Some(self.directory.join("key.pem")),
            reload_ms: 10,
        }
    }

    fn write_certificate(&self, pair: &CertifiedKey<KeyPair>) {
        fs::write(self.directory.join("cert.pem"), pair.cert.pem()).unwrap();
    }

    fn write_key(&self, pair: &CertifiedKey<KeyPair>) {
        let pem = pair.signing_key.serialize_pem();
        fs::write(self.directory.join("key.pem"), pem).unwrap();
    }

    fn write(&self, pair: &CertifiedKey<KeyPair>) {
        self.write_certificate(pair);
        self.write_key(pair);
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        // What is left in the directory of temporary files harms nobody.
        let _removed = fs::remove_dir_all(&self.directory);
    }
}

fn pair() -> CertifiedKey<KeyPair> {
    generate_simple_self_signed(vec!["entry.test".to_owned()]).unwrap()
}

/// Opens a connection that trusts this certificate only.
async fn connect(
    address: SocketAddr,
    trusted: &CertificateDer<'static>,
) -> std::io::Result<TlsStream<TcpStream>> {
    let mut roots = RootCertStore::empty();
    roots.add(trusted.clone()).unwrap();
    let provider = Arc::new(aws_lc_rs::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from("entry.test").unwrap();
    let stream = TcpStream::connect(address).await?;
    TlsConnector::from(Arc::new(config))
        .connect(name, stream)
        .await
}

async fn is_healthy(stream: &mut TlsStream<TcpStream>) -> bool {
    let request = b"GET /healthz HTTP/1.1\r\nhost: entry.test\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\nok") {
        let mut bytes = [0; 512];
        let read = timeout(GENEROUS, stream.read(&mut bytes)).await;
        match read.unwrap().unwrap() {
            0 => return false,
            length => answer.extend_from_slice(&bytes[..length]),
        }
    }
    answer.starts_with(b"HTTP/1.1 200 OK\r\n")
}

#[tokio::test]
async fn certificate_replaced_without_cutting_connections() {
    // A caller keeps its connection open while the operator puts a new certificate in place.
    // New connections get the new one without a restart, and the caller's own connection,
    // on which a stream may be running, goes on.
    let files = Files::new();
    let (first, second) = (pair(), pair());
    files.write(&first);
    let settings = EntrySettings {
        tls: files.settings(),
        ..EntrySettings::default()
    };
    let catalog = Config::default().catalog();
    let entry = entry::server::spawn(&settings, catalog, Metrics::disabled()).unwrap();
    let mut early = connect(entry.address(), first.cert.der()).await.unwrap();
    assert!(is_healthy(&mut early).await);
    assert!(connect(entry.address(), second.cert.der()).await.is_err());

    files.write(&second);
    let replaced = async {
        loop {
            match connect(entry.address(), second.cert.der()).await {
                Ok(stream) => return stream,
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        }
    };
    let mut late = timeout(GENEROUS, replaced).await.unwrap();
    assert!(is_healthy(&mut late).await);
    assert!(is_healthy(&mut early).await);
}

#[test]
fn reload_key_of_another_certificate_keeps_the_good_pair() {
    // Two files are replaced one after the other. In between they do not fit together; to
    // take them up would break each handshake.
    let files = Files::new();
    let (first, second) = (pair(), pair());
    files.write(&first);
    let used = files.settings().load().unwrap();
    assert!(matches!(
        reload(used.as_ref(), files.settings().load()),
        Reload::Keep
    ));

    files.write_certificate(&second);
    let halfway = reload(used.as_ref(), files.settings().load());
    assert!(matches!(halfway, Reload::Refuse(_)), "{halfway:?}");

    files.write_key(&second);
    let whole = reload(used.as_ref(), files.settings().load());
    assert!(matches!(whole, Reload::Replace(_)), "{whole:?}");
    assert!(format!("{whole:?}").contains("[redacted]"));
}

#[test]
fn check_files_without_pem_are_findings() {
    let files = Files::new();
    let good = pair();
    files.write(&good);
    fs::write(files.directory.join("key.pem"), "no key").unwrap();
    let mut findings = Findings::default();
    files.settings().check(&mut findings);
    let text = findings.to_string();
    assert!(
        text.contains("key.pem holds no private key in PEM"),
        "{text}"
    );
}
