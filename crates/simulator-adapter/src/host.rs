//! Many instances of the decisions in one process, each with an engine of its own: decodes the records of a batch into
//! calls of the engines and encodes their actions into the reply.
use crate::wire::{Frame, Reader, Reply, HEADER_BYTES};
use std::collections::BTreeMap;
use walnutline::api::{Holders, Request, SetupOutcome};
use walnutline::fleet::{ListEntry, ServerState};
use walnutline::ids::{CellId, GroupIndex, KindIndex, Ms, ServerId, SessionId, TitleId, ZoneIndex};
use walnutline::settings::PolicySettings;
use walnutline_sessions::engine::{Action, DecisionEngine};

/// Codes of the records in a batch.
mod event {
    pub const START: u8 = 1;
    pub const SERVER_LIST: u8 = 2;
    pub const REQUEST: u8 = 3;
    pub const SETUP_DONE: u8 = 4;
    /// A SETUP failed, or the session that it led to ended.
    pub const SETUP_ENDED: u8 = 5;
    pub const VIEWER_LEFT: u8 = 6;
    pub const TIMER: u8 = 7;
    pub const PROBE_ENDED: u8 = 8;
    pub const PEER_MESSAGE: u8 = 9;
    pub const STOP: u8 = 10;
    pub const RUNNING_SESSION: u8 = 11;
    /// A page of the server list, for all instances.
    pub const LIST_PAGE: u8 = 13;
}

/// Codes of the records in a reply.
mod action {
    pub const BUSY_REPLY: u8 = 2;
    pub const SETUP: u8 = 4;
    pub const SET_RUNG: u8 = 6;
    pub const PROBE: u8 = 7;
    pub const TORN_DOWN: u8 = 8;
    pub const REQUEST_LIST: u8 = 10;
    pub const LOG: u8 = 11;
    pub const TIMER: u8 = 13;
}

/// How an instance gets a page of the server list. Forms without a name here are complete lists.
mod list_form {
    /// Entries that changed.
    pub const CHANGES: u8 = 0;
    /// The complete list as it was last held. It does not answer a call for the list.
    pub const CACHED: u8 = 2;
    /// The call for the list failed, or the stream of changes broke off.
    pub const FAILED: u8 = 3;
}

/// What a server announces.
mod announcement {
    pub const DELIVERED_SHARE: u8 = 1;
    pub const RUNG: u8 = 2;
    pub const LINK_USE: u8 = 3;
    pub const UPLINK_USE: u8 = 4;
}

/// The instances of the process by their numbers, and the pages of the server list that they refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, DecisionEngine>,
    list_pages: BTreeMap<u16, Vec<ListEntry>>,
}

impl Host {
    /// Handles one batch and returns the reply. An error states what is wrong with the batch, and at which byte.
    pub fn handle_batch(&mut self, frame: &Frame) -> Result<Vec<u8>, String> {
        let mut reply = Reply::new(frame.index);
        let mut called = Vec::new();
        let mut reader = Reader { bytes: &frame.bytes, position: HEADER_BYTES };
        for index in 0..frame.record_count {
            let start = reader.position;
            let instance = self
                .handle_record(&mut reader, frame.now, &mut reply)
                .map_err(|e| format!("batch {}: record {index} at byte {start}: {e}", frame.index))?;
            if let Some(instance) = instance {
                if !called.contains(&instance) {
                    called.push(instance);
                }
            }
        }
        if reader.position != frame.bytes.len() {
            let extra = frame.bytes.len() - reader.position;
            return Err(format!(
                "batch {}: byte {}: {extra} bytes after the last record",
                frame.index, reader.position
            ));
        }
        for instance in called {
            if let Some(engine) = self.instances.get_mut(&instance) {
                let mut actions = Vec::new();
                engine.process_due(frame.now, &mut actions);
                write_actions(&mut reply, instance, actions);
            }
        }
        Ok(reply.finish())
    }

    /// Handles one record; returns the instance that it was for.
    fn handle_record(
        &mut self,
        reader: &mut Reader,
        now: Ms,
        reply: &mut Reply,
    ) -> Result<Option<u32>, String> {
        let code_at = reader.position;
        let code = reader.u8()?;
        if code == event::LIST_PAGE {
            let page = reader.u16()?;
            let entry_count = reader.u32()?;
            let entries = (0..entry_count).map(|_| read_list_entry(reader)).collect::<Result<_, _>>()?;
            self.list_pages.insert(page, entries);
            return Ok(None);
        }
        if !(event::START..=event::LIST_PAGE).contains(&code) {
            return Err(format!("byte {code_at}: unknown event code {code}"));
        }
        let instance = reader.u32()?;
        if code == event::START {
            let seed = reader.u64()?;
            let len = reader.u32()? as usize;
            let text = std::str::from_utf8(reader.take(len)?).map_err(|e| format!("settings: {e}"))?;
            let mut settings = PolicySettings::parse(text).map_err(|e| format!("settings: {e}"))?;
            // This adapter does not deliver messages between fronts.
            settings.peer_messages_allowed = false;
            self.instances.insert(instance, DecisionEngine::new(settings, seed, now));
            return Ok(Some(instance));
        }
        let list_pages = &self.list_pages;
        let engine = self.instances.get_mut(&instance);
        let mut actions = Vec::new();
        match code {
            event::SERVER_LIST => {
                let (_revision, page, form) = (reader.u64()?, reader.u16()?, reader.u8()?);
                if form > list_form::FAILED {
                    return Err(format!("unknown form of list {form}"));
                }
                let list = match form {
                    list_form::FAILED => None,
                    _ => Some(list_pages.get(&page).ok_or_else(|| format!("list {page} was never sent"))?),
                };
                match (engine, list) {
                    (None, _) => {}
                    (Some(engine), None) => engine.list_call_failed(now),
                    (Some(engine), Some(list)) => {
                        match form {
                            list_form::CHANGES => {
                                list.iter().for_each(|entry| engine.update_server(entry.clone()))
                            }
                            _ => engine.replace_server_list(list.clone()),
                        }
                        if form != list_form::CACHED {
                            engine.list_received();
                        }
                    }
                }
            }
            event::REQUEST => {
                let id = SessionId(reader.u64()?);
                let highest_rung = reader.f32()?;
                let group = reader.u16()?;
                let (_estimate, _bits, _key, _tenant) =
                    (reader.f64()?, reader.u8()?, reader.u64()?, reader.u32()?);
                let (title, first_cell, time_left, cell_count) =
                    (reader.u64()?, reader.f32()?, reader.f64()?, reader.f32()?);
                if let Some(engine) = engine {
                    let request = session_request(
                        engine,
                        group,
                        title,
                        first_cell,
                        cell_count,
                        highest_rung,
                        time_left,
                    )?;
                    engine.add_request(id, request, now, &mut actions);
                }
            }
            event::SETUP_DONE => {
                let (id, _leg, _server, _duration) =
                    (SessionId(reader.u64()?), reader.u16()?, reader.u32()?, reader.f64()?);
                if let Some(engine) = engine {
                    engine.session_started(id, now);
                }
            }
            event::SETUP_ENDED => {
                let (id, code, server, is_over) =
                    (SessionId(reader.u64()?), reader.u16()?, ServerId(reader.u32()?), reader.u8()?);
                let (_duration, _leg) = (reader.f64()?, reader.u16()?);
                let load = read_values(reader)?;
                let outcome = parse_outcome(code)?;
                if let Some(engine) = engine {
                    engine.after_outcome(id, outcome, is_over != 0, now, &mut actions);
                    engine.record_report(server, &load, now);
                }
            }
            event::VIEWER_LEFT => {
                let id = SessionId(reader.u64()?);
                if let Some(engine) = engine {
                    engine.viewer_left(id);
                }
            }
            event::TIMER => {
                let _name = reader.u64()?;
                if let Some(engine) = engine {
                    engine.timer_fired(now);
                }
            }
            event::PROBE_ENDED => {
                let (server, code, _duration) = (ServerId(reader.u32()?), reader.u16()?, reader.f64()?);
                let load = read_values(reader)?;
                let outcome = parse_outcome(code)?;
                if let Some(engine) = engine {
                    engine.record_report(server, &load, now);
                    engine.probe_finished(server, outcome, now);
                }
            }
            event::PEER_MESSAGE => {
                let (_from, len) = (reader.u32()?, reader.u16()? as usize);
                reader.take(len)?;
            }
            event::STOP => {
                self.instances.remove(&instance);
            }
            event::RUNNING_SESSION => {
                let (id, group, _tenant, _key) =
                    (SessionId(reader.u64()?), reader.u16()?, reader.u32()?, reader.u64()?);
                let (title, time_left, _estimate) = (reader.u64()?, reader.f64()?, reader.f64()?);
                let (first_cell, cell_count, highest_rung, _bits) =
                    (reader.f32()?, reader.f32()?, reader.f32()?, reader.u8()?);
                let server = ServerId(reader.u32()?);
                if let Some(engine) = engine {
                    let request = session_request(
                        engine,
                        group,
                        title,
                        first_cell,
                        cell_count,
                        highest_rung,
                        time_left,
                    )?;
                    engine.add_running_session(id, request, server, now);
                }
            }
            // The one code that is left, 12: a server announces a value without being asked.
            _ => {
                let (id, server, kind) = (SessionId(reader.u64()?), ServerId(reader.u32()?), reader.u8()?);
                let (_leg, value) = (reader.u16()?, reader.f32()? as f64);
                if let Some(engine) = engine {
                    match kind {
                        announcement::DELIVERED_SHARE => engine.record_delivered_share(server, value, now),
                        announcement::RUNG => engine.set_rung(id, value as u8),
                        announcement::LINK_USE => engine.record_link_use(server, value, now),
                        announcement::UPLINK_USE => engine.record_uplink_use(server, value, now),
                        _ => return Err(format!("unknown kind of announcement {kind}")),
                    }
                }
            }
        }
        write_actions(reply, instance, actions);
        Ok(Some(instance))
    }
}

/// The request of a session record. Fails if its service group is not in the settings of the instance.
fn session_request(
    engine: &DecisionEngine,
    group: u16,
    title: u64,
    first_cell: f32,
    cell_count: f32,
    highest_rung: f32,
    time_left: Ms,
) -> Result<Request, String> {
    if group as usize >= engine.state.settings.service_groups.len() {
        return Err(format!("class {group} is not in the settings"));
    }
    Ok(Request {
        group: GroupIndex(group),
        title: TitleId(title),
        holders: Holders::Cells { first: CellId(first_cell as u32), count: cell_count as u32 },
        rates_kb_per_s: None,
        highest_rung: highest_rung as u8,
        time_left,
    })
}

/// Encodes the actions of an instance.
fn write_actions(reply: &mut Reply, instance: u32, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Setup { id, server, rung, timeout } => {
                let id = id.0.to_le_bytes();
                reply.start_record(action::SET_RUNG, instance).append(&id).append(&[rung]);
                reply
                    .start_record(action::SETUP, instance)
                    .append(&id)
                    .append(&timeout.to_le_bytes())
                    .append(&server.0.to_le_bytes());
            }
            Action::SetRung { id, rung } => {
                reply.start_record(action::SET_RUNG, instance).append(&id.0.to_le_bytes()).append(&[rung]);
            }
            Action::Probe { server } => {
                reply.start_record(action::PROBE, instance).append(&server.0.to_le_bytes());
            }
            Action::BusyReply { id, retry_after } => {
                let retry_after = retry_after.unwrap_or(0.0).to_le_bytes();
                reply
                    .start_record(action::BUSY_REPLY, instance)
                    .append(&id.0.to_le_bytes())
                    .append(&retry_after);
            }
            Action::TornDown { id } => {
                reply.start_record(action::TORN_DOWN, instance).append(&id.0.to_le_bytes());
            }
            Action::SendPeerReports(_) => {}
            Action::RequestList => {
                reply.start_record(action::REQUEST_LIST, instance).append(&[1]);
            }
            Action::Log(line) => {
                reply
                    .start_record(action::LOG, instance)
                    .append(&(line.len() as u16).to_le_bytes())
                    .append(line.as_bytes());
            }
            Action::CallAt(at) => {
                reply
                    .start_record(action::TIMER, instance)
                    .append(&0u64.to_le_bytes())
                    .append(&at.to_le_bytes());
            }
        }
    }
}

/// The outcome that a code stands for.
fn parse_outcome(code: u16) -> Result<SetupOutcome, String> {
    Ok(match code {
        0 => SetupOutcome::Errored,
        1 => SetupOutcome::Done,
        2 => SetupOutcome::BusyReplied,
        3 => SetupOutcome::TimedOut,
        4 => SetupOutcome::NoConnection,
        5 => SetupOutcome::Broken,
        6 => SetupOutcome::Withdrawn,
        7 => SetupOutcome::NeverSent,
        other => return Err(format!("unknown outcome code {other}")),
    })
}

/// Reads an entry of the server list. A start time of 0 stands for one that is not known.
fn read_list_entry(reader: &mut Reader) -> Result<ListEntry, String> {
    let (id, zone, kind, cell) = (reader.u32()?, reader.u8()?, reader.u8()?, reader.u16()?);
    let state = match reader.u8()? {
        0 => ServerState::Draining,
        1 => ServerState::Ready,
        2 => ServerState::Gone,
        other => return Err(format!("byte {}: unknown server state {other}", reader.position - 1)),
    };
    let (weight, started_at) = (reader.f32()? as f64, reader.f64()?);
    Ok(ListEntry {
        id: ServerId(id),
        zone: ZoneIndex(zone.into()),
        kind: KindIndex(kind),
        cell: CellId(cell as u32),
        state,
        weight,
        started_at: (started_at != 0.0).then_some(started_at),
    })
}

/// Reads the values of a load report, in the order of the settings' report columns.
fn read_values(reader: &mut Reader) -> Result<Vec<f64>, String> {
    let count = reader.u8()?;
    (0..count).map(|_| Ok(reader.f32()? as f64)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(&[99] => "batch 5: record 0 at byte 20: byte 20: unknown event code 99"; "unknown event")]
    #[test_case(&[3, 1, 0] => "batch 5: record 0 at byte 20: byte 21: 4 bytes wanted, 2 left"; "cut short")]
    #[test_case(&[2, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 4, 0, 2]
        => "batch 5: record 0 at byte 20: list 4 was never sent"; "list never sent")]
    fn an_error_states_the_batch_and_the_position_in_it(record: &[u8]) -> String {
        let bytes = [&[0; HEADER_BYTES], record].concat();
        Host::default().handle_batch(&Frame { index: 5, now: 0.0, record_count: 1, bytes }).unwrap_err()
    }

    const SETTINGS: &str = "classes.count=1\nclasses.0.aim=800\nclasses.0.worth=1\nclasses.0.repeat=repeatable\n\
        family_info.level_kb=100,200\nfamily_info.level_worth=0.5,1\nfamily_info.places=6\nfamily_info.racks=2\n\
        family_info.kind_streams=20\nfamily_info.link_unit_kb=1000\nfamily_info.uplink_kb=4000\n\
        limits.attempts_cap=3\nregistry_mode=ask\nsafety.ask_every=10000\n";

    /// Handles one batch of these records; returns whether the reply requests the list.
    fn requests_list(host: &mut Host, now: Ms, records: &[&[u8]]) -> bool {
        let bytes = [&[0; HEADER_BYTES], records.concat().as_slice()].concat();
        let frame = Frame { index: 1, now, record_count: records.len() as u32, bytes };
        host.handle_batch(&frame).unwrap().windows(6).any(|window| window == [10, 1, 0, 0, 0, 1])
    }

    /// Guards against a front that keeps using the list from its start and never learns of draining servers.
    #[test]
    fn a_watched_list_is_requested_once_and_once_more_after_each_failure() {
        let mut host = Host::default();
        let start =
            [&[1, 1, 0, 0, 0][..], &7u64.to_le_bytes(), &(SETTINGS.len() as u32).to_le_bytes()].concat();
        let start = [&start, SETTINGS.as_bytes()].concat();
        let page = [13, 0, 0, 0, 0, 0, 0];
        let list = |form: u8| [&[2, 1, 0, 0, 0][..], &[0; 10], &[form]].concat();
        let timer = [&[7, 1, 0, 0, 0][..], &[0; 8]].concat();
        let (cached, complete, failed) = (list(2), list(1), list(3));
        assert!(!requests_list(&mut host, 0.0, &[&start, &page, &cached]), "requested at the very start");
        assert!(requests_list(&mut host, 2_500.0, &[&timer]));
        assert!(!requests_list(&mut host, 2_600.0, &[&failed]), "requested at once");
        assert!(requests_list(&mut host, 3_400.0, &[&timer]));
        assert!(!requests_list(&mut host, 3_500.0, &[&page, &complete]));
        assert!(!requests_list(&mut host, 60_000.0, &[&timer]), "requested although the list is watched");
        assert!(!requests_list(&mut host, 60_100.0, &[&failed]), "requested at once");
        assert!(
            requests_list(&mut host, 61_000.0, &[&timer]),
            "not requested after the stream of changes broke off"
        );
    }
}
