/*!
Runs one stand-in until the process is terminated.
*/

use {
    cicadagate_standin::{engine, platform, service},
    std::{io, net::SocketAddr, process::exit},
};

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-ins for tests and experiments.
        cmd cicadagate-standin {
            /// The platform: log, instance list and weight store.
            cmd platform {
                /// Address to listen on; port 0 lets the kernel choose.
                optional --listen listen: SocketAddr
                /// Appends that the log accepts per second. Default: 500.
                optional --appends-per-sec appends_per_sec: u64
                /// Time an append takes, in milliseconds. Default: 2.
                optional --append-ms append_ms: u64
            }
            /// A model engine.
            cmd engine {
                /// Address to listen on; port 0 lets the kernel choose.
                optional --listen listen: SocketAddr
                /// Maximum number of concurrent streams. Default: 16.
                optional --max-streams max_streams: usize
                /// Step time without streams, in microseconds. Default: 10000.
                optional --step-us step_us: u64
                /// Step time that each stream adds, in microseconds. Default: 100.
                optional --stream-us stream_us: u64
                /// Time to process an uncached prompt token, in microseconds. Default: 20.
                optional --prompt-token-us prompt_token_us: u64
                /// Prompt blocks that the prefix cache holds. Default: 512.
                optional --cache-blocks cache_blocks: usize
                /// Reject load orders with an old fencing token.
                optional --checks-fencing
                /// Lag of load reports, in milliseconds. Default: 500.
                optional --load-lag-ms load_lag_ms: u64
            }
            /// A plain service that counts its calls.
            cmd service {
                /// Address to listen on; port 0 lets the kernel choose.
                optional --listen listen: SocketAddr
                /// Time a call takes, in milliseconds. Default: 5.
                optional --call-ms call_ms: u64
            }
        }
    }
}

fn listen_addr(listen: Option<SocketAddr>) -> SocketAddr {
    listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

async fn run(flags: flags::CicadagateStandin) -> io::Result<()> {
    match flags.subcommand {
        flags::CicadagateStandinCmd::Platform(flags) => {
            let cfg = platform::Config {
                appends_per_sec: flags.appends_per_sec.unwrap_or(500),
                append_ms: flags.append_ms.unwrap_or(2),
            };
            platform::run(listen_addr(flags.listen), cfg).await
        }
        flags::CicadagateStandinCmd::Engine(flags) => {
            let default = engine::Config::default();
            let cfg = engine::Config {
                max_streams: flags.max_streams.unwrap_or(default.max_streams),
                step_us: flags.step_us.unwrap_or(default.step_us),
                stream_us: flags.stream_us.unwrap_or(default.stream_us),
                prompt_token_us: flags.prompt_token_us.unwrap_or(default.prompt_token_us),
                cache_blocks: flags.cache_blocks.unwrap_or(default.cache_blocks),
                checks_fencing: flags.checks_fencing,
                load_lag_ms: flags.load_lag_ms.unwrap_or(default.load_lag_ms),
            };
            engine::run(listen_addr(flags.listen), cfg).await
        }
        flags::CicadagateStandinCmd::Service(flags) => {
            service::run(listen_addr(flags.listen), flags.call_ms.unwrap_or(5)).await
        }
    }
}

fn main() {
    let flags = flags::CicadagateStandin::from_env_or_exit();
    if let Err(err) = actix_rt::System::new().block_on(run(flags)) {
        eprintln!("cicadagate-standin: {err}");
        exit(1);
    }
}
