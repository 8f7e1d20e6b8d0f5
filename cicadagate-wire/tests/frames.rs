//! Frames and datagrams: sent messages are decoded; anything else is refused.

use {
    bytes::Bytes,
    cicadagate_policy::{
        ids::{CustomerId, EndpointId, MemberId, RequestId},
        process::{
            membership::{Message, MessageKind},
            replica_queue::Class,
        },
    },
    cicadagate_wire::{
        datagram::DatagramCodec,
        key::FleetKey,
        mac::DecodeError,
        peer::{
            EndpointKind, FromServer, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION, PeerCodec, Side,
            Submit, ToServer,
        },
    },
    quickcheck::{Gen, QuickCheck},
};

fn key(byte: &str) -> FleetKey {
    FleetKey::from_hex(&byte.repeat(32)).expect("a key")
}

fn hello(nonce: u8) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        nonce: [nonce; 16],
        member: MemberId::of("m"),
    }
}

/// Returns the codecs of both sides of a connection after the handshake.
fn connection() -> (PeerCodec<FromServer>, PeerCodec<ToServer>) {
    let key = key("ab");
    let (client, server) = (hello(1), hello(2));
    let handshake = |side| PeerCodec::handshake(&key, side);
    (
        handshake(Side::Client).into_session(&key, Side::Client, &client, &server),
        handshake(Side::Server).into_session(&key, Side::Server, &client, &server),
    )
}

fn submit(body: &[u8]) -> ToServer {
    ToServer::Submit(Box::new(Submit {
        id: RequestId::of("r"),
        attempt: 1,
        class: Class::Online,
        customer: CustomerId::of("c"),
        endpoint: EndpointId::of("e"),
        target: EndpointKind::Engine,
        method: "POST".to_owned(),
        path: "/v1/x".to_owned(),
        headers: vec![("a".to_owned(), "b".to_owned())],
        body: Bytes::copy_from_slice(body),
        cost: 1,
        start_within_ms: 2,
        resume_from: 3,
        force: false,
        load_bound: 4,
        key: None,
        keyed: false,
        idempotent: true,
        traceparent: String::new(),
    }))
}

/// A property of a random byte string and a random index.
type Property = fn(Vec<u8>, usize) -> bool;

fn check(cases: u64, property: Property) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 7))
        .tests(cases)
        .quickcheck(property);
}

#[test]
fn frames_split_anywhere_are_decoded() {
    fn property(body: Vec<u8>, cut: usize) -> bool {
        let (mut client, mut server) = connection();
        let mut out = Vec::new();
        let sent = submit(&body);
        drop(body);
        client.encode(&sent, &mut out);
        client.encode(&ToServer::FetchConfig { seq: 9 }, &mut out);
        let (first, second) = out.split_at(cut % out.len());
        let mut got = Vec::new();
        for part in [first, second] {
            server.feed(part);
            while let Some(message) = server.next_message().expect("sound frames") {
                got.push(message);
            }
        }
        got == [sent, ToServer::FetchConfig { seq: 9 }]
    }
    check(300, property);
}

#[test]
fn changed_bytes_are_refused() {
    fn property(body: Vec<u8>, at: usize) -> bool {
        let (mut client, mut server) = connection();
        let mut out = Vec::new();
        client.encode(&submit(&body), &mut out);
        drop(body);
        // After the length: a modified length makes the codec wait for more
        // bytes or fail.
        let at = 4 + at % (out.len() - 4);
        out[at] ^= 1;
        server.feed(&out);
        matches!(server.next_message(), Err(DecodeError::WrongMac))
    }
    check(300, property);
}

#[test]
fn repeated_frames_are_refused() {
    let (mut client, mut server) = connection();
    let mut out = Vec::new();
    client.encode(&ToServer::FetchConfig { seq: 1 }, &mut out);
    server.feed(&out);
    assert!(matches!(server.next_message(), Ok(Some(_))));
    server.feed(&out);
    assert_eq!(server.next_message(), Err(DecodeError::WrongMac));
}

#[test]
fn frames_of_another_connection_are_refused() {
    let (mut client, _) = connection();
    let key = key("ab");
    let mut server: PeerCodec<ToServer> = PeerCodec::handshake(&key, Side::Server).into_session(
        &key,
        Side::Server,
        &hello(1),
        &hello(3),
    );
    let mut out = Vec::new();
    client.encode(&ToServer::FetchConfig { seq: 1 }, &mut out);
    server.feed(&out);
    assert_eq!(server.next_message(), Err(DecodeError::WrongMac));
}

#[test]
fn hello_without_the_key_is_refused() {
    let mut client = PeerCodec::handshake(&key("ab"), Side::Client);
    let mut server = PeerCodec::handshake(&key("cd"), Side::Server);
    let mut out = Vec::new();
    client.encode(&hello(1), &mut out);
    server.feed(&out);
    assert_eq!(server.next_message(), Err(DecodeError::WrongMac));
}

#[test]
fn huge_frames_are_refused_by_their_length() {
    let (_, mut server) = connection();
    let bytes = u32::try_from(MAX_FRAME_BYTES + 1).expect("fits");
    server.feed(&bytes.to_be_bytes());
    assert!(matches!(
        server.next_message(),
        Err(DecodeError::TooLong { .. })
    ));
    let mut server = PeerCodec::handshake(&key("ab"), Side::Server);
    server.feed(&100_000_u32.to_be_bytes());
    assert!(matches!(
        server.next_message(),
        Err(DecodeError::TooLong { .. })
    ));
}

#[test]
fn random_bytes_are_refused_as_datagrams() {
    fn property(bytes: Vec<u8>, _: usize) -> bool {
        let refused = DatagramCodec::new(&key("ab"))
            .decode::<Message>(&bytes)
            .is_err();
        drop(bytes);
        refused
    }
    check(500, property);
}

#[test]
fn datagrams_are_decoded_with_the_same_key_only() {
    let message = Message {
        kind: MessageKind::Ping { seq: 1 },
        updates: Vec::new(),
        withdrawn: vec![[7; 32]],
    };
    let datagram = DatagramCodec::new(&key("ab")).encode(&message);
    assert_eq!(
        DatagramCodec::new(&key("ab")).decode::<Message>(&datagram),
        Ok(message)
    );
    assert_eq!(
        DatagramCodec::new(&key("cd")).decode::<Message>(&datagram),
        Err(DecodeError::WrongMac)
    );
    let truncated = &datagram[..datagram.len() - 1];
    assert!(
        DatagramCodec::new(&key("ab"))
            .decode::<Message>(truncated)
            .is_err()
    );
}
