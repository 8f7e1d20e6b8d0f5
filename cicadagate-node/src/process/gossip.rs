/*!
Sends and receives the messages of the membership protocol, and reacts to
changes of the members.
*/

use {
    super::Node,
    crate::event,
    actix_rt::{net::UdpSocket, time::sleep},
    cicadagate_policy::{
        ids::MemberId,
        process::membership::{Health, Info, Outgoing},
    },
    cicadagate_wire::datagram::{DatagramCodec, MAX_DATAGRAM_BYTES},
    std::{collections::BTreeMap, rc::Rc, time::Duration},
    tokio::sync::mpsc,
};

/// Time between two checks for changed members.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the membership protocol on `socket` until the process exits.
pub(super) async fn run(
    node: Rc<Node>,
    socket: UdpSocket,
    mut outgoing: mpsc::UnboundedReceiver<Outgoing>,
) {
    let codec = DatagramCodec::new(&node.key);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let now = node.now();
        let until_tick_ms = node.membership.borrow().next_tick().since(now);
        tokio::select! {
            received = socket.recv_from(&mut buf) => {
                let Ok((len, from)) = received else { continue };
                node.metrics.datagram_bytes.with_label_values(&["received"]).inc_by(len as u64);
                match codec.decode(&buf[..len]) {
                    Ok(message) => {
                        let out = node.membership.borrow_mut().handle(node.now(), from, message);
                        send(&node, &codec, &socket, out).await;
                    }
                    Err(err) => {
                        node.metrics.refused_messages.with_label_values(&["datagram"]).inc();
                        event!(MESSAGE_REFUSED, from: = from, reason: = err);
                    }
                }
            }
            () = sleep(Duration::from_millis(until_tick_ms)) => {
                let out = node.membership.borrow_mut().tick(node.now());
                send(&node, &codec, &socket, out).await;
            }
            Some(datagram) = outgoing.recv() => {
                send(&node, &codec, &socket, vec![datagram]).await;
            }
            () = node.exiting() => {
                let out = node.membership.borrow_mut().leave();
                send(&node, &codec, &socket, out).await;
                return;
            }
        }
    }
}

async fn send(node: &Node, codec: &DatagramCodec, socket: &UdpSocket, out: Vec<Outgoing>) {
    for (to, message) in out {
        let datagram = codec.encode(&message);
        let bytes = datagram.len() as u64;
        node.metrics
            .datagram_bytes
            .with_label_values(&["sent"])
            .inc_by(bytes);
        // The protocol tolerates lost datagrams.
        let _ = socket.send_to(&datagram, to).await;
    }
}

/// Logs changes of the members and closes connections to dead ones.
pub(super) async fn watch_members(node: Rc<Node>) {
    let mut known_health: BTreeMap<MemberId, Health> = BTreeMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let changed: Vec<(Info, Health)> = node
            .membership
            .borrow()
            .members()
            .filter(|(info, health)| known_health.get(&info.id) != Some(health))
            .map(|(info, health)| (info.clone(), health))
            .collect();
        for (info, health) in changed {
            known_health.insert(info.id, health);
            handle_change(&node, &info, health);
        }
        let membership = node.membership.borrow();
        known_health.retain(|id, _| membership.member(*id).is_some());
        node.metrics.set_state("members", known_health.len());
    }
}

fn handle_change(node: &Node, info: &Info, health: Health) {
    let process = format!("{}/{}", info.instance, info.role.name());
    event!(MEMBER_CHANGED, process, health:? = health);
    if health >= Health::Dead {
        node.peers.close(info.tcp);
    }
}
