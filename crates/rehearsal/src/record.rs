//! Records of what the stand-ins observed on their sockets.
//!
//! A record file holds one JSON object a line. All times come from one clock, and the first record holds the settings
//! that the rehearsal is judged by. Field and variant names are part of the file format: where the name in the code
//! differs from the stored one, a serde attribute keeps the stored name.
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The settings that a rehearsal is judged by.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditSettings {
    /// The service groups that viewers request.
    pub groups: Vec<GroupSettings>,
    /// Number of rungs of the ladder.
    #[serde(rename = "rungs")]
    pub rung_count: u8,
    /// How long after a box was listed as not ready SETUPs may still reach it.
    #[serde(rename = "drain_grace")]
    pub drain_grace_ms: f64,
    /// Most SETUPs for one session.
    pub max_setups: usize,
    /// Retry budget of one front: free retries, retries per request, and the window in milliseconds.
    #[serde(rename = "budget")]
    pub retry_budget: Option<(f64, f64, f64)>,
    /// The shortest time after which a front gives up a SETUP.
    #[serde(rename = "least_timeout")]
    pub min_setup_timeout_ms: f64,
}

/// Settings of one service group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupSettings {
    pub name: String,
    /// A session that starts within this time of the first request counts as service.
    #[serde(rename = "start_target")]
    pub start_target_ms: f64,
    /// How long a viewer waits for the answer to one request.
    #[serde(rename = "patience")]
    pub wait_limit_ms: f64,
    /// Weight of one viewer in the service figure.
    pub utility: f64,
    /// Whether a SETUP that may have run can be sent to another box.
    #[serde(rename = "repeat")]
    pub repeatable: bool,
    /// The lowest rung that a session of this group may have.
    #[serde(rename = "floor")]
    pub lowest_rung: u8,
    /// Most sessions of one title on one front; 0: no limit.
    #[serde(rename = "seats")]
    pub max_sessions_per_title: usize,
}

/// One event that a stand-in observed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "saw", rename_all = "kebab-case")]
pub enum Observation {
    /// The settings of the rehearsal; always the first record.
    #[serde(rename = "terms")]
    Settings(AuditSettings),
    /// A viewer sent a request. `viewer` is the same for all its attempts.
    #[serde(rename = "asked")]
    RequestSent {
        viewer: u64,
        #[serde(rename = "req")]
        request: u64,
        front: u32,
        title: String,
        group: String,
        #[serde(rename = "wait")]
        wait_limit_ms: f64,
    },
    /// A request was answered; with status 200, session and box are those of the manifest.
    Answered {
        #[serde(rename = "req")]
        request: u64,
        status: u16,
        session: Option<u64>,
        server: Option<u32>,
    },
    /// The connection of a request ended without an answer.
    NoAnswer {
        #[serde(rename = "req")]
        request: u64,
    },
    /// No answer arrived within the viewer's wait limit.
    #[serde(rename = "gave-up")]
    WaitLimitExceeded {
        #[serde(rename = "req")]
        request: u64,
    },
    /// The viewer left before its wait limit, without an answer.
    #[serde(rename = "left")]
    ViewerLeft {
        #[serde(rename = "req")]
        request: u64,
    },
    /// More data than the one answer arrived for a request.
    #[serde(rename = "again")]
    ExtraData {
        #[serde(rename = "req")]
        request: u64,
    },
    /// A viewer played a segment; `delivered_share` is the part of the nominal rate that it arrived at.
    #[serde(rename = "segment")]
    SegmentPlayed {
        session: u64,
        server: u32,
        #[serde(rename = "share")]
        delivered_share: f64,
    },
    /// A box received a SETUP; `front` is known by the key that signed the token.
    #[serde(rename = "setup")]
    SetupReceived { server: u32, front: u32, session: u64, title: String, group: String, rung: u8 },
    /// A box answered a SETUP.
    #[serde(rename = "setup-done")]
    SetupAnswered { server: u32, session: u64, status: u16 },
    /// A front set the rung of a session.
    #[serde(rename = "rung")]
    RungSet { server: u32, session: u64, rung: u8 },
    /// A session ended at its box; the reason is `torn-down` where the front sent a TEARDOWN.
    #[serde(rename = "over")]
    SessionEnded {
        server: u32,
        session: u64,
        #[serde(rename = "why")]
        reason: String,
    },
    /// The list server sent the state of a box to a front.
    #[serde(rename = "told")]
    ListEntrySent { front: u32, server: u32, state: String },
    /// The process of a box started.
    BoxUp { server: u32 },
    /// The process of a box ended.
    BoxDown {
        server: u32,
        #[serde(rename = "why")]
        reason: String,
    },
    /// A front accepts requests.
    FrontUp { front: u32 },
    /// A front was killed; it need not answer its open requests any more.
    FrontDown { front: u32 },
    /// The script injected a fault.
    #[serde(rename = "trouble")]
    FaultInjected {
        #[serde(rename = "what")]
        description: String,
    },
    /// The stand-ins themselves ran late by this much: events recorded just then may have occurred so much earlier.
    #[serde(rename = "kit-late")]
    RecorderLate {
        #[serde(rename = "ms")]
        delay_ms: f64,
    },
}

/// An observation with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Unix time.
    #[serde(rename = "at")]
    pub at_ms: f64,
    #[serde(flatten)]
    pub observation: Observation,
}

/// Appends records to a file.
pub struct Recorder {
    started: Instant,
    started_unix_ms: f64,
    file: Mutex<BufWriter<File>>,
}

impl Recorder {
    /// Creates the record file, or truncates one that exists.
    pub fn create(path: &Path) -> Result<Self, String> {
        let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let started_unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0;
        Ok(Recorder { started: Instant::now(), started_unix_ms, file: Mutex::new(BufWriter::new(file)) })
    }

    /// Unix time in milliseconds; it never runs backwards.
    pub fn now_ms(&self) -> f64 {
        self.started_unix_ms + self.started.elapsed().as_secs_f64() * 1_000.0
    }

    /// Records an observation with the present time.
    pub fn record(&self, observation: Observation) {
        self.record_at(self.now_ms(), observation);
    }

    /// Records an observation with a given time.
    pub fn record_at(&self, at_ms: f64, observation: Observation) {
        let line = serde_json::to_string(&Record { at_ms, observation }).expect("texts and numbers");
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        if let Err(e) = writeln!(file, "{line}") {
            eprintln!("record not written: {e}");
        }
    }

    /// Writes out what is buffered.
    pub fn flush(&self) -> Result<(), String> {
        self.file.lock().unwrap_or_else(|e| e.into_inner()).flush().map_err(|e| format!("records: {e}"))
    }
}

/// Parses the lines of a record file; an error names line and column.
pub fn parse(text: &str) -> Result<Vec<Record>, String> {
    let parse_line = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| format!("line {}: column {}: {e}", index + 1, e.column()))
    };
    text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()).map(parse_line).collect()
}
