//! The actor that keeps this instance in its hall's record: joins, takes out
//! silent members, leaves on a planned stop.

use super::{Id, Record};
use crate::clock;
use crate::instance::Instance;
use crate::key_value::{Entry, Expect, KeyValue, KeyValueError};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use xtra::{Context, Handler};

/// Time between looks at the ledger.
pub const TICK: Duration = Duration::from_millis(250);
/// Time between reads of the record by a sole member, whose lease they renew,
/// in milliseconds.
const SOLE_READ_MS: u64 = 1_000;
/// Time between reads by a member with siblings, in milliseconds.
const SLOW_READ_MS: u64 = 15_000;
/// Time between tries to join, in milliseconds.
const JOIN_RETRY_MS: u64 = 700;
/// Tries of one change, for lost replies and conflicts.
const CHANGE_TRIES: u32 = 8;

/// Why a change of the record failed.
#[derive(Debug, Error)]
pub enum MembershipError {
    /// The platform could not be asked.
    #[error("the membership record was not changed: {0}")]
    KeyValue(#[from] KeyValueError),
    /// The record's value is unreadable.
    #[error(
        "the membership record is unreadable ({0}); remedy: delete the key membership/HALL while no instance of the hall runs"
    )]
    Unreadable(String),
    /// Other writers came first each time.
    #[error("the membership record changed at every try; lockloft tries again by itself")]
    Contended,
    /// There is no such member or reserve.
    #[error("no instance {0:?} is held in the record; remedy: see `lockloft instances`")]
    Unknown(String),
}

/// Keeps the record.
#[derive(xtra::Actor)]
pub struct Membership {
    instance: Arc<Instance>,
    version: u64,
    read_at: u64,
    tried_at: u64,
}

/// Looks at the ledger and does what is due.
pub struct Tick;

/// Leaves the record for a planned stop; nothing is in flight any more.
pub struct Leave;

/// An operator says that a silent instance is surely gone.
pub struct Remove {
    /// Its name.
    pub name: String,
}

impl Membership {
    /// An actor for this instance's hall.
    pub fn new(instance: Arc<Instance>) -> Self {
        Self { instance, version: 0, read_at: 0, tried_at: 0 }
    }

    fn key(&self) -> String {
        format!("membership/{}", self.instance.settings.hall)
    }

    /// Reads the record; a missing one is empty.
    async fn read(&mut self) -> Result<Record, MembershipError> {
        let sent = clock::now_ms();
        let entry = self.instance.platform.get(&self.key()).await?;
        self.read_at = sent;
        let record = self.parse(entry)?;
        self.instance.adopt(record.clone());
        let mut ledger = self.instance.ledger.lock().expect("no holder panics");
        ledger.confirm_platform(record.epoch(), sent);
        drop(ledger);
        self.instance.refresh_lease();
        Ok(record)
    }

    fn parse(&mut self, entry: Option<Entry>) -> Result<Record, MembershipError> {
        let Some(entry) = entry else {
            self.version = 0;
            return Ok(Record::default());
        };
        self.version = entry.version;
        serde_json::from_slice(&entry.value).map_err(|e| MembershipError::Unreadable(e.to_string()))
    }

    /// Writes `next` over the version read last. A lost reply is resolved by
    /// the read that comes before the next try.
    async fn write(&mut self, next: &Record) -> Result<(), KeyValueError> {
        let value = Bytes::from(serde_json::to_vec(next).expect("a record is plain data"));
        let expect = match self.version {
            0 => Expect::Absent,
            version => Expect::Version(version),
        };
        let version = self.instance.platform.put(&self.key(), value, expect).await?;
        self.version = version;
        self.instance.adopt(next.clone());
        Ok(())
    }

    /// Reads, works out the change and writes it, until it holds or is not
    /// needed any more (`change` gives none).
    async fn change(
        &mut self,
        mut change: impl FnMut(&Instance, &Record) -> Option<Record>,
    ) -> Result<(), MembershipError> {
        for _ in 0..CHANGE_TRIES {
            let record = self.read().await?;
            let Some(next) = change(&self.instance, &record) else { return Ok(()) };
            match self.write(&next).await {
                Ok(()) => return Ok(()),
                Err(KeyValueError::Conflict | KeyValueError::Silent) => {}
                Err(error) => return Err(error.into()),
            }
            tokio::time::sleep(Duration::from_millis(rand::random_range(10..100))).await;
        }
        Err(MembershipError::Contended)
    }

    /// Joins; a reserve withheld from an earlier stay of this same run is
    /// released first, since this run knows that nothing of it is in use.
    async fn join(&mut self) -> Result<(), MembershipError> {
        let me = self.instance.member();
        self.change(|instance, record| {
            if record.now.seat(&instance.id).is_some() {
                return None;
            }
            let ledger = instance.ledger.lock().expect("no holder panics");
            let base = ledger.released(record, &instance.id);
            let mut joined = ledger.joined(base.as_ref().unwrap_or(record), me.clone());
            joined.now.epoch = record.epoch() + 1;
            Some(joined)
        })
        .await?;
        tracing::info!(hall = self.instance.settings.hall, "joined the hall's record");
        Ok(())
    }

    async fn step(&mut self) -> Result<(), MembershipError> {
        let now = clock::now_ms();
        let (member, sole, due, behind) = {
            let ledger = self.instance.ledger.lock().expect("no holder panics");
            (ledger.is_member(), ledger.others().is_empty(), ledger.due(now), ledger.is_behind())
        };
        if self.instance.is_leaving() {
            return Ok(());
        }
        if !member {
            let idle = self.instance.flight() == 0;
            if idle && self.instance.view.load().is_some() && now >= self.tried_at + JOIN_RETRY_MS {
                self.tried_at = now;
                return self.join().await;
            }
            return Ok(());
        }
        if let Some(next) = due {
            return self.take_out(&next).await;
        }
        let every = if sole || behind { SOLE_READ_MS } else { SLOW_READ_MS };
        if now >= self.read_at + every {
            self.read_at = now;
            self.read().await?;
        }
        Ok(())
    }

    /// Writes a change that the ledger worked out, if the record is still the
    /// one it was worked out from.
    async fn take_out(&mut self, next: &Record) -> Result<(), MembershipError> {
        let record = self.read().await?;
        if record.epoch() + 1 != next.epoch() {
            return Ok(());
        }
        self.write(next).await?;
        let withheld: Vec<String> = next.now.withheld.iter().map(|w| w.id.to_string()).collect();
        tracing::warn!(epoch = next.epoch(), ?withheld, "the hall's record was changed for a silent member");
        Ok(())
    }
}

impl Handler<Tick> for Membership {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        if let Err(error) = self.step().await {
            tracing::debug!(%error, "membership");
        }
    }
}

impl Handler<Leave> for Membership {
    type Return = Result<(), MembershipError>;

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) -> Result<(), MembershipError> {
        self.change(|instance, record| {
            record.now.seat(&instance.id)?;
            Some(instance.ledger.lock().expect("no holder panics").left())
        })
        .await
    }
}

impl Handler<Remove> for Membership {
    type Return = Result<Id, MembershipError>;

    async fn handle(&mut self, remove: Remove, _: &mut Context<Self>) -> Result<Id, MembershipError> {
        let mut removed = None;
        self.change(|instance, record| {
            let id = record.now.withheld.iter().find(|w| w.id.name == remove.name)?.id.clone();
            let next = instance.ledger.lock().expect("no holder panics").released(record, &id);
            removed = Some(id);
            next
        })
        .await?;
        removed.ok_or(MembershipError::Unknown(remove.name))
    }
}
