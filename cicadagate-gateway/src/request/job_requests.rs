/*!
Submissions of batch jobs, and requests about accepted jobs.

A job is accepted once the store has acknowledged its record in the index. On a
route with a limit of waiting tokens, the record is a request, and the job is
accepted once this process has read the record back and the index has accepted
it.
Responses about a job come from an index that was up to date at most
[`MAX_INDEX_AGE_MS`] ago; if the process can't bring it up to date, the response
is an error.

A refusal promises that no part of the job runs, so it is only given if no earlier attempt
to submit the job is known to have no outcome; see
[`unresolved_jobs`](cicadagate_policy::process::unresolved_jobs).
*/

use {
    super::{
        RequestError, Response,
        admission::{RequestContext, header_text, refuse},
        respond,
    },
    crate::{
        platform::{JobRequest, ListedResult, StoreError, SubmittedItem},
        process::{Gateway, contents, item_runner::ItemContent, unresolved_jobs},
    },
    actix_http::Request,
    actix_rt::time::sleep,
    bytes::Bytes,
    cicadagate_node::{clock::unix_time_ms, event},
    cicadagate_policy::{
        ids::{CustomerId, JobId, hash64},
        time::Time,
        version::{
            job_index::{ItemEntry, ItemState, Job, Outcome, Record, Submission, SubmissionState},
            serving::Route,
            token_limit::{self, TokenCount},
        },
    },
    std::{rc::Rc, time::Duration},
};

/// Age up to which the index counts as up to date, in milliseconds. A response
/// may miss what another instance has reported for this time, which is far
/// below the time after which callers rely on such a report.
const MAX_INDEX_AGE_MS: u64 = 400;
/// Longest wait for a result, in milliseconds.
const MAX_RESULT_WAIT_MS: u64 = 1_000;
/// Most bytes of the results in one response.
const MAX_RESULT_BYTES: usize = 900 * 1024;
/// Most items of a job.
const MAX_ITEMS: usize = 1_000;
/// Time for which a failed append is retried, in milliseconds.
const APPEND_RETRY_MS: u64 = 2_500;
/// Delay before a failed append is retried.
const APPEND_DELAY: Duration = Duration::from_millis(100);
/// `Retry-After` if the store can't be reached.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the id of a customer's job. It depends on the customer, since two
/// customers may choose the same id.
fn job_id(customer: CustomerId, id: &str) -> JobId {
    JobId::from_raw(hash64(&[&customer.raw().to_le_bytes(), id.as_bytes()]))
}

fn customer_of(context: &RequestContext) -> (CustomerId, String) {
    let customer = context.customer.as_ref();
    let name = customer.map_or("", |customer| customer.name.as_str());
    (CustomerId::of(name), name.to_owned())
}

/// Accepts a submitted job.
pub(super) async fn submit(
    gateway: &Rc<Gateway>,
    id: &str,
    context: &RequestContext,
    route: &Rc<Route>,
    body: &[u8],
) -> Response {
    let arrival = gateway.now();
    let items = match gateway.codec.submission(body) {
        Ok(items) if items.len() <= MAX_ITEMS && !items.is_empty() => items,
        Ok(items) => {
            let reason = format!("{} items", items.len());
            event!(JOB_REFUSED, job = id, reason);
            return refuse(gateway, id, RequestError::Malformed, &route.name, None);
        }
        Err(reason) => {
            event!(JOB_REFUSED, job = id, reason);
            return refuse(gateway, id, RequestError::Malformed, &route.name, None);
        }
    };
    let (customer, customer_name) = customer_of(context);
    let job = job_id(customer, id);
    if gateway.jobs.index.borrow().job(job).is_some() {
        event!(JOB_ACCEPTED, job = id, repeated = true);
        return respond(202, "application/json", "{}");
    }
    let count = items.len();
    let tokens = items.iter().map(|item| u64::from(item.tokens)).sum();
    let pending = PendingSubmission {
        id,
        job,
        customer,
        customer_name: &customer_name,
        route,
        tokens,
        arrival,
    };
    if route.max_waiting_tokens > 0
        && let Some(response) = pending.refuse_unless_it_fits(gateway).await
    {
        return response;
    }
    let entries = match store_items(gateway, job, items).await {
        Ok(entries) => entries,
        Err(err) => {
            // Without a record in the index no item of the job runs, so the
            // refusal is correct for this attempt.
            event!(JOB_REFUSED, job = id, reason: = err);
            return pending.refuse_without_store(gateway).await;
        }
    };
    let accepted_ms = unix_time_ms();
    let submission = Submission {
        job,
        customer,
        customer_name: customer_name.clone(),
        route: route.name.clone(),
        host: context.host.clone(),
        config_version: context.config.version(),
        accepted_ms,
        due_ms: accepted_ms.saturating_add(route.due_ms),
        give_up_ms: accepted_ms.saturating_add(route.give_up_ms),
        items: entries,
    };
    let outcome = if route.max_waiting_tokens > 0 {
        pending.append_limited(gateway, submission).await
    } else {
        let record = Record::Accepted(submission);
        pending.append(gateway, &record).await.without_limit()
    };
    match outcome {
        SubmissionOutcome::Accepted => {
            event!(
                JOB_ACCEPTED,
                job = id,
                items = count,
                tokens,
                customer = customer_name,
                took_ms = gateway.now().since(arrival)
            );
            respond(202, "application/json", "{}")
        }
        SubmissionOutcome::OverTokenLimit => {
            let count = pending.count(gateway);
            pending.refuse_over_limit(gateway, count).await
        }
        SubmissionOutcome::NotDone => pending.refuse_without_store(gateway).await,
        SubmissionOutcome::Unknown => {
            refuse(gateway, id, RequestError::NoAnswer, &route.name, None)
        }
    }
}

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubmissionOutcome {
    Accepted,
    OverTokenLimit,
    /// No record of the job is in the index, and none will be.
    NotDone,
    Unknown,
}

/// A job that is being submitted.
struct PendingSubmission<'a> {
    id: &'a str,
    job: JobId,
    customer: CustomerId,
    customer_name: &'a str,
    route: &'a Route,
    tokens: u64,
    arrival: Time,
}

impl PendingSubmission<'_> {
    /// Returns the customer's tokens by this process's index.
    fn count(&self, gateway: &Gateway) -> TokenCount {
        let index = gateway.jobs.index.borrow();
        index.token_count(self.customer, &self.route.name, unix_time_ms())
    }

    fn check(&self, count: TokenCount) -> token_limit::Result<()> {
        token_limit::check(count, self.tokens, self.route.max_waiting_tokens)
    }

    /// Returns a response if the job was accepted before, or if it does not fit
    /// and the index that shows this has been brought up to date.
    async fn refuse_unless_it_fits(&self, gateway: &Rc<Gateway>) -> Option<Response> {
        self.check(self.count(gateway)).err()?;
        // The index may lack finished items, or the acceptance of this job at
        // another instance.
        if let Err(err) = gateway.jobs.sync(gateway, gateway.now()).await {
            event!(JOB_REFUSED, job = self.id, reason: = err);
            return Some(self.refuse_without_store(gateway).await);
        }
        if gateway.jobs.index.borrow().job(self.job).is_some() {
            event!(JOB_ACCEPTED, job = self.id, repeated = true);
            return Some(respond(202, "application/json", "{}"));
        }
        let count = self.count(gateway);
        self.check(count).err()?;
        Some(self.refuse_over_limit(gateway, count).await)
    }

    async fn refuse_without_store(&self, gateway: &Rc<Gateway>) -> Response {
        let error = RequestError::StoreUnavailable;
        self.refuse(gateway, error, RETRY_AFTER).await
    }

    /// Refuses this attempt, or says that the outcome is unknown if that of an earlier one is.
    async fn refuse(
        &self,
        gateway: &Rc<Gateway>,
        error: RequestError,
        retry_after: Duration,
    ) -> Response {
        let route = &self.route.name;
        if unresolved_jobs::is_unresolved(gateway, self.job).await {
            let reason = "an earlier attempt has no outcome";
            event!(JOB_REFUSED, job = self.id, reason);
            return refuse(gateway, self.id, RequestError::NoAnswer, route, None);
        }
        refuse(gateway, self.id, error, route, Some(retry_after))
    }

    /// Appends a record of the submission, with retries, and tells other gateways if that
    /// has no outcome.
    async fn append(&self, gateway: &Rc<Gateway>, record: &Record) -> AppendOutcome {
        let note_unresolved = || gateway.note_unresolved_job(self.job);
        append_with_retries(gateway, self.arrival, record, note_unresolved).await
    }

    async fn refuse_over_limit(&self, gateway: &Rc<Gateway>, count: TokenCount) -> Response {
        // The index may have room again since it refused the job.
        let retry_after_ms = self
            .check(count)
            .map_or_else(|over| over.retry_after_ms, |()| token_limit::MIN_RETRY_MS);
        event!(
            JOB_OVER_LIMIT,
            job = self.id,
            customer = self.customer_name,
            route = self.route.name.as_str(),
            tokens = self.tokens,
            waiting = count.waiting,
            limit = self.route.max_waiting_tokens,
            index_age_ms = gateway.jobs.age_ms(gateway.now()).unwrap_or_default(),
            retry_after_ms
        );
        let delay = Duration::from_millis(retry_after_ms);
        self.refuse(gateway, RequestError::TooManyTokens, delay)
            .await
    }

    /// Appends a submission to a limited route, and reads back whether the
    /// index accepted it.
    async fn append_limited(
        &self,
        gateway: &Rc<Gateway>,
        submission: Submission,
    ) -> SubmissionOutcome {
        let attempt = gateway.next_random();
        let record = Record::Submitted {
            submission,
            attempt,
            token_limit: self.route.max_waiting_tokens,
        };
        let outcome = self.append(gateway, &record).await;
        if outcome == AppendOutcome::NotDone {
            return SubmissionOutcome::NotDone;
        }
        let appended = gateway.now();
        loop {
            let now = gateway.now();
            if gateway.jobs.sync(gateway, now).await.is_ok() {
                let index = gateway.jobs.index.borrow();
                return match index.submission_state(self.job, attempt) {
                    SubmissionState::Accepted => SubmissionOutcome::Accepted,
                    SubmissionState::Refused => SubmissionOutcome::OverTokenLimit,
                    // The record may still be appended.
                    SubmissionState::Unknown => SubmissionOutcome::Unknown,
                };
            }
            if now.since(appended) >= APPEND_RETRY_MS {
                return SubmissionOutcome::Unknown;
            }
            sleep(APPEND_DELAY).await;
        }
    }
}

/// Refuses a request that needs the store while it can't be reached.
fn refuse_without_store(gateway: &Rc<Gateway>, id: &str, route: &str) -> Response {
    let error = RequestError::StoreUnavailable;
    refuse(gateway, id, error, route, Some(RETRY_AFTER))
}

async fn store_items(
    gateway: &Rc<Gateway>,
    job: JobId,
    items: Vec<SubmittedItem>,
) -> Result<Vec<ItemEntry>, StoreError> {
    let mut ids_and_tokens = Vec::with_capacity(items.len());
    let mut contents = Vec::with_capacity(items.len());
    for item in items {
        ids_and_tokens.push((item.id, item.tokens));
        let content = ItemContent {
            path: item.path,
            headers: item.headers,
            body: item.body,
        };
        let content = postcard::to_stdvec(&content).map_err(|err| StoreError::NotDone {
            reason: err.to_string(),
        })?;
        contents.push(Bytes::from(content));
    }
    let part = u32::try_from(job.raw() >> 40).unwrap_or_default();
    let locations = contents::write(gateway, part, &contents).await?;
    let entries = ids_and_tokens.into_iter().zip(locations);
    Ok(entries
        .map(|((id, tokens), content)| ItemEntry {
            id,
            tokens,
            content,
        })
        .collect())
}

/// What is known about the outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendOutcome {
    Done,
    NotDone,
    Unknown,
}

impl AppendOutcome {
    /// Returns the outcome of a submission that needs no decision of the index.
    const fn without_limit(self) -> SubmissionOutcome {
        match self {
            Self::Done => SubmissionOutcome::Accepted,
            Self::NotDone => SubmissionOutcome::NotDone,
            Self::Unknown => SubmissionOutcome::Unknown,
        }
    }
}

/// Appends a record, with retries for [`APPEND_RETRY_MS`]. A record that is
/// appended twice counts once. `on_unknown` is called if an attempt at it may or may not
/// have been carried out.
async fn append_with_retries(
    gateway: &Rc<Gateway>,
    since: Time,
    record: &Record,
    on_unknown: impl Fn(),
) -> AppendOutcome {
    let mut failure: Option<StoreError> = None;
    loop {
        let Err(err) = gateway.jobs.append(gateway, record).await else {
            return AppendOutcome::Done;
        };
        if !err.is_not_done() {
            on_unknown();
        }
        let joined = match failure.take() {
            Some(earlier) => earlier.join(err),
            None => err,
        };
        if gateway.now().since(since) >= APPEND_RETRY_MS {
            return if joined.is_not_done() {
                AppendOutcome::NotDone
            } else {
                AppendOutcome::Unknown
            };
        }
        failure = Some(joined);
        sleep(APPEND_DELAY).await;
    }
}

/// Serves a request about an accepted job.
pub(super) async fn serve(
    gateway: &Rc<Gateway>,
    req: &Request,
    context: &RequestContext,
    job_request: JobRequest,
) -> Response {
    let (customer, _) = customer_of(context);
    match job_request {
        JobRequest::Results { job, from } => {
            let wait = header_text(req, &gateway.codec.headers().wait_ms);
            let wait_ms = wait.parse().unwrap_or(0).min(MAX_RESULT_WAIT_MS);
            serve_results(gateway, &job, job_id(customer, &job), from, wait_ms).await
        }
        JobRequest::ItemBody { job, item } => {
            serve_item_body(gateway, &job, job_id(customer, &job), &item).await
        }
        JobRequest::Cancel { job } => serve_cancel(gateway, &job, job_id(customer, &job)).await,
    }
}

/// Ensures that the index is up to date and has the job.
async fn ensure_fresh(gateway: &Rc<Gateway>, id: &str, job: JobId) -> Result<(), Response> {
    let now = gateway.now();
    let is_known = gateway.jobs.index.borrow().job(job).is_some();
    if is_known && gateway.jobs.is_fresh(now, MAX_INDEX_AGE_MS) {
        return Ok(());
    }
    if let Err(err) = gateway.jobs.sync(gateway, now).await {
        event!(JOB_CALL_FAILED, job = id, reason: = err);
        return Err(refuse_without_store(gateway, id, ""));
    }
    if gateway.jobs.index.borrow().job(job).is_none() {
        return Err(refuse(gateway, id, RequestError::JobNotFound, "", None));
    }
    Ok(())
}

async fn serve_results(
    gateway: &Rc<Gateway>,
    id: &str,
    job: JobId,
    from: usize,
    wait_ms: u64,
) -> Response {
    if let Err(res) = ensure_fresh(gateway, id, job).await {
        return res;
    }
    let until = gateway.now().plus(wait_ms);
    loop {
        // The process may be told to stop meanwhile.
        let until = gateway.respond_until(until);
        let (has_more, is_open) = {
            let index = gateway.jobs.index.borrow();
            let state = index.job(job);
            (
                state.is_some_and(|state| state.finished_items().len() > from),
                state.is_some_and(Job::is_open),
            )
        };
        let now = gateway.now();
        if has_more || !is_open || now >= until {
            break;
        }
        let left = Duration::from_millis(until.since(now));
        gateway.jobs.wait_for_change(left).await;
    }
    // A result that another instance added meanwhile must not be missing.
    if let Err(res) = ensure_fresh(gateway, id, job).await {
        return res;
    }
    match results_page(gateway, job, from).await {
        Ok(body) => respond(200, "application/json", body),
        Err(err) => {
            event!(JOB_CALL_FAILED, job = id, reason: = err);
            refuse_without_store(gateway, id, "")
        }
    }
}

async fn results_page(gateway: &Rc<Gateway>, job: JobId, from: usize) -> Result<Bytes, StoreError> {
    let (total, finished) = finished_outcomes(gateway, job, from);
    let mut results = Vec::new();
    let mut bytes = 0;
    for (id, outcome) in finished {
        let output = match outcome {
            Outcome::Done(location) => {
                bytes += location.bytes as usize;
                if bytes > MAX_RESULT_BYTES && !results.is_empty() {
                    break;
                }
                Some(contents::read(gateway, location).await?)
            }
            Outcome::Abandoned => None,
        };
        results.push(ListedResult { id, output });
    }
    let next = from + results.len();
    Ok(gateway.codec.results(total, next, &results))
}

fn finished_outcomes(
    gateway: &Gateway,
    job: JobId,
    from: usize,
) -> (usize, Vec<(String, Outcome)>) {
    let index = gateway.jobs.index.borrow();
    let Some(job) = index.job(job) else {
        return (0, Vec::new());
    };
    let finished = job.finished_items().iter().skip(from).filter_map(|index| {
        let entry = job.item(*index)?;
        match job.state(*index)? {
            ItemState::Finished(outcome) => Some((entry.id.clone(), outcome)),
            ItemState::Open(_) => None,
        }
    });
    (job.total(), finished.collect())
}

async fn serve_item_body(gateway: &Rc<Gateway>, id: &str, job: JobId, item: &str) -> Response {
    if let Err(res) = ensure_fresh(gateway, id, job).await {
        return res;
    }
    let location = {
        let index = gateway.jobs.index.borrow();
        let state = index.job(job).filter(|state| !state.is_ended());
        state.and_then(|state| {
            let at = state.item_by_id(item)?;
            let is_open = matches!(state.state(at), Some(ItemState::Open(_)));
            state
                .item(at)
                .filter(|_| is_open)
                .map(|entry| entry.content)
        })
    };
    let Some(location) = location else {
        return refuse(gateway, id, RequestError::JobNotFound, "", None);
    };
    let content = contents::read(gateway, location).await;
    let decoded = content
        .map_err(|err| err.to_string())
        .and_then(|content| ItemContent::decode(&content));
    match decoded {
        Ok(content) => respond(200, "application/octet-stream", content.body),
        Err(reason) => {
            event!(JOB_CALL_FAILED, job = id, reason);
            refuse_without_store(gateway, id, "")
        }
    }
}

async fn serve_cancel(gateway: &Rc<Gateway>, id: &str, job: JobId) -> Response {
    if let Err(res) = ensure_fresh(gateway, id, job).await {
        return res;
    }
    let is_ended = {
        let index = gateway.jobs.index.borrow();
        index.job(job).is_some_and(Job::is_ended)
    };
    if is_ended {
        return respond(200, "application/json", "{}");
    }
    let since = gateway.now();
    match append_with_retries(gateway, since, &Record::Ended { job }, || ()).await {
        AppendOutcome::Done => {
            event!(
                JOB_CANCELLED,
                job = id,
                took_ms = gateway.now().since(since)
            );
            respond(200, "application/json", "{}")
        }
        AppendOutcome::NotDone => refuse_without_store(gateway, id, ""),
        AppendOutcome::Unknown => refuse(gateway, id, RequestError::NoAnswer, "", None),
    }
}
