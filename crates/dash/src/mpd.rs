//! DASH media presentation descriptions (ISO/IEC 23009-1). The manifest of a session is dynamic: it states an update
//! period, the base URL of the box that serves the session, and one representation for each rung in force.
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

/// The `MPD` element, root of a manifest. Times are xs:dateTime, durations xs:duration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename = "MPD")]
pub struct Mpd {
    /// XML namespace.
    #[serde(rename = "@xmlns", default)]
    pub xmlns: String,
    /// Profile URN.
    #[serde(rename = "@profiles")]
    pub profiles: String,
    /// `dynamic` or `static`.
    #[serde(rename = "@type")]
    pub presentation_type: String,
    /// Start of the session.
    #[serde(rename = "@availabilityStartTime")]
    pub availability_start_time: String,
    /// When this version of the manifest was written.
    #[serde(rename = "@publishTime")]
    pub publish_time: String,
    /// How often the viewer fetches the manifest again.
    #[serde(rename = "@minimumUpdatePeriod")]
    pub minimum_update_period: String,
    /// Minimum amount of media to buffer.
    #[serde(rename = "@minBufferTime")]
    pub min_buffer_time: String,
    /// URL of the next version of the manifest.
    #[serde(rename = "Location")]
    pub location: String,
    /// URL that segment URLs are relative to, ending in a slash.
    #[serde(rename = "BaseURL")]
    pub base_url: String,
    /// The only period.
    #[serde(rename = "Period")]
    pub period: Period,
}

/// The `Period` element.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Period {
    /// The title.
    #[serde(rename = "@id")]
    pub id: String,
    /// Start relative to the availability start time.
    #[serde(rename = "@start")]
    pub start: String,
    /// The only adaptation set.
    #[serde(rename = "AdaptationSet")]
    pub adaptation_set: AdaptationSet,
}

/// The `AdaptationSet` element: interchangeable representations of the title.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdaptationSet {
    /// Media type of the segments.
    #[serde(rename = "@mimeType")]
    pub mime_type: String,
    /// Whether segment boundaries are the same in all representations.
    #[serde(rename = "@segmentAlignment")]
    pub segment_alignment: bool,
    /// How segment URLs are formed.
    #[serde(rename = "SegmentTemplate")]
    pub segment_template: SegmentTemplate,
    /// One representation for each rung in force, lowest first.
    #[serde(rename = "Representation")]
    pub representations: Vec<Representation>,
}

/// The `SegmentTemplate` element.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SegmentTemplate {
    /// URL template of the segments.
    #[serde(rename = "@media")]
    pub media: String,
    /// Units of `duration` per second.
    #[serde(rename = "@timescale")]
    pub timescale: u32,
    /// Length of a segment, in units of `timescale`.
    #[serde(rename = "@duration")]
    pub duration: u32,
    /// Number of the first segment.
    #[serde(rename = "@startNumber")]
    pub start_number: u32,
}

/// The `Representation` element: one rung.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Representation {
    /// Number of the rung.
    #[serde(rename = "@id")]
    pub id: String,
    /// Bit rate, in bit/s.
    #[serde(rename = "@bandwidth")]
    pub bandwidth: u64,
}

/// Parameters of a session's manifest.
#[derive(Debug, Clone)]
pub struct ManifestParams<'a> {
    /// Title that is played.
    pub title: &'a str,
    /// URL under which the segments are served, ending in a slash.
    pub base_url: String,
    /// URL from which the updated manifest is fetched.
    pub location: String,
    /// Start of the session, in Unix milliseconds.
    pub started_at_ms: f64,
    /// When the manifest is written, in Unix milliseconds.
    pub published_at_ms: f64,
    /// How often the viewer fetches the manifest again.
    pub update_period_ms: f64,
    /// Length of a segment.
    pub segment_duration_ms: f64,
    /// The rungs in force with their rates in kB/s, ascending.
    pub rungs: Vec<(u8, f64)>,
}

/// Writes the manifest of a session as an XML document.
pub fn to_xml(params: &ManifestParams) -> Result<String, String> {
    let representation = |(rung, rate_kb_s): &(u8, f64)| Representation {
        id: rung.to_string(),
        bandwidth: (rate_kb_s * 8_000.0).round() as u64,
    };
    let mpd = Mpd {
        xmlns: "urn:mpeg:dash:schema:mpd:2011".into(),
        profiles: "urn:mpeg:dash:profile:isoff-live:2011".into(),
        presentation_type: "dynamic".into(),
        availability_start_time: format_date_time(params.started_at_ms),
        publish_time: format_date_time(params.published_at_ms),
        minimum_update_period: format_duration(params.update_period_ms),
        min_buffer_time: format_duration(params.segment_duration_ms),
        location: params.location.clone(),
        base_url: params.base_url.clone(),
        period: Period {
            id: params.title.into(),
            start: "PT0S".into(),
            adaptation_set: AdaptationSet {
                mime_type: "video/mp4".into(),
                segment_alignment: true,
                segment_template: SegmentTemplate {
                    media: "$RepresentationID$/$Number$.m4s".into(),
                    timescale: 1_000,
                    duration: params.segment_duration_ms.round() as u32,
                    start_number: 1,
                },
                representations: params.rungs.iter().map(representation).collect(),
            },
        },
    };
    let xml = quick_xml::se::to_string(&mpd).map_err(|e| format!("MPD: {e}"))?;
    Ok(format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n{xml}\n"))
}

/// Parses a manifest.
pub fn from_xml(xml: &str) -> Result<Mpd, String> {
    quick_xml::de::from_str(xml).map_err(|e| format!("MPD: {e}"))
}

/// Formats a duration as xs:duration, in seconds.
fn format_duration(duration_ms: f64) -> String {
    format!("PT{}S", duration_ms / 1_000.0)
}

/// Parses an xs:duration in seconds, the form that [`to_xml`] writes, and returns milliseconds.
pub fn parse_duration_ms(text: &str) -> Option<f64> {
    let seconds: f64 = text.strip_prefix("PT")?.strip_suffix('S')?.parse().ok()?;
    Some(seconds * 1_000.0)
}

/// Formats Unix milliseconds as xs:dateTime in UTC.
fn format_date_time(unix_ms: f64) -> String {
    let since_epoch = Duration::from_millis(unix_ms as u64);
    humantime::format_rfc3339_millis(SystemTime::UNIX_EPOCH + since_epoch).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn manifest_round_trips_through_xml() {
        let params = ManifestParams {
            title: "water <&> outage \"7\"",
            base_url: "http://127.0.0.1:9/s/a&b/".into(),
            location: "http://127.0.0.1:8/s/5.mpd?a=1&b=2".into(),
            started_at_ms: 951_868_799_000.0,
            published_at_ms: 1_700_000_000_123.0,
            update_period_ms: 2_000.0,
            segment_duration_ms: 500.0,
            rungs: vec![(0, 100.0), (1, 250.5)],
        };
        let mpd = from_xml(&to_xml(&params).unwrap()).unwrap();
        assert_eq!(mpd.base_url, params.base_url);
        assert_eq!(mpd.location, params.location);
        assert_eq!(mpd.period.id, params.title);
        assert_eq!(mpd.presentation_type, "dynamic");
        assert_eq!(mpd.availability_start_time, "2000-02-29T23:59:59.000Z");
        assert_eq!(mpd.publish_time, "2023-11-14T22:13:20.123Z");
        assert_eq!(parse_duration_ms(&mpd.minimum_update_period), Some(2_000.0));
        let representations: Vec<_> =
            mpd.period.adaptation_set.representations.iter().map(|r| (r.id.as_str(), r.bandwidth)).collect();
        assert_eq!(representations, [("0", 800_000), ("1", 2_004_000)]);
    }

    #[test]
    fn malformed_manifest_is_rejected() {
        for xml in ["", "<MPD/>", "<MPD", "<a><b></a>", "\u{0}"] {
            assert!(from_xml(xml).is_err(), "{xml:?}");
        }
    }
}
