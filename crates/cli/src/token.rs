//! `walnutline token`: keys and tokens, for the publisher of notices and for trying a front by hand.
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use walnutline_auth::claims::{ProofClaims, ViewerClaims};
use walnutline_dash::{decode_base64url, encode_base64url, proof, token, token_hash, SigningKey};

#[derive(clap::Subcommand)]
pub enum Command {
    /// Make a key: NAME.secret and NAME.pub.
    Key { name: PathBuf },
    /// Sign a viewer's token and print it.
    Mint {
        /// The issuer's secret key, and its id.
        #[arg(long)]
        issuer: PathBuf,
        #[arg(long)]
        key_id: String,
        /// The viewer's public key.
        #[arg(long)]
        viewer: PathBuf,
        #[arg(long)]
        title: String,
        #[arg(long)]
        group: String,
        /// Numbers of the boxes that hold the title.
        #[arg(long, value_delimiter = ',', required = true)]
        holders: Vec<u32>,
        /// How long it is good, in seconds.
        #[arg(long, default_value_t = 3_600.0)]
        lasts: f64,
    },
    /// Sign a proof of possession for one request and print it.
    Prove {
        /// The viewer's secret key.
        #[arg(long)]
        viewer: PathBuf,
        /// The URL of the request, without its query.
        #[arg(long)]
        url: String,
        /// The token that goes with it.
        #[arg(long)]
        token: String,
    },
}

pub fn run(command: Command) -> Result<(), String> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0;
    match command {
        Command::Key { name } => {
            let key = SigningKey::from_bytes(&random()?);
            write(&name.with_extension("secret"), &encode_base64url(key.as_bytes()), 0o600)?;
            write(&name.with_extension("pub"), &encode_base64url(key.verifying_key().as_bytes()), 0o644)
        }
        Command::Mint { issuer, key_id, viewer, title, group, holders, lasts } => {
            let path = percent_encoding::utf8_percent_encode(&title, percent_encoding::NON_ALPHANUMERIC);
            let claims = ViewerClaims {
                id: random()?[..16].to_vec(),
                manifest_path: format!("/m/{path}.mpd"),
                service_group: group,
                holders,
                max_rung: None,
                tenant: None,
                not_before: None,
                expires_at: now + lasts * 1_000.0,
                viewer_key: read(&viewer)?,
            };
            println!("{}", token::mint(&claims, key_id.as_bytes(), &SigningKey::from_bytes(&read(&issuer)?)));
            Ok(())
        }
        Command::Prove { viewer, url, token } => {
            let key = SigningKey::from_bytes(&read(&viewer)?);
            let proof = ProofClaims {
                public_key: key.verifying_key().to_bytes(),
                id: encode_base64url(&random()?[..16]),
                method: "GET".into(),
                url,
                issued_at: now,
                token_hash: token_hash(&token),
            };
            println!("{}", proof::mint(&proof, &key));
            Ok(())
        }
    }
}

fn random() -> Result<[u8; 32], String> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).map_err(|e| format!("no chance to draw from: {e}"))?;
    Ok(bytes)
}

fn read(file: &Path) -> Result<[u8; 32], String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let bytes = decode_base64url(text.trim()).map_err(|e| format!("{}: {e}", file.display()))?;
    bytes.try_into().map_err(|_| format!("{}: not 32 bytes of key", file.display()))
}

/// Writes a new file; one that is there is left as it is.
fn write(file: &Path, text: &str, mode: u32) -> Result<(), String> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let opened = std::fs::OpenOptions::new().write(true).create_new(true).mode(mode).open(file);
    opened.and_then(|mut f| writeln!(f, "{text}")).map_err(|e| format!("{}: {e}", file.display()))
}
