/*!
The specification of a fleet.
*/

use {
    serde_json::{Value, json},
    std::{
        env,
        path::PathBuf,
        process,
        sync::atomic::{AtomicU32, Ordering},
    },
};

/// Number of fleets of this process, to give each its own directory.
static RUN_COUNT: AtomicU32 = AtomicU32::new(0);

/// Specification of a stand-in for a model engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name.
    pub name: String,
    /// Deployment.
    pub deployment: String,
    /// Data centre.
    pub data_centre: String,
    /// Maximum number of running streams.
    pub max_streams: usize,
    /// Version of the software, as listed.
    pub software_version: String,
    /// Additional command-line arguments.
    pub args: Vec<String>,
}

/// Specification of a stand-in for a plain service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Deployment.
    pub deployment: String,
    /// Data centre.
    pub data_centre: String,
}

/// Specification of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Directory that contains the binaries.
    pub bin_dir: PathBuf,
    /// Name of the run, used for its directory.
    pub run: String,
    /// Number of cicadagate instances.
    pub instances: usize,
    /// Data centres, assigned to the instances in turn.
    pub data_centres: Vec<String>,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Time for which callers keep addresses, in milliseconds.
    pub keep_address_ms: u64,
    /// Settings of the entry role.
    pub entry: Value,
    /// Settings of the dispatch role.
    pub dispatch: Value,
    /// Settings of the batch role.
    pub batch: Value,
}

impl FleetSpec {
    /// Creates a fleet without endpoints, whose binaries are in the directory
    /// of the current one.
    #[must_use]
    pub fn new(run: &str, instances: usize, data_centres: &[&str]) -> Self {
        Self {
            bin_dir: default_bin_dir(),
            run: run.to_owned(),
            instances,
            data_centres: data_centres.iter().map(|&name| name.to_owned()).collect(),
            engines: Vec::new(),
            services: Vec::new(),
            keep_address_ms: 1_000,
            entry: Value::Null,
            dispatch: Value::Null,
            batch: json!({"flush_ms": 50}),
        }
    }

    /// Adds engines of a deployment, assigned to the data centres in turn.
    #[must_use]
    pub fn engines(
        mut self,
        deployment: &str,
        count: usize,
        max_streams: usize,
        args: &[&str],
    ) -> Self {
        for index in 0..count {
            let data_centre = self.data_centres[index % self.data_centres.len()].clone();
            self.engines.push(EngineSpec {
                name: format!("{deployment}-{}", index + 1),
                deployment: deployment.to_owned(),
                data_centre,
                max_streams,
                software_version: "v1".to_owned(),
                args: args.iter().map(|&arg| arg.to_owned()).collect(),
            });
        }
        self
    }

    /// Adds services of a deployment, assigned to the data centres in turn.
    #[must_use]
    pub fn services(mut self, deployment: &str, count: usize) -> Self {
        for index in 0..count {
            let data_centre = self.data_centres[index % self.data_centres.len()].clone();
            self.services.push(ServiceSpec {
                name: format!("{deployment}-{}", index + 1),
                deployment: deployment.to_owned(),
                data_centre,
            });
        }
        self
    }

    pub(super) fn data_centre_of(&self, instance: &str) -> &str {
        let index: usize = instance.trim_start_matches('i').parse().unwrap_or(1);
        &self.data_centres[(index - 1) % self.data_centres.len()]
    }

    pub(super) fn run_dir(&self) -> PathBuf {
        let number = RUN_COUNT.fetch_add(1, Ordering::Relaxed);
        let target = self
            .bin_dir
            .parent()
            .map_or_else(env::temp_dir, PathBuf::from);
        target
            .join("lab")
            .join(format!("{}-{}-{number}", self.run, process::id()))
    }
}

/// Returns the directory of the current binary, or its parent for a test
/// binary.
fn default_bin_dir() -> PathBuf {
    let exe = env::current_exe().unwrap_or_default();
    let dir = exe.parent().map(PathBuf::from).unwrap_or_default();
    if dir.ends_with("deps") {
        dir.parent().map(PathBuf::from).unwrap_or(dir)
    } else {
        dir
    }
}
