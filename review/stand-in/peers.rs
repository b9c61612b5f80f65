//! The network for datagrams between front nodes: what a node sends to all reaches every other node from the sender's
//! address in `peers`.
use std::net::{SocketAddr, UdpSocket};

pub struct PeerNetwork {
    /// Where each node listens.
    pub listen: Vec<SocketAddr>,
    /// The address by which each node is known to the others.
    pub senders: Vec<SocketAddr>,
    /// The address that reaches all.
    pub all: SocketAddr,
}

impl PeerNetwork {
    pub fn start(count: usize) -> Result<PeerNetwork, String> {
        let bind = || UdpSocket::bind("127.0.0.1:0").map_err(|e| e.to_string());
        let address = |s: &UdpSocket| s.local_addr().map_err(|e| e.to_string());
        let listen: Vec<SocketAddr> = (0..count).map(|_| address(&bind()?)).collect::<Result<_, String>>()?;
        let sockets: Vec<UdpSocket> = (0..count).map(|_| bind()).collect::<Result<_, String>>()?;
        let senders: Vec<SocketAddr> = sockets.iter().map(address).collect::<Result<_, String>>()?;
        let socket = bind()?;
        let all = address(&socket)?;
        let nodes = listen.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 512];
            while let Ok((n, from)) = socket.recv_from(&mut bytes) {
                let Some(sender) = nodes.iter().position(|a| *a == from) else { continue };
                crate::record::line("datagrams", &format!("n{} to all others, {n} bytes", sender + 1));
                for (_, to) in nodes.iter().enumerate().filter(|(i, _)| *i != sender) {
                    let _ = sockets[sender].send_to(&bytes[..n], to);
                }
            }
        });
        Ok(PeerNetwork { listen, senders, all })
    }
}
