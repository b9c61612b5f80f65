//! Identifiers and indexes, each kind with a type of its own. The values of identifiers carry no meaning beyond
//! equality and order; only the number of a cell determines its rack and the titles that it holds.

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// One request for a session, and the session that it becomes.
    SessionId(u64),
    /// A media server; all fronts use the same ids.
    ServerId(u32),
    /// The title that a session plays.
    TitleId(u64),
    /// Position of a service group in the settings.
    GroupIndex(u16),
    /// Position of a zone in the settings.
    ZoneIndex(u16),
    /// Position of a machine kind in the settings.
    KindIndex(u8),
    /// A cell of servers. It determines the titles that they hold and their rack.
    CellId(u32),
    /// A rack, whose servers share one uplink.
    RackId(u32),
}

/// Milliseconds, with fractions, on the clock of the caller.
pub type Ms = f64;
