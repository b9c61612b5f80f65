//! The stand-ins one by one, for a rehearsal put together by hand: a box, a list, viewers.
use crate::boxes::{BoxContext, BoxProcess};
use crate::deployment;
use crate::fleet::Fleet;
use crate::list_server::ListServer;
use crate::record::Recorder;
use crate::script;
use crate::viewers::{Title, ViewerPopulation};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use walnutline_control::box_list::{self, BoxEntry, BoxList, BoxState};
use walnutline_dash::{decode_base64url, SigningKey, VerifyingKey};

#[derive(clap::Args)]
pub struct BoxArgs {
    /// Its number in the list and in requests.
    #[arg(long)]
    id: u32,
    #[arg(long, default_value_t = 0)]
    rack: u32,
    /// Fronts' session keys: ID=FILE of a public key.
    #[arg(long = "front-key", required = true)]
    front_keys: Vec<String>,
    /// Start cold.
    #[arg(long)]
    cold: bool,
    #[arg(long)]
    records: PathBuf,
}

#[derive(clap::Args)]
pub struct ListArgs {
    /// The list as JSON; told anew whenever the file changes.
    file: PathBuf,
    #[arg(long)]
    records: PathBuf,
}

#[derive(clap::Args)]
pub struct ViewersArgs {
    /// Fronts, each address:port.
    #[arg(long = "front", required = true)]
    fronts: Vec<SocketAddr>,
    /// The issuer's secret key, and its id.
    #[arg(long)]
    issuer: PathBuf,
    #[arg(long)]
    key_id: String,
    /// Titles with their holders: NAME=1,2,3.
    #[arg(long = "title", required = true)]
    titles: Vec<String>,
    /// ViewerPopulation a second.
    #[arg(long, default_value_t = 5.0)]
    rate: f64,
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long)]
    records: PathBuf,
}

fn coroutines() {
    may::config().set_workers(2).set_stack_size(0x8000);
}

fn key(file: &Path) -> Result<[u8; 32], String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let bytes = decode_base64url(text.trim()).map_err(|e| format!("{}: {e}", file.display()))?;
    bytes.try_into().map_err(|_| format!("{}: not 32 bytes of key", file.display()))
}

/// Runs one box and prints its line for a list; ends with the process.
pub fn run_box(args: BoxArgs) -> Result<(), String> {
    coroutines();
    let mut keys = BTreeMap::new();
    for (n, given) in args.front_keys.iter().enumerate() {
        let (id, file) = given.split_once('=').ok_or_else(|| format!("{given:?} is not ID=FILE"))?;
        let key = VerifyingKey::from_bytes(&key(Path::new(file))?)
            .map_err(|_| format!("{file}: no Ed25519 public key"))?;
        keys.insert(id.as_bytes().to_vec(), (n as u32, key));
    }
    let day = script::parse("box", &format!("boxes {} in 1 racks", args.id + 1))?;
    let fleet = Fleet::new(
        args.id + 1,
        1,
        deployment::box_settings(&day),
        Arc::new(Recorder::create(&args.records)?),
    );
    let common = BoxContext::new(Arc::new(fleet), keys, BTreeMap::new(), 0.02, 500.0);
    let common = Arc::new(common);
    let p = BoxProcess::start(&common, args.id, args.cold).map_err(|e| format!("box {}: {e}", args.id))?;
    let line = BoxEntry {
        id: args.id,
        name: format!("box-{}", args.id),
        state: BoxState::Ready,
        rack: args.rack,
        building: 0,
        kind: 0,
        weight: 1.0,
        started_at_ms: args.cold.then(|| common.fleet.recorder.now_ms()),
        control_addr: p.control_addr,
        media_url: format!("http://{}", p.media_addr),
    };
    println!("{}", box_list::to_json(&BoxList { boxes: vec![line] }));
    loop {
        std::thread::sleep(Duration::from_millis(100));
        common.fleet.sample_loads();
        common.fleet.recorder.flush()?;
    }
}

/// Serves a list from a file and prints its address; ends with the process.
pub fn run_list(args: ListArgs) -> Result<(), String> {
    coroutines();
    let seen = Arc::new(Recorder::create(&args.records)?);
    let (listing, address) = ListServer::start(seen.clone(), 0.0).map_err(|e| format!("list: {e}"))?;
    let (mut read_at, mut known): (Option<SystemTime>, BTreeMap<u32, BoxEntry>) = (None, BTreeMap::new());
    loop {
        let at = std::fs::metadata(&args.file).and_then(|m| m.modified());
        let at = at.map_err(|e| format!("{}: {e}", args.file.display()))?;
        if read_at != Some(at) {
            let text =
                std::fs::read_to_string(&args.file).map_err(|e| format!("{}: {e}", args.file.display()))?;
            match box_list::parse(&text) {
                Ok(list) => known = changed(&listing, known, list),
                // A list that cannot be read changes nothing, but at the start there is nothing to keep.
                Err(e) if read_at.is_none() => return Err(format!("{}: {e}", args.file.display())),
                Err(e) => eprintln!("{}: {e}", args.file.display()),
            }
            if read_at.is_none() {
                println!("http://{address}/boxes/0");
            }
            read_at = Some(at);
        }
        std::thread::sleep(Duration::from_millis(50));
        seen.flush()?;
    }
}

/// Tells what is new or other than before; what the file leaves out is gone.
fn changed(listing: &ListServer, before: BTreeMap<u32, BoxEntry>, list: BoxList) -> BTreeMap<u32, BoxEntry> {
    let now: BTreeMap<u32, BoxEntry> = list.boxes.into_iter().map(|l| (l.id, l)).collect();
    let other = now.values().filter(|l| before.get(&l.id) != Some(l)).cloned();
    let gone = before.values().filter(|l| !now.contains_key(&l.id));
    let lines: Vec<BoxEntry> =
        other.chain(gone.map(|l| BoxEntry { state: BoxState::Gone, ..l.clone() })).collect();
    if !lines.is_empty() {
        listing.update(lines);
    }
    now
}

/// Lets viewers come for a time and tells how many played.
pub fn run_viewers(args: ViewersArgs) -> Result<(), String> {
    coroutines();
    let seen = Arc::new(Recorder::create(&args.records)?);
    let mut titles = Vec::new();
    for given in &args.titles {
        let (name, holders) = given.split_once('=').ok_or_else(|| format!("{given:?} is not NAME=1,2,3"))?;
        let holders = holders.split(',').map(str::parse).collect::<Result<_, _>>();
        let holders = holders.map_err(|e| format!("{given:?}: {e}"))?;
        titles.push(Title { name: name.into(), holders });
    }
    let groups = deployment::audit_settings().groups.into_iter().zip([0.35, 0.65]).collect();
    let issuer = SigningKey::from_bytes(&key(&args.issuer)?);
    let key_id = args.key_id.into_bytes();
    let viewers =
        ViewerPopulation::new(seen.clone(), groups, titles, issuer, key_id, (2_000.0, 6_000.0), 500.0);
    let viewers = Arc::new(viewers);
    let up = args.fronts.iter().enumerate().map(|(n, a)| (n as u32, *a, 1.0)).collect();
    viewers.fronts.lock().unwrap_or_else(|e| e.into_inner()).running = up;
    seen.record(crate::record::Observation::Settings(deployment::audit_settings()));
    let v = viewers.clone();
    crate::net::spawn(move || v.run_arrivals(args.rate, args.seed));
    std::thread::sleep(Duration::from_secs_f64(args.seconds));
    viewers.stopped.store(true, Ordering::SeqCst);
    for _ in 0..1_000 {
        if viewers.active_viewers.load(Ordering::SeqCst) == 0 {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    seen.flush()?;
    let text = std::fs::read_to_string(&args.records).map_err(|e| e.to_string())?;
    let (mut asked, mut played) = (0, 0);
    for r in crate::record::parse(&text)? {
        asked += usize::from(matches!(r.observation, crate::record::Observation::RequestSent { .. }));
        played +=
            usize::from(matches!(r.observation, crate::record::Observation::Answered { status: 200, .. }));
    }
    println!("requests {asked}  played {played}");
    Ok(())
}
