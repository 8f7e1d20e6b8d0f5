/*!
Applying a change to the configuration.

The record is appended once, and its verdict is then looked up by request id in
the replicated state. If the response to the append is lost, the record is not
appended again: the lookup shows whether it arrived. The verdict is the one
that every reader of the log reaches.
*/

use {
    super::{Result, convert},
    crate::process::{OperatorApi, replicate_to_witnesses},
    cicadagate_node::{event, platform::log::encode, process::CONFIG_STREAM, trace::random_bytes},
    cicadagate_policy::{
        ids::{Offset, RequestId},
        version::config::{Change, Key, Object, ObjectKey, Record, Rejection, Verdict, object_key},
    },
    cicadagate_wire::{
        key::encode_hex,
        rpc::{self, ApplyRequest, ApplyResponse, change::Change as RpcChange},
    },
    std::time::Duration,
    tonic::Status,
};

/// Maximum time to read the appended record back from the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(6);

impl OperatorApi {
    pub(super) async fn apply(&self, req: ApplyRequest) -> Result<ApplyResponse> {
        let change = req.change.and_then(|change| change.change);
        let change = change.ok_or_else(|| Status::invalid_argument("the change is missing"))?;
        let id = request_id(&req.request_id)?;
        let (change, secret) = match change {
            RpcChange::CreateKey(key) => self.create_key(key, &id)?,
            other => (convert::change(other)?, String::new()),
        };
        let object = object_key(&change);
        let object_version = object.map_or(Offset::NONE, |key| {
            self.node.config.borrow().object_version(&key)
        });
        let based_on = if req.force {
            object_version
        } else {
            Offset(req.based_on)
        };
        let record = Record {
            id,
            based_on,
            change,
        };
        if req.dry_run {
            self.node
                .config
                .borrow()
                .check(&record)
                .map_err(|rejection| rejection_status(&rejection))?;
            return Ok(ApplyResponse::default());
        }
        if let Change::WithdrawKey(key) = &record.change {
            self.gossip_withdrawal(key, record.based_on)?;
        }
        let result = self.append_and_read_back(&record).await;
        let result = match (&record.change, result) {
            (Change::WithdrawKey(key), Err(status))
                if status.code() == tonic::Code::Unavailable =>
            {
                self.withdraw_without_log(key, status).await
            }
            (Change::WithdrawKey(_), Ok(version)) => {
                // Processes that can't reach the log learn of the withdrawal
                // from witnesses.
                let peers_pending = !replicate_to_witnesses(&self.node).await;
                Ok(ApplyResponse {
                    version: version.0,
                    peers_pending,
                    ..ApplyResponse::default()
                })
            }
            (_, result) => result.map(|version| ApplyResponse {
                version: version.0,
                ..ApplyResponse::default()
            }),
        };
        event!(CHANGE_DECIDED, id: = id, accepted = result.is_ok());
        let response = result?;
        if let Change::PutKey(key) = &record.change
            && !self.is_secret_of(key)
        {
            // An earlier request with the same id decided, with another secret.
            return Err(Status::already_exists(format!(
                "key '{}' was created before, and its secret is not kept; \
                 withdraw it and create another one",
                key.id
            )));
        }
        Ok(ApplyResponse { secret, ..response })
    }

    /// Returns whether the secret of a created key is the one in the
    /// configuration.
    fn is_secret_of(&self, created: &Key) -> bool {
        let config = self.node.config.borrow();
        let object_key = ObjectKey::Key(created.id.clone());
        config.objects().any(|(key, object)| {
            *key == object_key
                && matches!(
                    &object.value,
                    Object::Key(key) | Object::WithdrawnKey(key) if key.hash == created.hash
                )
        })
    }

    fn create_key(&self, key: rpc::Key, id: &RequestId) -> Result<(Change, String)> {
        let mut secret = [0; 24];
        random_bytes(&mut secret).ok_or_else(|| Status::unavailable("no randomness"))?;
        let secret = format!("cg-{}", encode_hex(&secret));
        let key_id = if key.id.is_empty() {
            format!("key-{}", &id.to_string()[..12])
        } else {
            key.id
        };
        let hash = self.node.key.hash_api_key(&secret);
        let key = Key {
            id: key_id,
            customer: key.customer,
            hash,
        };
        Ok((Change::PutKey(key), secret))
    }

    /// Gossips a withdrawal to peers before it is in the log.
    fn gossip_withdrawal(&self, id: &str, based_on: Offset) -> Result<()> {
        let config = self.node.config.borrow();
        let key = ObjectKey::Key(id.to_owned());
        let object = config
            .objects()
            .find(|(other, _)| **other == key)
            .map(|(_, object)| object);
        match object.map(|object| (&object.value, object.version)) {
            Some((Object::Key(key) | Object::WithdrawnKey(key), now_at)) => {
                // A gossiped withdrawal can't be undone, so it must be one
                // that the log's readers would accept.
                if now_at != based_on {
                    return Err(rejection_status(&Rejection::Conflict { now_at }));
                }
                self.node
                    .membership
                    .borrow_mut()
                    .gossip_withdrawn_key(key.hash);
                Ok(())
            }
            _ => Err(rejection_status(&Rejection::Missing)),
        }
    }

    /// Completes a withdrawal while the log is unreachable: it succeeds if a
    /// majority of the witnesses has it. In either case it is appended once the
    /// log is reachable.
    async fn withdraw_without_log(&self, id: &str, status: Status) -> Result<ApplyResponse> {
        self.withdrawals.add(id);
        if !replicate_to_witnesses(&self.node).await {
            return Err(status);
        }
        Ok(ApplyResponse {
            log_pending: true,
            ..ApplyResponse::default()
        })
    }

    async fn append_and_read_back(&self, record: &Record) -> Result<Offset> {
        let check = self.node.config.borrow().check(record);
        let earlier_verdict = self.node.config.borrow().verdict(record.id).cloned();
        match (earlier_verdict, check) {
            (Some(verdict), _) => return verdict_result(&verdict),
            (None, Err(rejection)) => return Err(rejection_status(&rejection)),
            (None, Ok(())) => {}
        }
        let body = encode(record).map_err(|err| Status::internal(err.to_string()))?;
        let appended = self.node.log.append(CONFIG_STREAM.to_owned(), body).await;
        if let Err(err) = &appended {
            event!(APPEND_FAILED, stream = CONFIG_STREAM, reason: = err);
        }
        match self.wait_for_verdict(record.id).await {
            Some(verdict) => verdict_result(&verdict),
            None => Err(Status::unavailable(format!(
                "the log does not answer; the change may take effect later; \
                 ask again with request id {}",
                record.id
            ))),
        }
    }

    async fn wait_for_verdict(&self, id: RequestId) -> Option<Verdict> {
        let mut changes = self.node.subscribe_config();
        let waiting = async {
            loop {
                let verdict = self.node.config.borrow().verdict(id).cloned();
                if verdict.is_some() {
                    return verdict;
                }
                changes.changed().await.ok()?;
            }
        };
        actix_rt::time::timeout(READ_BACK_TIMEOUT, waiting)
            .await
            .ok()?
    }
}

fn request_id(text: &str) -> Result<RequestId> {
    if text.is_empty() {
        let mut id = RequestId::default();
        random_bytes(&mut id.0).ok_or_else(|| Status::unavailable("no randomness"))?;
        return Ok(id);
    }
    if text.len() > 256 {
        return Err(Status::invalid_argument(
            "a request id has at most 256 bytes",
        ));
    }
    let bytes = cicadagate_wire::key::decode_hex(text).and_then(|bytes| bytes.try_into().ok());
    // Either the hexadecimal form that this process prints, or any other text
    // chosen by the operator, which is hashed.
    Ok(bytes.map_or_else(|| RequestId::of(text), RequestId))
}

fn verdict_result(verdict: &Verdict) -> Result<Offset> {
    match verdict {
        Verdict::Accepted(version) => Ok(*version),
        Verdict::Repeated(first) => verdict_result(first),
        Verdict::Rejected(rejection) => Err(rejection_status(rejection)),
    }
}

fn rejection_status(rejection: &Rejection) -> Status {
    match rejection {
        Rejection::Conflict { now_at } => {
            Status::failed_precondition(format!("conflict: the object is now at version {now_at}"))
        }
        Rejection::Missing => Status::not_found("there is no such object"),
        Rejection::Invalid(reason) => Status::invalid_argument(reason.clone()),
    }
}
