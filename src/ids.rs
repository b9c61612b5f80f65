//! Each kind of id is a type of its own; none of them carries meaning beyond equality and order.

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($of:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

id! {
    /// One request for a session, and the session that it becomes.
    SessionId(u64),
    /// A media server, the same at every front.
    ServerId(u32),
    /// What is watched.
    TitleId(u64),
    /// Position of a service group in the terms.
    GroupIndex(u16),
    /// Position of a zone in the terms.
    ZoneIndex(u16),
    /// Position of a kind of machine in the terms.
    KindIndex(u8),
    /// A cell: tells the titles held and the rack.
    CellId(u32),
    /// A rack, whose servers share one uplink.
    RackId(u32),
}

/// Milliseconds with fractions, on the clock that the front is handed.
pub type Ms = f64;
