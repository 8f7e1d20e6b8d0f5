/*!
Requests of entries and operators.

A file or job is acknowledged only after its record was read back from the
log: then it is durable, and every batch process will apply it.
*/

use {
    super::Batch,
    cicadagate_node::{clock::unix_time_secs, platform::PlatformError},
    cicadagate_policy::{
        ids::{FileId, JobId, Offset, hash64},
        process::membership::Role,
        version::jobs::{Job, JobState, MAX_ITEMS, Phase, Record, may_acknowledge},
    },
    cicadagate_wire::peer::{BatchCall, BatchReply, JobStatus, OUTCOME_UNKNOWN},
};

/// Retry-after when the log is unavailable, in milliseconds.
const LOG_RETRY_MS: u64 = 2_000;

/// Returns an error reply.
pub(super) fn error_reply(code: &str, message: &str, retry_ms: u64) -> BatchReply {
    BatchReply::Error {
        code: code.to_owned(),
        message: message.to_owned(),
        retry_ms,
    }
}

/// Returns the reply for a request that failed because of the log, before it
/// appended its record or since the log refused the record.
pub(super) fn log_unavailable() -> BatchReply {
    error_reply(
        "log_unavailable",
        "the platform's log does not answer; nothing was accepted",
        LOG_RETRY_MS,
    )
}

/// Returns the reply for a request whose record was not read back in time after
/// its append.
pub(super) fn not_read_back(appended: &Result<Offset, PlatformError>) -> BatchReply {
    match appended {
        Err(err) if !err.may_have_taken_effect() => log_unavailable(),
        _ => error_reply(
            OUTCOME_UNKNOWN,
            "the log has not confirmed the request, which may still take effect; \
             send it again with the same idempotency key",
            LOG_RETRY_MS,
        ),
    }
}

fn not_found() -> BatchReply {
    error_reply("not_found", "there is no such file or job", 0)
}

impl Batch {
    /// Handles a request.
    pub async fn handle_request(&self, request: BatchCall) -> BatchReply {
        if !self.jobs.has_caught_up() {
            return error_reply(
                "starting",
                "this process has not read the jobs yet",
                LOG_RETRY_MS,
            );
        }
        match request {
            BatchCall::PutFile {
                customer,
                name,
                body,
            } => self.put_file(customer, name, body).await,
            BatchCall::GetFile { customer, file } => self.get_file(&customer, file).await,
            BatchCall::GetOutput {
                customer,
                job,
                failed,
            } => match self.find_job(&customer, job) {
                Some(state) => self.get_output(&state, failed).await,
                None => not_found(),
            },
            BatchCall::Create {
                customer,
                file,
                endpoint,
                idempotency_key,
            } => {
                self.create(customer, file, endpoint, &idempotency_key)
                    .await
            }
            BatchCall::Get { customer, job } => self
                .find_job(&customer, job)
                .map_or_else(not_found, |state| self.job_reply(&state)),
            BatchCall::List { customer } => self.list(&customer),
            BatchCall::Cancel { customer, job } => self.cancel(&customer, job).await,
        }
    }

    /// Finds a job of a customer; an empty name, which operators use, finds the
    /// jobs of all customers.
    fn find_job(&self, customer: &str, job: JobId) -> Option<JobState> {
        let state = self.jobs.state.borrow();
        let job = state.job(job)?;
        (customer.is_empty() || job.job.customer == customer).then(|| job.clone())
    }

    async fn create(
        &self,
        customer: String,
        file: FileId,
        endpoint: String,
        idempotency_key: &str,
    ) -> BatchReply {
        let input = self.jobs.state.borrow().file(file).cloned();
        let Some(input) = input.filter(|input| input.customer == customer) else {
            return not_found();
        };
        if input.lines == 0 || input.lines > MAX_ITEMS {
            return error_reply("invalid_request", "a job has 1 to 60000 items", 0);
        }
        let id = hash64(&[customer.as_bytes(), idempotency_key.as_bytes()]);
        let id = JobId::from_raw(id);
        if let Some(state) = self.find_job(&customer, id) {
            return self.reply_to_resend(&state, file, &endpoint);
        }
        let Ok(data_from) = self.data_stream(file).end().await else {
            return log_unavailable();
        };
        let created = unix_time_secs();
        let job = Job {
            id,
            customer,
            file,
            endpoint: endpoint.clone(),
            items: input.lines,
            data_from,
            created,
            keep_until: created + self.settings.keep_secs,
        };
        // If the append's response is lost, the record may still be in the log:
        // only the replicated state shows whether the job was accepted.
        let appended = self.append(&Record::Accept(job)).await;
        let is_read_back = self.wait_until(|state| may_acknowledge(state, id)).await;
        let state = self.jobs.state.borrow().job(id).cloned();
        match state {
            // Another submission with the same key may have come first.
            Some(state) if is_read_back => self.reply_to_resend(&state, file, &endpoint),
            _ => not_read_back(&appended),
        }
    }

    /// Replies to a resend with the existing job, or with an error if the
    /// idempotency key was used for another job.
    fn reply_to_resend(&self, state: &JobState, file: FileId, endpoint: &str) -> BatchReply {
        if state.job.file == file && state.job.endpoint == endpoint {
            return self.job_reply(state);
        }
        error_reply("conflict", "the idempotency key belongs to another job", 0)
    }

    async fn cancel(&self, customer: &str, job: JobId) -> BatchReply {
        let Some(state) = self.find_job(customer, job) else {
            return not_found();
        };
        if state.phase == Phase::Open {
            let appended = self.append(&Record::Cancel(job)).await;
            let ended = |state: &JobState| state.phase != Phase::Open;
            let is_read_back = self
                .wait_until(|state| state.job(job).is_some_and(ended))
                .await;
            if !is_read_back {
                return not_read_back(&appended);
            }
        }
        self.find_job(customer, job)
            .map_or_else(not_found, |state| self.job_reply(&state))
    }

    fn list(&self, customer: &str) -> BatchReply {
        let state = self.jobs.state.borrow();
        let is_visible = |job: &&JobState| customer.is_empty() || job.job.customer == customer;
        BatchReply::Jobs(
            state
                .jobs()
                .filter(is_visible)
                .map(|job| self.job_status(job))
                .collect(),
        )
    }

    fn job_reply(&self, state: &JobState) -> BatchReply {
        BatchReply::Job(Box::new(self.job_status(state)))
    }

    fn job_status(&self, state: &JobState) -> JobStatus {
        let job = &state.job;
        let (status, completed, failed) = match &state.phase {
            Phase::Open if state.claim.is_none() => ("validating", 0, 0),
            Phase::Open => ("in_progress", 0, 0),
            Phase::Cancelled => ("cancelled", 0, 0),
            Phase::Closed {
                completed, failed, ..
            } => ("completed", *completed, *failed),
        };
        JobStatus {
            id: job.id,
            customer: job.customer.clone(),
            file: job.file,
            endpoint: job.endpoint.clone(),
            state: status.to_owned(),
            items: job.items,
            completed,
            failed,
            claimant: state
                .claim
                .map(|claim| self.member_name(claim.claimant))
                .unwrap_or_default(),
            created: job.created,
            keep_until: job.keep_until,
        }
    }

    /// Returns the instance name of a batch process, or its id if it is
    /// unknown.
    fn member_name(&self, member: cicadagate_policy::ids::MemberId) -> String {
        let membership = self.node.membership.borrow();
        let name = membership
            .member(member)
            .filter(|(info, _)| info.role == Role::Batch);
        name.map_or_else(|| member.to_string(), |(info, _)| info.instance.clone())
    }
}
