/*!
A child process.
*/

use {
    rustix::process::{Pid, Signal, kill_process},
    serde_json::Value,
    std::{
        fs::File,
        io::{self, BufRead, BufReader},
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        thread,
    },
};

/// A child process and its bound addresses.
pub(super) struct Process {
    child: Child,
    /// The bound addresses that the process has printed.
    pub bound: Value,
}

impl Process {
    /// Starts a process and waits until it has printed its bound addresses.
    pub fn start(binary: &Path, args: &[String], log: &Path) -> io::Result<Self> {
        let mut child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(log)?)
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("standard output is not piped"))?;
        let mut lines = BufReader::new(stdout);
        let mut line = String::new();
        lines.read_line(&mut line)?;
        let bound_line: Value = serde_json::from_str(&line).map_err(|_| {
            io::Error::other(format!(
                "process printed no addresses; see {}",
                log.display()
            ))
        })?;
        // Drains the pipe, so that the process never blocks on a full one.
        thread::spawn(move || io::copy(&mut lines, &mut io::sink()));
        Ok(Self {
            child,
            bound: bound_line["bound"].clone(),
        })
    }

    fn signal(&self, signal: Signal) {
        // Fails if the process has already ended.
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub fn kill(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
