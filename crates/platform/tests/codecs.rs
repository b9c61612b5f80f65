//! Tests of the codecs: valid messages survive a round trip, and invalid input is rejected with bounded memory use.
use proptest::prelude::*;
use simple_dns::rdata::{RData, A, SOA, SRV, TXT};
use simple_dns::{Name, Packet, PacketFlag, Question, ResourceRecord, CLASS, QCLASS, QTYPE, RCODE, TYPE};
use test_case::test_case;
use walnutline::settings::PolicySettings;
use walnutline_platform::discovery::{self, AnswerError};
use walnutline_platform::rtsp::{FramingError, MessageReader, MAX_MESSAGE_BYTES};
use walnutline_platform::server::{self, ServerMessage};
use walnutline_platform::viewer::{self, ViewerMessage};
use walnutline_platform::{configuration, headers};

/// A configuration document of a node.
const CONFIGURATION: &str = include_str!("node.json");

/// A viewer's SETUP with these header lines and body.
fn setup_bytes(session_id: &str, header_lines: &str, body: &str) -> Vec<u8> {
    let head = "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nX-Call-Class: paid\r\n";
    format!("{head}Session: {session_id}\r\n{header_lines}Content-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// Header lines that complete a valid SETUP.
const VALID_HEADER_LINES: &str =
    "X-Ring-Limit: 1500\r\nX-Dest: home:4;copies:3;top:4;viewer:00000000b4d65521\r\n";

/// Parses all messages of a stream that arrives in chunks of this size.
fn parse_stream(bytes: &[u8], chunk_len: usize) -> Result<Vec<ViewerMessage>, String> {
    let (mut reader, mut messages) = (MessageReader::default(), Vec::new());
    for chunk in bytes.chunks(chunk_len) {
        reader.push(chunk);
        while let Some(message) = reader.next_message().map_err(|e| e.to_string())? {
            messages.push(viewer::parse_message(message).map_err(|e| e.reason)?);
        }
    }
    Ok(messages)
}

proptest! {
    /// A valid start followed by endless bytes is rejected with at most one message and one chunk in the buffer.
    #[test]
    fn endless_message_is_rejected_with_a_bounded_buffer(
        byte in any::<u8>(), chunk_len in 1usize..5_000, length in 0usize..50_000,
    ) {
        let head = format!("SETUP rtsp://media/0 RTSP/1.0\r\nContent-Length: {length}\r\nX: ");
        let endless = [head.as_bytes(), &vec![byte; 3 * MAX_MESSAGE_BYTES]].concat();
        let mut reader = MessageReader::default();
        let rejected = endless.chunks(chunk_len).any(|chunk| {
            reader.push(chunk);
            assert!(reader.buffered_len() <= MAX_MESSAGE_BYTES + chunk.len(), "{} bytes buffered", reader.buffered_len());
            reader.next_message().is_err()
        });
        prop_assert!(rejected);
    }

    /// Arbitrary bytes in chunks of any size cause no panic.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600), chunk_len in 1usize..90) {
        let _ = parse_stream(&bytes, chunk_len);
        let _ = discovery::parse_answer(&bytes, 7);
    }

    /// A valid message with one byte changed is parsed or rejected without a panic.
    #[test]
    fn corrupted_byte_does_not_panic(
        index in any::<prop::sample::Index>(), byte in any::<u8>(), chunk_len in 1usize..90,
    ) {
        let mut bytes = setup_bytes("9b1f03aa5c7e2d41", VALID_HEADER_LINES, "c=IN IP4 10.4.7.9\r\n");
        let index = index.index(bytes.len());
        bytes[index] = byte;
        let _ = parse_stream(&bytes, chunk_len);
    }

    /// A viewer's SETUP is forwarded to a server with the same id, title and description.
    #[test]
    fn setup_is_forwarded_unchanged(
        body in "[ -~\r\n]{0,200}", id in any::<u64>(), title in any::<u64>(), chunk_len in 1usize..90, rung in 0u8..9,
    ) {
        let text = String::from_utf8(setup_bytes(&format!("{id:016x}"), VALID_HEADER_LINES, &body)).unwrap();
        let text = text.replace("7f3a9c21e0b4d655", &format!("{title:016x}"));
        let messages = parse_stream(text.as_bytes(), chunk_len).unwrap();
        let [ViewerMessage::Setup(request)] = &messages[..] else { panic!("{messages:?}") };
        let forwarded = server::setup_request(request, rung, 152.9);
        let forwarded = String::from_utf8(forwarded).unwrap();
        let (head, forwarded_body) = forwarded.split_once("\r\n\r\n").unwrap();
        prop_assert_eq!(forwarded_body, &body);
        prop_assert!(head.starts_with(&format!("SETUP rtsp://media/{title:016x} RTSP/1.0\r\n")), "{}", head);
        for line in [format!("Session: {id:016x}"), format!("Rate-Step: {rung}"), "X-Ring-Limit: 152".into(),
            "X-Call-Class: paid".into(), "CSeq: 1".into()] {
            prop_assert!(head.lines().any(|l| l == line), "{} not in {}", line, head);
        }
    }

    /// The description in a SETUP response keeps arbitrary bytes.
    #[test]
    fn description_survives_a_round_trip(body in prop::collection::vec(any::<u8>(), 0..300), id in any::<u64>()) {
        let mut reader = MessageReader::default();
        reader.push(&viewer::setup_response(id, &body));
        let message = server::parse_message(reader.next_message().unwrap().unwrap());
        prop_assert_eq!(message, ServerMessage::SetupResponse { id, status: 200, description: body, report: vec![] });
    }
}

#[test_case(b"\x00\x01\x02 rubbish" => Some(FramingError::NotRtsp); "not a message")]
#[test_case(b"SETUP rtsp://media/0 RTSP/1.0\r\nContent-Length: -5\r\n\r\n" => Some(FramingError::BadContentLength); "negative length")]
#[test_case(b"RTSP/1.0 200 OK\r\nContent-Length: 3000000000\r\n\r\nxx" => Some(FramingError::TooLong); "length of 3 GB")]
#[test_case(b"RTSP/1.0 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n" => Some(FramingError::BadContentLength); "length beyond 64 bits")]
#[test_case(b"RTSP/1.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx" => Some(FramingError::BadContentLength); "two lengths")]
#[test_case(b"RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nc=IN IP4" => Some(FramingError::UnexpectedBytes); "length too short")]
#[test_case(b"RTSP/1.0 200 OK\r\nContent-Length: 9\r\n\r\nc=IN" => None; "incomplete")]
fn framing_error_is_reported_without_waiting_for_more(bytes: &[u8]) -> Option<FramingError> {
    let mut reader = MessageReader::default();
    reader.push(bytes);
    reader.next_message().err()
}

/// Guards against a shortened description that is passed on: its length was understated by 1 or 2 bytes, and the line end
/// left over was taken for a blank line between messages.
#[test_case(1, usize::MAX; "by one byte")]
#[test_case(2, usize::MAX; "by two bytes")]
#[test_case(2, 1; "by two bytes that arrive later")]
fn understated_length_is_rejected_whatever_is_left_over(understated_by: usize, chunk_len: usize) {
    let body = "c=IN IP4 10.4.7.9\r\n";
    for message in [
        setup_bytes("9b1f03aa5c7e2d41", VALID_HEADER_LINES, body),
        viewer::setup_response(1, body.as_bytes()),
    ] {
        let length = format!("Content-Length: {}", body.len());
        let understated = format!("Content-Length: {}", body.len() - understated_by);
        let text = String::from_utf8(message).unwrap();
        let following = [text.replace(&length, &understated), text].concat();
        let mut reader = MessageReader::default();
        let error = following.as_bytes().chunks(chunk_len.min(following.len())).find_map(|chunk| {
            reader.push(chunk);
            reader.next_message().err()
        });
        assert_eq!(error, Some(FramingError::UnexpectedBytes));
    }
}

/// Guards against a process that exceeds its memory limit: hundreds of peers in the middle of large messages held twice the
/// memory of what they had sent, and kept it after each message.
#[test]
fn reader_holds_memory_for_what_has_arrived_only() {
    const CHUNK_LEN: usize = 4_096;
    let message = setup_bytes("9b1f03aa5c7e2d41", &"X: \r\n".repeat(2_600), "");
    let mut reader = MessageReader::default();
    let stream = [&message[..], &message[..100]].concat();
    for chunk in stream.chunks(CHUNK_LEN) {
        reader.push(chunk);
        assert!(reader.allocated_len() <= reader.buffered_len() + CHUNK_LEN, "{}", reader.allocated_len());
        while reader.next_message().unwrap().is_some() {}
    }
    assert!(
        reader.buffered_len() == 100 && reader.allocated_len() <= CHUNK_LEN,
        "{}",
        reader.allocated_len()
    );
}

/// Blank lines are skipped where they can't belong to a body.
#[test]
fn blank_lines_are_skipped_before_a_message_and_behind_one_without_a_body() {
    let mut reader = MessageReader::default();
    reader.push(b"\r\n");
    reader.push(&server::ping_request(1));
    reader.push(b"\r\n\r\n");
    reader.push(&server::ping_request(2));
    let messages = std::iter::from_fn(|| reader.next_message().unwrap());
    assert_eq!(messages.count(), 2);
}

#[test]
fn endless_request_line_is_rejected() {
    let mut reader = MessageReader::default();
    reader.push(b"SETUP rtsp://media/");
    let error = (0..MAX_MESSAGE_BYTES / 64 + 1).find_map(|_| {
        reader.push(&[b'a'; 64]);
        reader.next_message().err()
    });
    assert_eq!(error, Some(FramingError::TooLong));
}

#[test_case("9b1f03aa5c7e2d41", VALID_HEADER_LINES => None; "valid")]
#[test_case("9b1f", VALID_HEADER_LINES => Some("Session: missing or not a session id".into()); "short id")]
#[test_case("9b1f03aa5c7e2d41", "X-Ring-Limit: NaN\r\nX-Dest: home:4;copies:3;top:4\r\n" => Some("X-Ring-Limit: not a time in milliseconds".into()); "not a number")]
#[test_case("9b1f03aa5c7e2d41", "X-Ring-Limit: 1e300\r\nX-Dest: home:4;copies:3;top:4\r\n" => Some("X-Ring-Limit: not a time in milliseconds".into()); "huge wait")]
#[test_case("9b1f03aa5c7e2d41", "X-Ring-Limit: 900\r\nX-Dest: home:-4;copies:3;top:4\r\n" => Some("X-Dest: home: not a number in range".into()); "negative home")]
#[test_case("9b1f03aa5c7e2d41", "X-Ring-Limit: 900\r\nX-Dest: home:4;top:4\r\n" => Some("X-Dest: copies: missing".into()); "no copies")]
fn invalid_setup_is_rejected_with_a_reason(session_id: &str, header_lines: &str) -> Option<String> {
    parse_stream(&setup_bytes(session_id, header_lines, ""), 4_096).err()
}

#[test]
fn load_reports_and_release_causes_are_parsed() {
    assert_eq!(
        headers::parse_load_report("x0:0.8; inflight:nan;queue:3;x"),
        [("x0".into(), 0.8), ("queue".into(), 3.0)]
    );
    assert_eq!(
        (headers::parse_release_cause("cause=16"), headers::parse_release_cause("cause=x")),
        (Some(16), None)
    );
}

/// An answer that lists one server, after `change` was applied to it.
fn discovery_answer(id: u16, change: fn(&mut Packet<'static>)) -> Vec<u8> {
    let mut packet = Packet::new_reply(id);
    let name = |text: &'static str| Name::new_unchecked(text);
    let record = |owner: &'static str, data| ResourceRecord::new(name(owner), CLASS::IN, 0, data);
    packet.questions.push(Question::new(
        name(discovery::SERVER_LIST_NAME),
        QTYPE::TYPE(TYPE::SRV),
        QCLASS::CLASS(CLASS::IN),
        false,
    ));
    let target = "s-00c41f7a.east.hosts";
    let srv = SRV { priority: 1, weight: 45, port: 5060, target: name(target) };
    packet.answers.push(record(discovery::SERVER_LIST_NAME, RData::SRV(srv)));
    let soa =
        SOA { mname: name("a"), rname: name("b"), serial: 41, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    packet.name_servers.push(record("farm.lan", RData::SOA(soa)));
    let txt = ["kind=std", "cell=2", "started=1700000000000"];
    let txt = txt.into_iter().fold(TXT::new(), |txt, text| txt.with_string(text).unwrap());
    packet.additional_records.push(record(target, RData::A(A { address: 0x0a01_0009 })));
    packet.additional_records.push(record(target, RData::TXT(txt)));
    change(&mut packet);
    packet.build_bytes_vec_compressed().unwrap()
}

#[test_case(|_| {} => Ok((41, 1)); "valid")]
#[test_case(|p| p.set_id(8) => Err(AnswerError::Mismatch); "another id")]
#[test_case(|p| *p.rcode_mut() = RCODE::ServerFailure => Err(AnswerError::Failed); "server failure")]
#[test_case(|p| p.set_flags(PacketFlag::TRUNCATION) => Err(AnswerError::Failed); "truncated")]
#[test_case(|p| p.questions[0].qname = Name::new_unchecked("other.lan") => Err(AnswerError::Mismatch); "another question")]
#[test_case(|p| p.name_servers.clear() => Err(AnswerError::Incomplete); "no serial")]
#[test_case(|p| p.additional_records.clear() => Err(AnswerError::Incomplete); "no address")]
fn discovery_answer_is_checked_against_its_query(
    change: fn(&mut Packet<'static>),
) -> Result<(u32, usize), AnswerError> {
    discovery::parse_answer(&discovery_answer(7, change), 7).map(|list| (list.serial, list.servers.len()))
}

#[test]
fn server_record_is_complete_and_a_cut_answer_is_rejected() {
    let bytes = discovery_answer(7, |_| {});
    let server = discovery::parse_answer(&bytes, 7).unwrap().servers.remove(0);
    assert_eq!(
        (server.name.as_str(), server.zone.as_str(), server.kind.as_str()),
        ("s-00c41f7a", "east", "std")
    );
    assert_eq!((server.address, server.cell), ("10.1.0.9:5060".parse().unwrap(), 2));
    assert_eq!((server.draining, server.weight, server.started_unix_ms), (true, 4.5, Some(1.7e12)));
    for len in 0..bytes.len() {
        assert!(discovery::parse_answer(&bytes[..len], 7).is_err(), "cut at {len}");
    }
}

/// The settings of the document are equal to those that the simulator gives as lines.
#[test]
fn settings_equal_those_of_the_simulator() {
    let parsed = configuration::parse(CONFIGURATION).unwrap();
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
    let parsed_settings = |text: &str| format!("{:?}", PolicySettings::parse(text).unwrap());
    assert_eq!(parsed_settings(&parsed.settings_text), parsed_settings(lines));
    assert_eq!(
        parsed.servers.iter().map(|s| s.name.as_str()).collect::<Vec<_>>(),
        ["s-00000001", "s-00000002"]
    );
    assert_eq!(
        (parsed.server_list_serial, parsed.max_sockets, parsed.cell_count, parsed.rung_count),
        (3, 256, 12, 5)
    );
    assert_eq!(
        (parsed.connect_timeout_ms, parsed.idle_timeout_ms, parsed.max_viewer_wait_ms),
        (250.0, 30_000.0, 3_000.0)
    );
}

#[test]
fn peer_datagram_survives_a_round_trip_and_invalid_ones_are_rejected() {
    use walnutline_platform::peers::{
        decode, encode, hash_server_name, ServerStatus, MAX_DATAGRAM_BYTES, MAX_ENTRIES,
    };
    let status = |n: usize| ServerStatus {
        name_hash: hash_server_name(&format!("s-{n:08x}")),
        age_ms: 10.0 * n as f64,
        stream_share: 0.5,
        link_use: 0.01 * n as f64,
        known_uptime_ms: 100.0 * n as f64,
    };
    let statuses: Vec<ServerStatus> = (0..MAX_ENTRIES + 5).map(status).collect();
    let bytes = encode(&statuses);
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES && MAX_ENTRIES >= walnutline::api::PEER_REPORTS_PER_MESSAGE);
    assert_eq!(decode(&bytes).unwrap(), statuses[..MAX_ENTRIES]);
    // Truncated, too long, of another version.
    assert!((0..bytes.len()).all(|len| decode(&bytes[..len]).is_none()));
    assert_eq!(decode(&[bytes.as_slice(), &[0]].concat()), None);
    assert_eq!(decode(&[b"wl\x02", &bytes[3..]].concat()), None);
    let out_of_range =
        ServerStatus { age_ms: 1e9, stream_share: f64::INFINITY, link_use: f64::NAN, ..status(1) };
    assert_eq!(
        decode(&encode(&[out_of_range])).unwrap()[0],
        ServerStatus { age_ms: 2_550.0, stream_share: 255.0 / 128.0, link_use: 0.0, ..out_of_range }
    );
}

#[test_case("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"x\"" => "seed: not a hexadecimal number"; "seed")]
#[test_case("\"places\":12,", "" => "settings/family_info/places: missing or not a number"; "places")]
#[test_case("\"Gone\"", "\"Lost\"" => "known: s-00000003: unknown lifecycle \"Lost\""; "lifecycle")]
fn configuration_error_names_the_field(from: &str, to: &str) -> String {
    configuration::parse(&CONFIGURATION.replace(from, to)).unwrap_err()
}

/// A zone is the bytes of its label. Characters that are escaped or act as separators in the text form of a name, and
/// a different case in the A record, make no difference.
#[test_case("hala a", "hala a"; "a space")]
#[test_case("hala,a", "hala,a"; "a comma")]
#[test_case("hala\\.a", "hala.a"; "a dot")]
fn zone_is_the_bytes_of_its_label(escaped: &str, zone: &str) {
    let target = format!("s-1.{escaped}.hosts");
    let name = |text: &str| Name::new(text).unwrap().into_owned();
    let record = |owner: &str, data| ResourceRecord::new(name(owner), CLASS::IN, 0, data);
    let mut packet = Packet::new_reply(7);
    packet.answers.push(record(
        discovery::SERVER_LIST_NAME,
        RData::SRV(SRV { priority: 0, weight: 30, port: 9, target: name(&target) }),
    ));
    let txt = ["kind=k", "cell=0", "started=0"]
        .into_iter()
        .fold(TXT::new(), |txt, text| txt.with_string(text).unwrap());
    let upper_case = target.to_ascii_uppercase();
    packet.additional_records.push(record(&upper_case, RData::A(A { address: 1 })));
    packet.additional_records.push(record(&target, RData::TXT(txt)));
    let soa =
        SOA { mname: name("a"), rname: name("b"), serial: 3, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    packet.name_servers.push(record("farm.lan", RData::SOA(soa)));
    let list = discovery::parse_answer(&packet.build_bytes_vec_compressed().unwrap(), 7).unwrap();
    assert_eq!((list.servers[0].name.as_str(), list.servers[0].zone.as_str()), ("s-1", zone));
}

#[test_case("\"aim\":800.0", "\"aim\":900.0" => vec!["settings.classes.0.aim".to_owned()]; "class target")]
#[test_case("\"sockets\":256", "\"sockets\":255" => vec!["limits.sockets".to_owned()]; "file descriptors")]
#[test_case("\"zones\":[\"depot-a\",\"depot-b\"]", "\"zones\":[\"depot-b\",\"depot-a\"]" => vec!["settings.zones".to_owned()]; "zones")]
#[test_case("box-2c\"],\"zones", "box 2c\"],\"zones" => vec!["settings.kinds".to_owned()]; "machine type")]
#[test_case("8c1f30d27a5be964", "8c1f30d27a5be965" => Vec::<String>::new(); "the seed")]
#[test_case("127.0.0.1:1053", "127.0.0.2:1053" => Vec::<String>::new(); "the name service")]
#[test_case("\"weight\":3,", "\"weight\":4," => Vec::<String>::new(); "server list")]
fn changes_requiring_restart_are_listed_by_path(from: &str, to: &str) -> Vec<String> {
    let (old, new) = (
        configuration::parse(CONFIGURATION).unwrap(),
        configuration::parse(&CONFIGURATION.replace(from, to)).unwrap(),
    );
    assert!(CONFIGURATION.contains(from));
    old.changes_requiring_restart(&new)
}

/// Names stay distinct even where their forms in the lines of the settings are equal.
#[test]
fn names_that_differ_in_a_separator_are_a_change() {
    let with_class_name =
        |name: &str| configuration::parse(&CONFIGURATION.replace("council-notice", name)).unwrap();
    let (comma, space) = (with_class_name("board,loop"), with_class_name("board loop"));
    assert_eq!((&comma.classes[1], &space.classes[1]), (&"board,loop".into(), &"board loop".into()));
    assert_eq!(comma.changes_requiring_restart(&space), ["settings: names"]);
}
