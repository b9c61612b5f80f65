//! Codecs: what was written is read again, whatever else comes is refused within bounds.
use proptest::prelude::*;
use simple_dns::rdata::{RData, A, SOA, SRV, TXT};
use simple_dns::{Name, Packet, PacketFlag, Question, ResourceRecord, CLASS, QCLASS, QTYPE, RCODE, TYPE};
use test_case::test_case;
use walnutline::settings::PolicySettings;
use walnutline_platform::discovery::{self, AnswerError as BadNames};
use walnutline_platform::rtsp::{FramingError, MessageReader, MAX_MESSAGE_BYTES};
use walnutline_platform::server::{self, ServerMessage};
use walnutline_platform::viewer::{self, ViewerMessage};
use walnutline_platform::{configuration, headers};

const NODE: &str = include_str!("node.json");

fn setup(id: &str, fields: &str, body: &str) -> Vec<u8> {
    let head = "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nX-Call-Class: paid\r\n";
    format!("{head}Session: {id}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

const GOOD: &str = "X-Ring-Limit: 1500\r\nX-Dest: home:4;copies:3;top:4;viewer:00000000b4d65521\r\n";

fn all(bytes: &[u8], piece: usize) -> Result<Vec<ViewerMessage>, String> {
    let (mut reader, mut said) = (MessageReader::default(), Vec::new());
    for piece in bytes.chunks(piece) {
        reader.push(piece);
        while let Some(m) = reader.next_message().map_err(|b| b.to_string())? {
            said.push(viewer::parse_message(m).map_err(|f| f.reason)?);
        }
    }
    Ok(said)
}

proptest! {
    /// A good beginning and then bytes without an end, in any pieces: refused with no more held than one message
    /// and a piece.
    #[test]
    fn what_never_ends_is_bounded(byte in any::<u8>(), piece in 1usize..5_000, length in 0usize..50_000) {
        let head = format!("SETUP rtsp://media/0 RTSP/1.0\r\nContent-Length: {length}\r\nX: ");
        let endless = [head.as_bytes(), &vec![byte; 3 * MAX_MESSAGE_BYTES]].concat();
        let mut reader = MessageReader::default();
        let refused = endless.chunks(piece).any(|piece| {
            reader.push(piece);
            assert!(reader.buffered_len() <= MAX_MESSAGE_BYTES + piece.len(), "{} held", reader.buffered_len());
            reader.next_message().is_err()
        });
        prop_assert!(refused);
    }

    /// Any bytes in any pieces: no panic.
    #[test]
    fn rubbish_is_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..600), piece in 1usize..90) {
        let _ = all(&bytes, piece);
        let _ = discovery::parse_answer(&bytes, 7);
    }

    /// A good message with a byte changed is read or refused.
    #[test]
    fn nearly_right_is_no_panic(at in any::<prop::sample::Index>(), to in any::<u8>(), piece in 1usize..90) {
        let mut bytes = setup("9b1f03aa5c7e2d41", GOOD, "c=IN IP4 10.4.7.9\r\n");
        let at = at.index(bytes.len());
        bytes[at] = to;
        let _ = all(&bytes, piece);
    }

    /// What a viewer wants goes on to a server with the same id, title and description.
    #[test]
    fn a_set_up_goes_on_unchanged(
        body in "[ -~\r\n]{0,200}", id in any::<u64>(), title in any::<u64>(), piece in 1usize..90, rung in 0u8..9,
    ) {
        let text = String::from_utf8(setup(&format!("{id:016x}"), GOOD, &body)).unwrap();
        let text = text.replace("7f3a9c21e0b4d655", &format!("{title:016x}"));
        let said = all(text.as_bytes(), piece).unwrap();
        let [ViewerMessage::Setup(wanted)] = &said[..] else { panic!("{said:?}") };
        let on = server::setup_request(wanted, rung, 152.9);
        let on = String::from_utf8(on).unwrap();
        let (head, rest) = on.split_once("\r\n\r\n").unwrap();
        prop_assert_eq!(rest, &body);
        prop_assert!(head.starts_with(&format!("SETUP rtsp://media/{title:016x} RTSP/1.0\r\n")), "{}", head);
        for line in [format!("Session: {id:016x}"), format!("Rate-Step: {rung}"), "X-Ring-Limit: 152".into(),
            "X-Call-Class: paid".into(), "CSeq: 1".into()] {
            prop_assert!(head.lines().any(|l| l == line), "{} not in {}", line, head);
        }
    }

    /// An answer's description is passed on byte for byte, whatever bytes it has.
    #[test]
    fn a_description_is_passed_on(body in prop::collection::vec(any::<u8>(), 0..300), id in any::<u64>()) {
        let mut reader = MessageReader::default();
        reader.push(&viewer::setup_response(id, &body));
        let said = server::parse_message(reader.next_message().unwrap().unwrap());
        prop_assert_eq!(said, ServerMessage::SetupResponse { id, status: 200, description: body, report: vec![] });
    }
}

#[test_case(b"\x00\x01\x02 rubbish" => Some(FramingError::NotRtsp); "rubbish")]
#[test_case(b"SETUP rtsp://media/0 RTSP/1.0\r\nContent-Length: -5\r\n\r\n" => Some(FramingError::BadContentLength); "negative")]
#[test_case(b"RTSP/1.0 200 OK\r\nContent-Length: 3000000000\r\n\r\nxx" => Some(FramingError::TooLong); "3 GB")]
#[test_case(b"RTSP/1.0 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n" => Some(FramingError::BadContentLength); "huge")]
#[test_case(b"RTSP/1.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx" => Some(FramingError::BadContentLength); "two lengths")]
#[test_case(b"RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nc=IN IP4" => Some(FramingError::UnexpectedBytes); "length too short")]
#[test_case(b"RTSP/1.0 200 OK\r\nContent-Length: 9\r\n\r\nc=IN" => None; "not whole")]
fn what_is_wrong_is_told_at_once(bytes: &[u8]) -> Option<FramingError> {
    let mut reader = MessageReader::default();
    reader.push(bytes);
    reader.next_message().err()
}

#[test]
fn an_endless_line_is_cut_off() {
    let mut reader = MessageReader::default();
    reader.push(b"SETUP rtsp://media/");
    let ended = (0..MAX_MESSAGE_BYTES / 64 + 1).find_map(|_| {
        reader.push(&[b'a'; 64]);
        reader.next_message().err()
    });
    assert_eq!(ended, Some(FramingError::TooLong));
}

#[test_case("9b1f03aa5c7e2d41", GOOD => None; "good")]
#[test_case("9b1f", GOOD => Some("Session: missing or no id".into()); "short id")]
#[test_case("9b1f03aa5c7e2d41", "X-Ring-Limit: NaN\r\nX-Dest: home:4;copies:3;top:4\r\n" => Some("X-Ring-Limit: not a time".into()); "no number")]
#[test_case("9b1f03aa5c7e2d41", "X-Ring-Limit: 1e300\r\nX-Dest: home:4;copies:3;top:4\r\n" => Some("X-Ring-Limit: not a time".into()); "huge wait")]
#[test_case("9b1f03aa5c7e2d41", "X-Ring-Limit: 900\r\nX-Dest: home:-4;copies:3;top:4\r\n" => Some("X-Dest: home: not a number in range".into()); "negative home")]
#[test_case("9b1f03aa5c7e2d41", "X-Ring-Limit: 900\r\nX-Dest: home:4;top:4\r\n" => Some("X-Dest: copies: missing".into()); "no copies")]
fn a_set_up_that_cannot_be_taken_says_why(id: &str, fields: &str) -> Option<String> {
    all(&setup(id, fields, ""), 4_096).err()
}

#[test]
fn reports_and_causes() {
    assert_eq!(
        headers::parse_load_report("x0:0.8; inflight:nan;queue:3;x"),
        [("x0".into(), 0.8), ("queue".into(), 3.0)]
    );
    assert_eq!(
        (headers::parse_release_cause("cause=16"), headers::parse_release_cause("cause=x")),
        (Some(16), None)
    );
}

fn answer(id: u16, change: fn(&mut Packet<'static>)) -> Vec<u8> {
    let mut p = Packet::new_reply(id);
    let name = |n: &'static str| Name::new_unchecked(n);
    let record = |n: &'static str, data| ResourceRecord::new(name(n), CLASS::IN, 0, data);
    p.questions.push(Question::new(
        name(discovery::SERVER_LIST_NAME),
        QTYPE::TYPE(TYPE::SRV),
        QCLASS::CLASS(CLASS::IN),
        false,
    ));
    let target = "s-00c41f7a.east.hosts";
    let srv = SRV { priority: 1, weight: 45, port: 5060, target: name(target) };
    p.answers.push(record(discovery::SERVER_LIST_NAME, RData::SRV(srv)));
    let soa =
        SOA { mname: name("a"), rname: name("b"), serial: 41, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    p.name_servers.push(record("farm.lan", RData::SOA(soa)));
    let txt = ["kind=std", "cell=2", "started=1700000000000"];
    let txt = txt.into_iter().fold(TXT::new(), |t, s| t.with_string(s).unwrap());
    p.additional_records.push(record(target, RData::A(A { address: 0x0a01_0009 })));
    p.additional_records.push(record(target, RData::TXT(txt)));
    change(&mut p);
    p.build_bytes_vec_compressed().unwrap()
}

#[test_case(|_| {} => Ok((41, 1)); "good")]
#[test_case(|p| p.set_id(8) => Err(BadNames::Mismatch); "another id")]
#[test_case(|p| *p.rcode_mut() = RCODE::ServerFailure => Err(BadNames::Failed); "a failure")]
#[test_case(|p| p.set_flags(PacketFlag::TRUNCATION) => Err(BadNames::Failed); "cut short and said so")]
#[test_case(|p| p.questions[0].qname = Name::new_unchecked("other.lan") => Err(BadNames::Mismatch); "another question")]
#[test_case(|p| p.name_servers.clear() => Err(BadNames::Incomplete); "no number")]
#[test_case(|p| p.additional_records.clear() => Err(BadNames::Incomplete); "no address")]
fn answers_of_the_name_service(change: fn(&mut Packet<'static>)) -> Result<(u32, usize), BadNames> {
    discovery::parse_answer(&answer(7, change), 7).map(|a| (a.serial, a.servers.len()))
}

#[test]
fn a_server_of_the_list_is_read_whole_and_a_cut_answer_is_not() {
    let bytes = answer(7, |_| {});
    let server = discovery::parse_answer(&bytes, 7).unwrap().servers.remove(0);
    assert_eq!(
        (server.name.as_str(), server.zone.as_str(), server.kind.as_str()),
        ("s-00c41f7a", "east", "std")
    );
    assert_eq!((server.address, server.cell), ("10.1.0.9:5060".parse().unwrap(), 2));
    assert_eq!((server.draining, server.weight, server.started_unix_ms), (true, 4.5, Some(1.7e12)));
    for n in 0..bytes.len() {
        assert!(discovery::parse_answer(&bytes[..n], 7).is_err(), "cut at {n}");
    }
}

/// The settings of the document give the same terms as the lines that the simulator tells.
#[test]
fn settings_are_the_simulators_terms() {
    let told = configuration::parse(NODE).unwrap();
    let lines = "balancers=2\nclasses.count=2\nclasses.0.aim=800.0\nclasses.0.group=all\n\
        classes.0.name=board-loop\nclasses.0.repeat=repeatable\nclasses.0.window=5000.0\nclasses.0.worth=1.0\n\
        classes.1.aim=1000.0\nclasses.1.group=all\nclasses.1.repeat=repeatable\nclasses.1.window=5000.0\n\
        classes.1.worth=3.0\nfamily_info.class_floor=0,0\nfamily_info.class_scale=1.0,1.2\n\
        family_info.highest_rung=4,4\nfamily_info.kind_streams=35,24\n\
        family_info.level_kb=190.0,334.0,589.0,1036.0,1824.0\nfamily_info.level_worth=0.22,0.44,0.64,0.82,1.0\n\
        family_info.licence_cap=0,0\nfamily_info.link_unit_kb=3037.0\nfamily_info.places=12\n\
        family_info.racks=2\nfamily_info.see=778.493\nfamily_info.uplink_kb=48379.0\nlimits.attempts_cap=3\n\
        limits.connect_timeout=250.0\n\
        limits.max_retry_after=1000.0\nlimits.probes=true\nlimits.retry_after=true\n\
        reporting.columns=inflight,x0\nreporting.via=pull\nsafety.cold=12000.0\nsafety.cold_from=0.4\n\
        safety.drain_grace=250.0\nsafety.tip_after=1000.0\nsafety.tip_multiple=2.0\n";
    let terms = |text: &str| format!("{:?}", PolicySettings::parse(text).unwrap());
    assert_eq!(terms(&told.settings_text), terms(lines));
    assert_eq!(
        told.servers.iter().map(|s| s.name.as_str()).collect::<Vec<_>>(),
        ["s-00000001", "s-00000002"]
    );
    assert_eq!(
        (told.server_list_serial, told.max_sockets, told.cell_count, told.rung_count),
        (3, 256, 12, 5)
    );
    assert_eq!(
        (told.connect_timeout_ms, told.idle_timeout_ms, told.max_viewer_wait_ms),
        (250.0, 30_000.0, 3_000.0)
    );
}

#[test]
fn what_nodes_tell_each_other_comes_back_as_it_was_told() {
    use walnutline_platform::peers::{
        decode, encode, hash_server_name, ServerStatus, MAX_DATAGRAM_BYTES, MAX_ENTRIES,
    };
    let one = |n: usize| ServerStatus {
        name_hash: hash_server_name(&format!("s-{n:08x}")),
        age_ms: 10.0 * n as f64,
        stream_share: 0.5,
        link_use: 0.01 * n as f64,
        known_uptime_ms: 100.0 * n as f64,
    };
    let all: Vec<ServerStatus> = (0..MAX_ENTRIES + 5).map(one).collect();
    let bytes = encode(&all);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES && MAX_ENTRIES >= walnutline::api::PEER_REPORTS_PER_MESSAGE);
    assert_eq!(decode(&bytes).unwrap(), all[..MAX_ENTRIES]);
    // Cut short, with bytes to spare, of another version: nothing is told.
    assert!((0..bytes.len()).all(|n| decode(&bytes[..n]).is_none()));
    assert_eq!(decode(&[bytes.as_slice(), &[0]].concat()), None);
    assert_eq!(decode(&[b"wl\x02", &bytes[3..]].concat()), None);
    let far = ServerStatus { age_ms: 1e9, stream_share: f64::INFINITY, link_use: f64::NAN, ..one(1) };
    assert_eq!(
        decode(&encode(&[far])).unwrap()[0],
        ServerStatus { age_ms: 2_550.0, stream_share: 255.0 / 128.0, link_use: 0.0, ..far }
    );
}

#[test_case("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"x\"" => "seed: not a number in hex digits"; "seed")]
#[test_case("\"places\":12,", "" => "settings/family_info/places: missing or no number"; "places")]
#[test_case("\"Gone\"", "\"Lost\"" => "known: s-00000003: lifecycle \"Lost\" is not known"; "lifecycle")]
fn faults_of_a_configuration_name_their_field(from: &str, to: &str) -> String {
    configuration::parse(&NODE.replace(from, to)).unwrap_err()
}

/// Names are labels' own bytes: what would part them in print, or a letter's case on the way, changes
/// nothing.
#[test_case("hala a", "hala a"; "a space")]
#[test_case("hala,a", "hala,a"; "a comma")]
#[test_case("hala\\.a", "hala.a"; "a dot")]
fn a_zone_is_named_by_its_label(written: &str, zone: &str) {
    let target = format!("s-1.{written}.hosts");
    let name = |text: &str| Name::new(text).unwrap().into_owned();
    let record = |n: &str, data| ResourceRecord::new(name(n), CLASS::IN, 0, data);
    let mut p = Packet::new_reply(7);
    p.answers.push(record(
        discovery::SERVER_LIST_NAME,
        RData::SRV(SRV { priority: 0, weight: 30, port: 9, target: name(&target) }),
    ));
    let txt =
        ["kind=k", "cell=0", "started=0"].into_iter().fold(TXT::new(), |t, s| t.with_string(s).unwrap());
    let upper = target.to_ascii_uppercase();
    p.additional_records.push(record(&upper, RData::A(A { address: 1 })));
    p.additional_records.push(record(&target, RData::TXT(txt)));
    let soa =
        SOA { mname: name("a"), rname: name("b"), serial: 3, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    p.name_servers.push(record("farm.lan", RData::SOA(soa)));
    let told = discovery::parse_answer(&p.build_bytes_vec_compressed().unwrap(), 7).unwrap();
    assert_eq!((told.servers[0].name.as_str(), told.servers[0].zone.as_str()), ("s-1", zone));
}

#[test_case("\"aim\":800.0", "\"aim\":900.0" => vec!["settings.classes.0.aim".to_owned()]; "a target")]
#[test_case("\"sockets\":256", "\"sockets\":255" => vec!["limits.sockets".to_owned()]; "descriptors")]
#[test_case("\"zones\":[\"depot-a\",\"depot-b\"]", "\"zones\":[\"depot-b\",\"depot-a\"]" => vec!["settings.zones".to_owned()]; "zones")]
#[test_case("box-2c\"],\"zones", "box 2c\"],\"zones" => vec!["settings.kinds".to_owned()]; "a kind")]
#[test_case("8c1f30d27a5be964", "8c1f30d27a5be965" => Vec::<String>::new(); "the seed")]
#[test_case("127.0.0.1:1053", "127.0.0.2:1053" => Vec::<String>::new(); "the name service")]
#[test_case("\"weight\":3,", "\"weight\":4," => Vec::<String>::new(); "the list")]
fn what_a_new_document_changes_is_told_by_path(from: &str, to: &str) -> Vec<String> {
    let (old, new) =
        (configuration::parse(NODE).unwrap(), configuration::parse(&NODE.replace(from, to)).unwrap());
    assert!(NODE.contains(from));
    old.changes_requiring_restart(&new)
}

/// Names that the lines of the settings fold into one are still two.
#[test]
fn names_that_differ_in_a_comma_are_two() {
    let named = |name: &str| configuration::parse(&NODE.replace("council-notice", name)).unwrap();
    let (comma, space) = (named("board,loop"), named("board loop"));
    assert_eq!((&comma.classes[1], &space.classes[1]), (&"board,loop".into(), &"board loop".into()));
    assert_eq!(comma.changes_requiring_restart(&space), ["settings: names"]);
}
