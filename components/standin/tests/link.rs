//! How links treat new and open connections in each state.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use standin::link::{Link, State};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Time after which a connection counts as unanswered.
const UNANSWERED_AFTER: Duration = Duration::from_millis(100);
/// Time for a link to apply a state.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Starts a server that returns each byte, and a link to it.
async fn echo() -> Link {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let target = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Ok(byte) = stream.read_u8().await {
                    if stream.write_u8(byte).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Link::start(target).await.expect("a link")
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Option<ErrorKind>> {
    match timeout(UNANSWERED_AFTER, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(Some(error.kind())),
        Err(_) => Err(None),
    }
}

/// Whether a byte comes back on a connection.
async fn answers(stream: &mut TcpStream) -> bool {
    let exchange = async {
        stream.write_u8(7).await.ok()?;
        stream.read_u8().await.ok()
    };
    timeout(UNANSWERED_AFTER, exchange).await == Ok(Some(7))
}

#[tokio::test]
async fn a_link_fails_new_and_open_connections_as_its_state_says() {
    let refused = Err(Some(ErrorKind::ConnectionRefused));
    let cases = [
        (State::Unreachable, Err(None), false),
        (State::Refuses, refused, false),
        (State::RefusesNew, refused, true),
        (State::ResetsOnUse, refused, false),
    ];
    let link = echo().await;
    for (state, new, open_answers) in cases {
        let mut open = connect(link.address()).await.expect("an open link");
        assert!(answers(&mut open).await);
        link.set(state);
        sleep(SETTLE_TIME).await;
        let got = connect(link.address()).await.map(|_| ());
        assert_eq!(got, new, "{state:?}");
        assert_eq!(answers(&mut open).await, open_answers, "{state:?}");
        link.set(State::Open);
        sleep(SETTLE_TIME).await;
        let mut again = connect(link.address()).await.expect("an open link");
        assert!(answers(&mut again).await, "{state:?}");
    }
}

#[tokio::test]
async fn no_other_socket_gets_the_port_of_a_link_that_refuses_connections() {
    let link = echo().await;
    for state in [
        State::Refuses,
        State::RefusesNew,
        State::ResetsOnUse,
        State::Unreachable,
    ] {
        link.set(state);
        sleep(SETTLE_TIME).await;
        let other = TcpListener::bind(link.address()).await;
        assert!(other.is_err(), "{state:?}");
    }
}
