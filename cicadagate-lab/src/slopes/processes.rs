/*!
Resource use of idle processes in small fleets.
*/

use {
    super::{Slope, to_f64},
    crate::fleet::{Fleet, FleetError, FleetSpec},
    std::{
        fs,
        time::{Duration, Instant},
    },
};

/// Measures CPU time, memory and control traffic of idle processes.
///
/// # Errors
///
/// Returns an error if a fleet can't be started.
pub(super) async fn measure() -> Result<Vec<Slope>, FleetError> {
    let roles = ["entry", "dispatch", "batch", "operator"];
    let mut cpu: Vec<Vec<(f64, f64)>> = vec![Vec::new(); roles.len()];
    let mut memory = cpu.clone();
    let mut bytes = cpu.clone();
    for instances in [3, 6, 12] {
        let fleet = Fleet::start(FleetSpec::new("slopes", instances, &["a", "b", "c"])).await?;
        actix_rt::time::sleep(Duration::from_secs(10)).await;
        for (index, role) in roles.iter().enumerate() {
            let name = format!("i2-{role}");
            let pid = fleet.pid(&name)?;
            let before = (cpu_ms(pid), sent_control_bytes(&fleet, &name).await?);
            let start = Instant::now();
            actix_rt::time::sleep(Duration::from_secs(10)).await;
            let after = (cpu_ms(pid), sent_control_bytes(&fleet, &name).await?);
            let seconds = start.elapsed().as_secs_f64();
            let members = to_f64(instances * roles.len());
            cpu[index].push((members, (after.0 - before.0) / seconds / 10.0));
            bytes[index].push((members, (after.1 - before.1) / seconds));
            memory[index].push((members, resident_kib(pid) / 1024.0));
        }
    }
    let mut slopes = Vec::new();
    let names = [
        [
            "idle entry, CPU",
            "idle dispatch, CPU",
            "idle batch, CPU",
            "idle operator, CPU",
        ],
        [
            "idle entry, memory",
            "idle dispatch, memory",
            "idle batch, memory",
            "idle operator, memory",
        ],
        [
            "idle entry, control sent",
            "idle dispatch, control sent",
            "idle batch, control sent",
            "idle operator, control sent",
        ],
    ];
    for (kind, (values, unit)) in [(cpu, "% of a core"), (memory, "MiB"), (bytes, "bytes/s")]
        .into_iter()
        .enumerate()
    {
        for (index, points) in values.into_iter().enumerate() {
            slopes.push(Slope {
                name: names[kind][index],
                unit,
                per: "member",
                points,
            });
        }
    }
    Ok(slopes)
}

/// Returns the CPU time of a process's main thread, in milliseconds.
fn cpu_ms(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    let nanos = stat
        .split_whitespace()
        .next()
        .and_then(|field| field.parse::<f64>().ok());
    nanos.unwrap_or(0.0) / 1e6
}

/// Returns the resident memory of a process, in KiB.
pub(super) fn resident_kib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse().ok()).unwrap_or(0.0)
}

/// Returns the bytes that a process has sent to other processes, as datagrams
/// and on peer connections.
async fn sent_control_bytes(fleet: &Fleet, name: &str) -> Result<f64, FleetError> {
    let page = fleet.fetch(name, "operations", "/metrics").await?;
    let text = page.as_str().unwrap_or_default();
    let sent = text
        .lines()
        .filter(|line| line.contains("direction=\"sent\""));
    Ok(sent
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum())
}
