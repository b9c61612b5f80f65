//! `walnutline token`: creates keys, viewer tokens and proofs of possession, for issuers and for manual tests of a
//! front.
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use walnutline_auth::claims::{ProofClaims, ViewerClaims};
use walnutline_dash::{decode_base64url, encode_base64url, proof, token, token_hash, SigningKey};

/// Sub-commands of `walnutline token`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Create a key pair: NAME.secret and NAME.pub.
    Key { name: PathBuf },
    /// Sign a viewer token and print it.
    Mint {
        /// File of the issuer's secret key.
        #[arg(long)]
        issuer: PathBuf,
        /// Id of the issuer's key.
        #[arg(long)]
        key_id: String,
        /// File of the viewer's public key.
        #[arg(long)]
        viewer: PathBuf,
        /// Title that the token is valid for.
        #[arg(long)]
        title: String,
        /// Service group of the viewer.
        #[arg(long)]
        group: String,
        /// Numbers of the boxes that hold the title.
        #[arg(long, value_delimiter = ',', required = true)]
        holders: Vec<u32>,
        /// Validity period of the token, in seconds.
        #[arg(long = "lasts", value_name = "LASTS", default_value_t = 3_600.0)]
        validity_s: f64,
    },
    /// Sign a proof of possession for one request and print it.
    Prove {
        /// File of the viewer's secret key.
        #[arg(long)]
        viewer: PathBuf,
        /// The URL of the request, without its query.
        #[arg(long)]
        url: String,
        /// The token that is sent with the proof.
        #[arg(long)]
        token: String,
    },
}

/// Runs a sub-command of `walnutline token`.
pub fn run(command: Command) -> Result<(), String> {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0;
    match command {
        Command::Key { name } => {
            let key = SigningKey::from_bytes(&random_bytes()?);
            write_new(&name.with_extension("secret"), &encode_base64url(key.as_bytes()), 0o600)?;
            write_new(&name.with_extension("pub"), &encode_base64url(key.verifying_key().as_bytes()), 0o644)
        }
        Command::Mint { issuer, key_id, viewer, title, group, holders, validity_s } => {
            let encoded_title =
                percent_encoding::utf8_percent_encode(&title, percent_encoding::NON_ALPHANUMERIC);
            let claims = ViewerClaims {
                id: random_bytes()?[..16].to_vec(),
                manifest_path: format!("/m/{encoded_title}.mpd"),
                service_group: group,
                holders,
                max_rung: None,
                tenant: None,
                not_before: None,
                expires_at: now_ms + validity_s * 1_000.0,
                viewer_key: read_key(&viewer)?,
            };
            println!(
                "{}",
                token::mint(&claims, key_id.as_bytes(), &SigningKey::from_bytes(&read_key(&issuer)?))
            );
            Ok(())
        }
        Command::Prove { viewer, url, token } => {
            let key = SigningKey::from_bytes(&read_key(&viewer)?);
            let proof = ProofClaims {
                public_key: key.verifying_key().to_bytes(),
                id: encode_base64url(&random_bytes()?[..16]),
                method: "GET".into(),
                url,
                issued_at: now_ms,
                token_hash: token_hash(&token),
            };
            println!("{}", proof::mint(&proof, &key));
            Ok(())
        }
    }
}

fn random_bytes() -> Result<[u8; 32], String> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).map_err(|e| format!("no random bytes from the system: {e}"))?;
    Ok(bytes)
}

fn read_key(file: &Path) -> Result<[u8; 32], String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let bytes = decode_base64url(text.trim()).map_err(|e| format!("{}: {e}", file.display()))?;
    bytes.try_into().map_err(|_| format!("{}: key is not 32 bytes long", file.display()))
}

/// Writes a new file; fails if the file exists.
fn write_new(file: &Path, text: &str, mode: u32) -> Result<(), String> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let opened = std::fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(file);
    opened.and_then(|mut f| writeln!(f, "{text}")).map_err(|e| format!("{}: {e}", file.display()))
}
