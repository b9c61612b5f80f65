//! Commands that run one stand-in each, for rehearsals set up by hand: a box, a server list, viewers.
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

/// Arguments of the `box` command.
#[derive(clap::Args)]
pub struct BoxArgs {
    /// Number of the box in the list and in requests.
    #[arg(long)]
    id: u32,
    /// Number of its rack.
    #[arg(long, default_value_t = 0)]
    rack: u32,
    /// Public session key of a front, ID=FILE; may be repeated.
    #[arg(long = "front-key", required = true)]
    front_keys: Vec<String>,
    /// Start cold.
    #[arg(long)]
    cold: bool,
    /// File for the records.
    #[arg(long)]
    records: PathBuf,
}

/// Arguments of the `list` command.
#[derive(clap::Args)]
pub struct ListArgs {
    /// The list as JSON; changes of the file are sent to the fronts.
    file: PathBuf,
    /// File for the records.
    #[arg(long)]
    records: PathBuf,
}

/// Arguments of the `viewers` command.
#[derive(clap::Args)]
pub struct ViewersArgs {
    /// Address and port of a front; may be repeated.
    #[arg(long = "front", required = true)]
    fronts: Vec<SocketAddr>,
    /// File of the issuer's secret key.
    #[arg(long)]
    issuer: PathBuf,
    /// Id of the issuer's key.
    #[arg(long)]
    key_id: String,
    /// A title with its holders, NAME=1,2,3; may be repeated.
    #[arg(long = "title", required = true)]
    titles: Vec<String>,
    /// Mean arrival rate, in viewers a second.
    #[arg(long, default_value_t = 5.0)]
    rate: f64,
    /// How long viewers arrive.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File for the records.
    #[arg(long)]
    records: PathBuf,
}

fn configure_coroutines() {
    may::config().set_workers(2).set_stack_size(0x8000);
}

fn read_key(file: &Path) -> Result<[u8; 32], String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let bytes = decode_base64url(text.trim()).map_err(|e| format!("{}: {e}", file.display()))?;
    bytes.try_into().map_err(|_| format!("{}: the key does not have 32 bytes", file.display()))
}

/// Runs one box and prints a list that holds its entry; runs until the process is ended.
pub fn run_box(args: BoxArgs) -> Result<(), String> {
    configure_coroutines();
    let mut front_keys = BTreeMap::new();
    for (number, argument) in args.front_keys.iter().enumerate() {
        let (id, file) = argument.split_once('=').ok_or_else(|| format!("{argument:?} is not ID=FILE"))?;
        let key = VerifyingKey::from_bytes(&read_key(Path::new(file))?)
            .map_err(|_| format!("{file}: not an Ed25519 public key"))?;
        front_keys.insert(id.as_bytes().to_vec(), (number as u32, key));
    }
    let script = script::parse("box", &format!("boxes {} in 1 racks", args.id + 1))?;
    let fleet = Fleet::new(
        args.id + 1,
        1,
        deployment::box_settings(&script),
        Arc::new(Recorder::create(&args.records)?),
    );
    let context = BoxContext::new(Arc::new(fleet), front_keys, BTreeMap::new(), 0.02, 500.0);
    let context = Arc::new(context);
    let process =
        BoxProcess::start(&context, args.id, args.cold).map_err(|e| format!("box {}: {e}", args.id))?;
    let entry = BoxEntry {
        id: args.id,
        name: format!("box-{}", args.id),
        state: BoxState::Ready,
        rack: args.rack,
        building: 0,
        kind: 0,
        weight: 1.0,
        started_at_ms: args.cold.then(|| context.fleet.recorder.now_ms()),
        control_addr: process.control_addr,
        media_url: format!("http://{}", process.media_addr),
    };
    println!("{}", box_list::to_json(&BoxList { boxes: vec![entry] }));
    loop {
        std::thread::sleep(Duration::from_millis(100));
        context.fleet.sample_loads();
        context.fleet.recorder.flush()?;
    }
}

/// Serves a server list from a file and prints its URL; runs until the process is ended.
pub fn run_list(args: ListArgs) -> Result<(), String> {
    configure_coroutines();
    let recorder = Arc::new(Recorder::create(&args.records)?);
    let (list_server, address) =
        ListServer::start(recorder.clone(), 0.0).map_err(|e| format!("list: {e}"))?;
    let (mut last_modified_at, mut known): (Option<SystemTime>, BTreeMap<u32, BoxEntry>) =
        (None, BTreeMap::new());
    loop {
        let modified_at = std::fs::metadata(&args.file).and_then(|m| m.modified());
        let modified_at = modified_at.map_err(|e| format!("{}: {e}", args.file.display()))?;
        if last_modified_at != Some(modified_at) {
            let text =
                std::fs::read_to_string(&args.file).map_err(|e| format!("{}: {e}", args.file.display()))?;
            match box_list::parse(&text) {
                Ok(list) => known = update_list(&list_server, known, list),
                // An invalid list changes nothing; at the start it is an error, as there is no list to keep.
                Err(e) if last_modified_at.is_none() => return Err(format!("{}: {e}", args.file.display())),
                Err(e) => eprintln!("{}: {e}", args.file.display()),
            }
            if last_modified_at.is_none() {
                println!("http://{address}/boxes/0");
            }
            last_modified_at = Some(modified_at);
        }
        std::thread::sleep(Duration::from_millis(50));
        recorder.flush()?;
    }
}

/// Updates the served list by the entries that differ from before; boxes that the file leaves out are gone.
fn update_list(
    list_server: &ListServer,
    before: BTreeMap<u32, BoxEntry>,
    list: BoxList,
) -> BTreeMap<u32, BoxEntry> {
    let now: BTreeMap<u32, BoxEntry> = list.boxes.into_iter().map(|entry| (entry.id, entry)).collect();
    let changed = now.values().filter(|entry| before.get(&entry.id) != Some(entry)).cloned();
    let gone = before.values().filter(|entry| !now.contains_key(&entry.id));
    let entries: Vec<BoxEntry> =
        changed.chain(gone.map(|entry| BoxEntry { state: BoxState::Gone, ..entry.clone() })).collect();
    if !entries.is_empty() {
        list_server.update(entries);
    }
    now
}

/// Lets viewers arrive for a time, and prints how many requests they sent and how many of them play.
pub fn run_viewers(args: ViewersArgs) -> Result<(), String> {
    configure_coroutines();
    let recorder = Arc::new(Recorder::create(&args.records)?);
    let mut titles = Vec::new();
    for argument in &args.titles {
        let (name, holders) =
            argument.split_once('=').ok_or_else(|| format!("{argument:?} is not NAME=1,2,3"))?;
        let holders = holders.split(',').map(str::parse).collect::<Result<_, _>>();
        let holders = holders.map_err(|e| format!("{argument:?}: {e}"))?;
        titles.push(Title { name: name.into(), holders });
    }
    let groups = deployment::audit_settings().groups.into_iter().zip([0.35, 0.65]).collect();
    let issuer = SigningKey::from_bytes(&read_key(&args.issuer)?);
    let key_id = args.key_id.into_bytes();
    let viewers =
        ViewerPopulation::new(recorder.clone(), groups, titles, issuer, key_id, (2_000.0, 6_000.0), 500.0);
    let viewers = Arc::new(viewers);
    let fronts =
        args.fronts.iter().enumerate().map(|(number, address)| (number as u32, *address, 1.0)).collect();
    viewers.fronts.lock().unwrap_or_else(|e| e.into_inner()).running = fronts;
    recorder.record(crate::record::Observation::Settings(deployment::audit_settings()));
    let population = viewers.clone();
    crate::net::spawn(move || population.run_arrivals(args.rate, args.seed));
    std::thread::sleep(Duration::from_secs_f64(args.seconds));
    viewers.stopped.store(true, Ordering::SeqCst);
    for _ in 0..1_000 {
        if viewers.active_viewers.load(Ordering::SeqCst) == 0 {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    recorder.flush()?;
    let text = std::fs::read_to_string(&args.records).map_err(|e| e.to_string())?;
    let (mut requests, mut played) = (0, 0);
    for r in crate::record::parse(&text)? {
        requests += usize::from(matches!(r.observation, crate::record::Observation::RequestSent { .. }));
        played +=
            usize::from(matches!(r.observation, crate::record::Observation::Answered { status: 200, .. }));
    }
    println!("requests {requests}  played {played}");
    Ok(())
}
