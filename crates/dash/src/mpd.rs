//! DASH media presentation descriptions (ISO/IEC 23009-1) of one session: dynamic, with an update period, the base
//! URL of the box that plays it and one representation for each rung in force.
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename = "MPD")]
pub struct Mpd {
    #[serde(rename = "@xmlns", default)]
    pub xmlns: String,
    #[serde(rename = "@profiles")]
    pub profiles: String,
    #[serde(rename = "@type")]
    pub presentation_type: String,
    #[serde(rename = "@availabilityStartTime")]
    pub availability_start_time: String,
    #[serde(rename = "@publishTime")]
    pub publish_time: String,
    #[serde(rename = "@minimumUpdatePeriod")]
    pub minimum_update_period: String,
    #[serde(rename = "@minBufferTime")]
    pub min_buffer_time: String,
    #[serde(rename = "Location")]
    pub location: String,
    #[serde(rename = "BaseURL")]
    pub base_url: String,
    #[serde(rename = "Period")]
    pub period: Period,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Period {
    #[serde(rename = "@id")]
    pub id: String,
    #[serde(rename = "@start")]
    pub start: String,
    #[serde(rename = "AdaptationSet")]
    pub adaptation_set: AdaptationSet,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdaptationSet {
    #[serde(rename = "@mimeType")]
    pub mime_type: String,
    #[serde(rename = "@segmentAlignment")]
    pub segment_alignment: bool,
    #[serde(rename = "SegmentTemplate")]
    pub segment_template: SegmentTemplate,
    #[serde(rename = "Representation")]
    pub representations: Vec<Representation>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SegmentTemplate {
    #[serde(rename = "@media")]
    pub media: String,
    #[serde(rename = "@timescale")]
    pub timescale: u32,
    #[serde(rename = "@duration")]
    pub duration: u32,
    #[serde(rename = "@startNumber")]
    pub start_number: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Representation {
    /// The rung.
    #[serde(rename = "@id")]
    pub id: String,
    /// Bits a second.
    #[serde(rename = "@bandwidth")]
    pub bandwidth: u64,
}

/// What a manifest tells; times in milliseconds.
#[derive(Debug, Clone)]
pub struct ManifestParams<'a> {
    pub title: &'a str,
    /// Where the segments stand, ending in a slash.
    pub base_url: String,
    /// Where the renewed manifest is fetched.
    pub location: String,
    pub started_at_ms: f64,
    pub published_at_ms: f64,
    pub update_period_ms: f64,
    pub segment_duration_ms: f64,
    /// The rungs in force with their rates in kB a second, ascending.
    pub rungs: Vec<(u8, f64)>,
}

pub fn to_xml(told: &ManifestParams) -> Result<String, String> {
    let representation = |(rung, kb): &(u8, f64)| Representation {
        id: rung.to_string(),
        bandwidth: (kb * 8_000.0).round() as u64,
    };
    let mpd = Mpd {
        xmlns: "urn:mpeg:dash:schema:mpd:2011".into(),
        profiles: "urn:mpeg:dash:profile:isoff-live:2011".into(),
        presentation_type: "dynamic".into(),
        availability_start_time: date_time(told.started_at_ms),
        publish_time: date_time(told.published_at_ms),
        minimum_update_period: duration(told.update_period_ms),
        min_buffer_time: duration(told.segment_duration_ms),
        location: told.location.clone(),
        base_url: told.base_url.clone(),
        period: Period {
            id: told.title.into(),
            start: "PT0S".into(),
            adaptation_set: AdaptationSet {
                mime_type: "video/mp4".into(),
                segment_alignment: true,
                segment_template: SegmentTemplate {
                    media: "$RepresentationID$/$Number$.m4s".into(),
                    timescale: 1_000,
                    duration: told.segment_duration_ms.round() as u32,
                    start_number: 1,
                },
                representations: told.rungs.iter().map(representation).collect(),
            },
        },
    };
    let xml = quick_xml::se::to_string(&mpd).map_err(|e| format!("MPD: {e}"))?;
    Ok(format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n{xml}\n"))
}

pub fn from_xml(xml: &str) -> Result<Mpd, String> {
    quick_xml::de::from_str(xml).map_err(|e| format!("MPD: {e}"))
}

/// A length of time as xs:duration, in seconds.
fn duration(ms: f64) -> String {
    format!("PT{}S", ms / 1_000.0)
}

/// The milliseconds of a length of time as [`to_xml`] writes it.
pub fn read_duration(text: &str) -> Option<f64> {
    let seconds: f64 = text.strip_prefix("PT")?.strip_suffix('S')?.parse().ok()?;
    Some(seconds * 1_000.0)
}

/// Unix milliseconds as xs:dateTime in UTC.
fn date_time(unix_ms: f64) -> String {
    let since = Duration::from_millis(unix_ms as u64);
    humantime::format_rfc3339_millis(SystemTime::UNIX_EPOCH + since).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_written_is_read_back() {
        let told = ManifestParams {
            title: "water <&> outage \"7\"",
            base_url: "http://127.0.0.1:9/s/a&b/".into(),
            location: "http://127.0.0.1:8/s/5.mpd?a=1&b=2".into(),
            started_at_ms: 951_868_799_000.0,
            published_at_ms: 1_700_000_000_123.0,
            update_period_ms: 2_000.0,
            segment_duration_ms: 500.0,
            rungs: vec![(0, 100.0), (1, 250.5)],
        };
        let mpd = from_xml(&to_xml(&told).unwrap()).unwrap();
        assert_eq!(mpd.base_url, told.base_url);
        assert_eq!(mpd.location, told.location);
        assert_eq!(mpd.period.id, told.title);
        assert_eq!(mpd.presentation_type, "dynamic");
        assert_eq!(mpd.availability_start_time, "2000-02-29T23:59:59.000Z");
        assert_eq!(mpd.publish_time, "2023-11-14T22:13:20.123Z");
        assert_eq!(read_duration(&mpd.minimum_update_period), Some(2_000.0));
        let reps: Vec<_> =
            mpd.period.adaptation_set.representations.iter().map(|r| (r.id.as_str(), r.bandwidth)).collect();
        assert_eq!(reps, [("0", 800_000), ("1", 2_004_000)]);
    }

    #[test]
    fn what_is_no_manifest_is_an_error() {
        for xml in ["", "<MPD/>", "<MPD", "<a><b></a>", "\u{0}"] {
            assert!(from_xml(xml).is_err(), "{xml:?}");
        }
    }
}
