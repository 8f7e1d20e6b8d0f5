/*!
Command line and logging shared by the deployed binaries.
*/

use {
    crate::{
        event,
        process::{Node, Started},
        settings::{NodeSettings, Validate, load},
    },
    cicadagate_policy::process::membership::Role,
    serde::de::DeserializeOwned,
    spdlog::{Level, LevelFilter, Logger, formatter::JsonFormatter, sink::StdStreamSink},
    std::{process::exit, sync::Arc},
};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// A process of cicadagate.
        cmd cicadagate {
            /// Settings file: JSON with comments.
            optional settings: PathBuf
            /// Check the settings and exit.
            optional --check
            /// Print the version and exit.
            optional --version
            /// Log debug messages too.
            optional --verbose
        }
    }
}

/// Exit code for an invalid command line or invalid settings, and for a node
/// that can't start.
pub const EXIT_USAGE: i32 = 2;

/// Parses the command line of a deployed binary, loads its settings and starts
/// logging.
///
/// If the command line or the settings are invalid, prints the reason and exits
/// with [`EXIT_USAGE`]. Exits with 0 after `--help`, `--check` or `--version`.
#[must_use]
pub fn settings_or_exit<T: DeserializeOwned + Validate>(name: &str) -> T {
    let flags = match flags::Cicadagate::from_env() {
        Ok(flags) => flags,
        Err(err) if err.is_help() => {
            println!("{name}: {err}");
            exit(0);
        }
        Err(err) => fail(name, &err.to_string()),
    };
    if flags.version {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        exit(0);
    }
    let Some(path) = flags.settings else {
        fail(name, "a settings file is needed; see --help");
    };
    let settings = match load(&path) {
        Ok(settings) => settings,
        Err(err) => fail(name, &err.to_string()),
    };
    if flags.check {
        println!("{}: settings are fine", path.display());
        exit(0);
    }
    start_logging(flags.verbose);
    settings
}

fn fail(name: &str, reason: &str) -> ! {
    eprintln!("{name}: {reason}");
    exit(EXIT_USAGE);
}

/// Starts the node of a deployed binary, or exits with [`EXIT_USAGE`] if that
/// fails.
pub async fn start_or_exit(role: Role, settings: NodeSettings) -> Started {
    match Node::start(role, settings).await {
        Ok(started) => started,
        Err(err) => {
            event!(BIND_FAILED, reason: = err);
            exit(EXIT_USAGE);
        }
    }
}

/// Directs log records to standard error, one JSON object a line.
pub fn start_logging(verbose: bool) {
    let min_level = if verbose { Level::Debug } else { Level::Info };
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(JsonFormatter::new())
        .level_filter(LevelFilter::MoreSevereEqual(min_level))
        .build();
    let Ok(sink) = sink else {
        return;
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(min_level))
        .flush_level_filter(LevelFilter::All)
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}
