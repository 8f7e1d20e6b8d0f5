/*!
Calls of entries and operators.

A file or job is acknowledged only after its record was read back from the
log: then it is durable, and every batch process knows it.
*/

use {
    super::Batch,
    cicadagate_node::clock::epoch_secs,
    cicadagate_policy::{
        ids::{FileId, JobId, hash64},
        process::membership::Role,
        version::jobs::{Job, JobState, MAX_ITEMS, Phase, Record, may_acknowledge},
    },
    cicadagate_wire::peer::{BatchCall, BatchReply, JobView},
};

/// Retry-after when the log does not answer, in milliseconds.
const LOG_RETRY_MS: u64 = 2_000;

pub(super) fn error(code: &str, message: &str, retry_ms: u64) -> BatchReply {
    BatchReply::Error {
        code: code.to_owned(),
        message: message.to_owned(),
        retry_ms,
    }
}

pub(super) fn log_down() -> BatchReply {
    error(
        "log_unavailable",
        "the platform's log does not answer; nothing was accepted",
        LOG_RETRY_MS,
    )
}

fn not_found() -> BatchReply {
    error("not_found", "there is no such file or job", 0)
}

impl Batch {
    /// Answers a call.
    pub async fn answer(&self, call: BatchCall) -> BatchReply {
        if !self.jobs.is_current() {
            return error(
                "starting",
                "this process has not read the jobs yet",
                LOG_RETRY_MS,
            );
        }
        match call {
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
            } => match self.owned(&customer, job) {
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
                .owned(&customer, job)
                .map_or_else(not_found, |state| self.show(&state)),
            BatchCall::List { customer } => self.list(&customer),
            BatchCall::Cancel { customer, job } => self.cancel(&customer, job).await,
        }
    }

    /// Finds a job that a customer owns; operators, with no name, own all.
    fn owned(&self, customer: &str, job: JobId) -> Option<JobState> {
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
            return error("invalid_request", "a job has 1 to 60000 items", 0);
        }
        let id = hash64(&[customer.as_bytes(), idempotency_key.as_bytes()]);
        let id = JobId::from_raw(id);
        if let Some(state) = self.owned(&customer, id) {
            return self.show_resent(&state, file, &endpoint);
        }
        let Ok(data_from) = self.data(file).end().await else {
            return log_down();
        };
        let created = epoch_secs();
        let job = Job {
            id,
            customer,
            file,
            endpoint,
            items: input.lines,
            data_from,
            created,
            keep_until: created + self.settings.keep_secs,
        };
        // An append whose answer is lost may have been accepted all the same:
        // only the fold tells.
        let appended = self.append(&Record::Accept(job)).await;
        let is_known = self.wait_for(|state| may_acknowledge(state, id)).await;
        let state = self.jobs.state.borrow().job(id).cloned();
        match state {
            Some(state) if is_known => self.show(&state),
            _ if appended.is_ok() => error(
                "log_unavailable",
                "the job is not read back yet; send it again",
                LOG_RETRY_MS,
            ),
            _ => log_down(),
        }
    }

    /// A resend meets the same job; the same key for another job is refused.
    fn show_resent(&self, state: &JobState, file: FileId, endpoint: &str) -> BatchReply {
        if state.job.file == file && state.job.endpoint == endpoint {
            return self.show(state);
        }
        error("conflict", "the idempotency key belongs to another job", 0)
    }

    async fn cancel(&self, customer: &str, job: JobId) -> BatchReply {
        let Some(state) = self.owned(customer, job) else {
            return not_found();
        };
        if state.phase == Phase::Open {
            let appended = self.append(&Record::Cancel(job)).await;
            let ended = |state: &JobState| state.phase != Phase::Open;
            let is_known = self
                .wait_for(|state| state.job(job).is_some_and(ended))
                .await;
            if appended.is_err() && !is_known {
                return log_down();
            }
        }
        self.owned(customer, job)
            .map_or_else(not_found, |state| self.show(&state))
    }

    fn list(&self, customer: &str) -> BatchReply {
        let state = self.jobs.state.borrow();
        let owned = |job: &&JobState| customer.is_empty() || job.job.customer == customer;
        BatchReply::Jobs(
            state
                .jobs()
                .filter(owned)
                .map(|job| self.view(job))
                .collect(),
        )
    }

    fn show(&self, state: &JobState) -> BatchReply {
        BatchReply::Job(Box::new(self.view(state)))
    }

    fn view(&self, state: &JobState) -> JobView {
        let job = &state.job;
        let (name, completed, failed) = match &state.phase {
            Phase::Open if state.claim.is_none() => ("validating", 0, 0),
            Phase::Open => ("in_progress", 0, 0),
            Phase::Cancelled => ("cancelled", 0, 0),
            Phase::Closed {
                completed, failed, ..
            } => ("completed", *completed, *failed),
        };
        JobView {
            id: job.id,
            customer: job.customer.clone(),
            file: job.file,
            endpoint: job.endpoint.clone(),
            state: name.to_owned(),
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

    fn member_name(&self, member: cicadagate_policy::ids::MemberId) -> String {
        let membership = self.node.membership.borrow();
        let name = membership
            .member(member)
            .filter(|(info, _)| info.role == Role::Batch);
        name.map_or_else(|| member.to_string(), |(info, _)| info.instance.clone())
    }
}
