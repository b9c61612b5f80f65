//! Many instances in one process, each with a desk of its own.
use crate::wire::{Frame, Reader, Reply, HEADER};
use std::collections::BTreeMap;
use walnutline::api::{Holders, Request, SetupOutcome};
use walnutline::fleet::{ListEntry, ServerState};
use walnutline::ids::{CellId, GroupIndex, KindIndex, Ms, ServerId, SessionId, TitleId, ZoneIndex};
use walnutline::settings::PolicySettings;
use walnutline_desk::engine::{Action, DecisionEngine};

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, DecisionEngine>,
    pages: BTreeMap<u16, Vec<ListEntry>>,
}

impl Host {
    /// Answers one batch, or says what is wrong with it.
    pub fn batch(&mut self, frame: &Frame) -> Result<Vec<u8>, String> {
        let mut reply = Reply::new(frame.index);
        let mut touched = Vec::new();
        let mut r = Reader { bytes: &frame.bytes, at: HEADER };
        for n in 0..frame.records {
            let start = r.at;
            let who = self
                .event(&mut r, frame.clock, &mut reply)
                .map_err(|e| format!("batch {}: record {n} at byte {start}: {e}", frame.index))?;
            if let Some(who) = who {
                if !touched.contains(&who) {
                    touched.push(who);
                }
            }
        }
        if r.at != frame.bytes.len() {
            let extra = frame.bytes.len() - r.at;
            return Err(format!("batch {}: byte {}: {extra} bytes after the last record", frame.index, r.at));
        }
        for who in touched {
            if let Some(desk) = self.instances.get_mut(&who) {
                let mut actions = Vec::new();
                desk.process_due(frame.clock, &mut actions);
                write(&mut reply, who, actions);
            }
        }
        Ok(reply.finish())
    }

    /// One record; returns the instance that it was for.
    fn event(&mut self, r: &mut Reader, now: Ms, reply: &mut Reply) -> Result<Option<u32>, String> {
        let code_at = r.at;
        let code = r.u8()?;
        if code == 13 {
            let page = r.u16()?;
            let lines = r.u32()?;
            let list = (0..lines).map(|_| list_line(r)).collect::<Result<_, _>>()?;
            self.pages.insert(page, list);
            return Ok(None);
        }
        if !(1..=13).contains(&code) {
            return Err(format!("byte {code_at}: unknown event code {code}"));
        }
        let who = r.u32()?;
        if code == 1 {
            let seed = r.u64()?;
            let len = r.u32()? as usize;
            let info = std::str::from_utf8(r.take(len)?).map_err(|e| format!("settings: {e}"))?;
            let mut terms = PolicySettings::parse(info).map_err(|e| format!("settings: {e}"))?;
            // This adapter carries no messages between fronts.
            terms.peer_messages_allowed = false;
            self.instances.insert(who, DecisionEngine::new(terms, seed, now));
            return Ok(Some(who));
        }
        let pages = &self.pages;
        let known = self.instances.get_mut(&who);
        let mut actions = Vec::new();
        match code {
            2 => {
                let (_revision, page, form) = (r.u64()?, r.u16()?, r.u8()?);
                if form > 3 {
                    return Err(format!("unknown form of list {form}"));
                }
                let list = match form {
                    3 => None,
                    _ => Some(pages.get(&page).ok_or_else(|| format!("list {page} was never sent"))?),
                };
                match (known, list) {
                    (None, _) => {}
                    (Some(i), None) => i.list_call_failed(now),
                    (Some(i), Some(list)) => {
                        match form {
                            0 => list.iter().for_each(|l| i.update_server(l.clone())),
                            _ => i.replace_server_list(list.clone()),
                        }
                        // The list as it was last held answers nothing.
                        if form != 2 {
                            i.list_received();
                        }
                    }
                }
            }
            3 => {
                let id = SessionId(r.u64()?);
                let top = r.f32()?;
                let group = r.u16()?;
                let (_estimate, _bits, _key, _tenant) = (r.f64()?, r.u8()?, r.u64()?, r.u32()?);
                let (title, home, left, span) = (r.u64()?, r.f32()?, r.f64()?, r.f32()?);
                if let Some(i) = known {
                    let request = request(i, group, title, home, span, top, left)?;
                    i.add_request(id, request, now, &mut actions);
                }
            }
            4 => {
                let (id, _leg, _server, _took) = (SessionId(r.u64()?), r.u16()?, r.u32()?, r.f64()?);
                if let Some(i) = known {
                    i.session_started(id, now);
                }
            }
            5 => {
                let (id, how, server, over) = (SessionId(r.u64()?), r.u16()?, ServerId(r.u32()?), r.u8()?);
                let (_took, _leg) = (r.f64()?, r.u16()?);
                let load = values(r)?;
                let ending = ending(how)?;
                if let Some(i) = known {
                    i.after_outcome(id, ending, over != 0, now, &mut actions);
                    i.record_report(server, &load, now);
                }
            }
            6 => {
                let id = SessionId(r.u64()?);
                if let Some(i) = known {
                    i.viewer_left(id);
                }
            }
            7 => {
                let _name = r.u64()?;
                if let Some(i) = known {
                    i.timer_fired(now);
                }
            }
            8 => {
                let (server, how, _took) = (ServerId(r.u32()?), r.u16()?, r.f64()?);
                let load = values(r)?;
                let ending = ending(how)?;
                if let Some(i) = known {
                    i.record_report(server, &load, now);
                    i.probe_finished(server, ending, now);
                }
            }
            9 => {
                let (_from, n) = (r.u32()?, r.u16()? as usize);
                r.take(n)?;
            }
            10 => {
                self.instances.remove(&who);
            }
            11 => {
                let (id, group, _tenant, _key) = (SessionId(r.u64()?), r.u16()?, r.u32()?, r.u64()?);
                let (title, left, _estimate) = (r.u64()?, r.f64()?, r.f64()?);
                let (home, span, top, _bits) = (r.f32()?, r.f32()?, r.f32()?, r.u8()?);
                let server = ServerId(r.u32()?);
                if let Some(i) = known {
                    let request = request(i, group, title, home, span, top, left)?;
                    i.add_running_session(id, request, server, now);
                }
            }
            _ => {
                let (id, server, sort) = (SessionId(r.u64()?), ServerId(r.u32()?), r.u8()?);
                let (_leg, x) = (r.u16()?, r.f32()? as f64);
                if let Some(i) = known {
                    match sort {
                        1 => i.record_delivered_share(server, x, now),
                        2 => i.set_rung(id, x as u8),
                        3 => i.record_link_use(server, x, now),
                        4 => i.record_uplink_use(server, x, now),
                        _ => return Err(format!("unknown kind of note {sort}")),
                    }
                }
            }
        }
        write(reply, who, actions);
        Ok(Some(who))
    }
}

fn request(
    desk: &DecisionEngine,
    group: u16,
    title: u64,
    home: f32,
    span: f32,
    top: f32,
    left: Ms,
) -> Result<Request, String> {
    if group as usize >= desk.state.settings.service_groups.len() {
        return Err(format!("class {group} is not in the settings"));
    }
    Ok(Request {
        group: GroupIndex(group),
        title: TitleId(title),
        holders: Holders::Cells { first: CellId(home as u32), count: span as u32 },
        rates_kb_per_s: None,
        highest_rung: top as u8,
        time_left: left,
    })
}

fn write(reply: &mut Reply, who: u32, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Setup { id, server, rung, timeout } => {
                let id = id.0.to_le_bytes();
                reply.record(6, who).put(&id).put(&[rung]);
                reply.record(4, who).put(&id).put(&timeout.to_le_bytes()).put(&server.0.to_le_bytes());
            }
            Action::SetRung { id, rung } => {
                reply.record(6, who).put(&id.0.to_le_bytes()).put(&[rung]);
            }
            Action::Probe { server } => {
                reply.record(7, who).put(&server.0.to_le_bytes());
            }
            Action::BusyReply { id, retry_after } => {
                let retry_after = retry_after.unwrap_or(0.0).to_le_bytes();
                reply.record(2, who).put(&id.0.to_le_bytes()).put(&retry_after);
            }
            Action::TornDown { id } => {
                reply.record(8, who).put(&id.0.to_le_bytes());
            }
            Action::SendPeerReports(_) => {}
            Action::RequestList => {
                reply.record(10, who).put(&[1]);
            }
            Action::Log(line) => {
                reply.record(11, who).put(&(line.len() as u16).to_le_bytes()).put(line.as_bytes());
            }
            Action::CallAt(t) => {
                reply.record(13, who).put(&0u64.to_le_bytes()).put(&t.to_le_bytes());
            }
        }
    }
}

fn ending(code: u16) -> Result<SetupOutcome, String> {
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

fn list_line(r: &mut Reader) -> Result<ListEntry, String> {
    let (id, zone, kind, cell) = (r.u32()?, r.u8()?, r.u8()?, r.u16()?);
    let listing = match r.u8()? {
        0 => ServerState::Draining,
        1 => ServerState::Ready,
        2 => ServerState::Gone,
        other => return Err(format!("byte {}: unknown availability {other}", r.at - 1)),
    };
    let (weight, started) = (r.f32()? as f64, r.f64()?);
    Ok(ListEntry {
        id: ServerId(id),
        zone: ZoneIndex(zone.into()),
        kind: KindIndex(kind),
        cell: CellId(cell as u32),
        state: listing,
        weight,
        started_at: (started != 0.0).then_some(started),
    })
}

fn values(r: &mut Reader) -> Result<Vec<f64>, String> {
    let n = r.u8()?;
    (0..n).map(|_| Ok(r.f32()? as f64)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(&[99] => "batch 5: record 0 at byte 20: byte 20: unknown event code 99"; "unknown event")]
    #[test_case(&[3, 1, 0] => "batch 5: record 0 at byte 20: byte 21: 4 bytes wanted, 2 left"; "cut short")]
    #[test_case(&[2, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 4, 0, 2]
        => "batch 5: record 0 at byte 20: list 4 was never sent"; "list never sent")]
    fn what_is_wrong_in_a_batch_is_named(record: &[u8]) -> String {
        let bytes = [&[0; HEADER], record].concat();
        Host::default().batch(&Frame { index: 5, clock: 0.0, records: 1, bytes }).unwrap_err()
    }

    const SETTINGS: &str = "classes.count=1\nclasses.0.aim=800\nclasses.0.worth=1\nclasses.0.repeat=repeatable\n\
        family_info.level_kb=100,200\nfamily_info.level_worth=0.5,1\nfamily_info.places=6\nfamily_info.racks=2\n\
        family_info.kind_streams=20\nfamily_info.link_unit_kb=1000\nfamily_info.uplink_kb=4000\n\
        limits.attempts_cap=3\nregistry_mode=ask\nsafety.ask_every=10000\n";

    /// The answer to one batch of these records: whether it asks to follow the list (`track`).
    fn tracks(host: &mut Host, clock: Ms, records: &[&[u8]]) -> bool {
        let bytes = [&[0; HEADER], records.concat().as_slice()].concat();
        let frame = Frame { index: 1, clock, records: records.len() as u32, bytes };
        host.batch(&frame).unwrap().windows(6).any(|w| w == [10, 1, 0, 0, 0, 1])
    }

    /// Guards against a front that lives on the list of its start: what drains is never told to it.
    #[test]
    fn a_list_that_must_be_asked_for_is_followed_and_asked_for_again_after_a_failure() {
        let mut host = Host::default();
        let start =
            [&[1, 1, 0, 0, 0][..], &7u64.to_le_bytes(), &(SETTINGS.len() as u32).to_le_bytes()].concat();
        let start = [&start, SETTINGS.as_bytes()].concat();
        let page = [13, 0, 0, 0, 0, 0, 0];
        let told = |form: u8| [&[2, 1, 0, 0, 0][..], &[0; 10], &[form]].concat();
        let bell = [&[7, 1, 0, 0, 0][..], &[0; 8]].concat();
        let (cached, whole, failed) = (told(2), told(1), told(3));
        assert!(!tracks(&mut host, 0.0, &[&start, &page, &cached]), "not at the very start");
        assert!(tracks(&mut host, 2_500.0, &[&bell]));
        assert!(!tracks(&mut host, 2_600.0, &[&failed]), "not at once");
        assert!(tracks(&mut host, 3_400.0, &[&bell]));
        assert!(!tracks(&mut host, 3_500.0, &[&page, &whole]));
        assert!(!tracks(&mut host, 60_000.0, &[&bell]), "it is followed");
        assert!(!tracks(&mut host, 60_100.0, &[&failed]), "not at once");
        assert!(tracks(&mut host, 61_000.0, &[&bell]), "it broke off");
    }
}
