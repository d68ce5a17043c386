//! The operator front: applies, questions, metrics and health.

use super::Front;
use crate::api::{
    ApplyRequest, HallStatus, HistoryLine, InstanceLine, LoadLine, Refused, ShiftLine, Status, TargetLine, Targets,
    WithheldLine,
};
use crate::body::AnswerBody;
use crate::config::{Applied, ApplyError, Document, Offer, Origin, apply, fetch_revision};
use crate::decision::account::{Account, AccountLine, Kind, parse_decision, wall_ms};
use crate::decision::{Summaries, Trial, choose, excluded};
use crate::declaration::Declaration;
use crate::instance::Instance;
use crate::job::{Asker, set_label};
use crate::lookup::Question;
use crate::membership::{Membership, Remove};
use crate::peer::Peers;
use crate::policy::Action;
use crate::view::View;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use xtra::Address;

/// Largest body of an apply, in bytes.
const MAX_APPLY: usize = 1 << 20;
/// Longest time to receive it.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Revisions that `GET /history` shows.
const HISTORY: u64 = 20;

/// Serves operators.
pub struct OperatorFront {
    instance: Arc<Instance>,
    peers: Peers,
    membership: Address<Membership>,
}

type Answer = Result<Response<AnswerBody>, (StatusCode, String)>;

impl OperatorFront {
    /// A front of this instance.
    pub fn new(instance: Arc<Instance>, peers: Peers, membership: Address<Membership>) -> Self {
        Self { instance, peers, membership }
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let query = Query::new(request.uri().query().unwrap_or(""));
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/healthz") => Ok(text("ok\n")),
            (Method::GET, "/readyz") => self.ready(),
            (Method::GET, "/metrics") => Ok(text(self.instance.metrics.text())),
            (Method::GET, "/status") => json(&self.status()),
            (Method::GET, "/instances") => json(&self.instances()),
            (Method::GET, "/targets") => json(&self.targets()?),
            (Method::GET, "/shifts") => json(&self.shifts()?),
            (Method::GET, "/config") => json(&self.config(query.number("revision")?).await?),
            (Method::GET, "/history") => json(&self.history().await?),
            (Method::GET, "/explain") => json(&self.explain(query.get("decision").unwrap_or("")).await?),
            (Method::GET, "/why") => json(&self.why(request.uri().query().unwrap_or(""))?),
            (Method::POST, "/apply") => json(&self.apply(request.into_body()).await?),
            (Method::POST, "/remove") => json(&self.remove(query.get("name").unwrap_or("")).await?),
            _ => Err((StatusCode::NOT_FOUND, format!("{path} is not served here; remedy: see docs/OPERATING.md"))),
        }
    }

    fn view(&self) -> Result<Arc<View>, (StatusCode, String)> {
        let view = self.instance.view.load_full();
        view.ok_or((StatusCode::SERVICE_UNAVAILABLE, "no configuration yet; remedy: apply a declaration".into()))
    }

    fn ready(&self) -> Answer {
        let ready = self.instance.view.load().is_some() && self.instance.expects_quota() && !self.instance.is_leaving();
        if ready {
            return Ok(text("ready\n"));
        }
        Err((
            StatusCode::SERVICE_UNAVAILABLE,
            "not ready: no configuration, no share and no sibling, or leaving".into(),
        ))
    }

    fn status(&self) -> Status {
        let instance = &self.instance;
        let (member, epoch, settled, withheld) = {
            let ledger = instance.ledger.lock().expect("no holder panics");
            (ledger.is_member(), ledger.record().epoch(), ledger.settled(), ledger.record().now.withheld.clone())
        };
        let mut halls: Vec<HallStatus> = instance.roster.all().iter().map(hall_status).collect();
        halls.sort_by(|a, b| a.hall.cmp(&b.hall));
        let line = |w: crate::membership::Withheld| WithheldLine {
            name: w.id.name,
            incarnation: format!("{:x}", w.id.incarnation),
        };
        Status {
            instance: instance.id.to_string(),
            hall: instance.settings.hall.clone(),
            revision: instance.config.revision(),
            revision_age_ms: instance.config.age().as_millis() as u64,
            leaving: instance.is_leaving(),
            member,
            leased: instance.is_leased(),
            epoch,
            settled,
            withheld: withheld.into_iter().map(line).collect(),
            contracts: instance.contracts.counts(),
            halls,
        }
    }

    fn instances(&self) -> Vec<InstanceLine> {
        let mut lines = Vec::new();
        for news in self.instance.roster.all() {
            for entry in news.members.iter() {
                lines.push(InstanceLine {
                    name: entry.member.id.name.clone(),
                    incarnation: format!("{:x}", entry.member.id.incarnation),
                    hall: news.hall.clone(),
                    address: entry.member.addresses.caller,
                    uptime_ms: entry.uptime(),
                });
            }
        }
        lines.sort_by(|a, b| (&a.hall, &a.name).cmp(&(&b.hall, &b.name)));
        lines
    }

    fn targets(&self) -> Result<Targets, (StatusCode, String)> {
        let view = self.view()?;
        let mut targets = Vec::new();
        let mut loads = Vec::new();
        for (service, route) in view.routes.iter() {
            let nobody = Asker { view: &view, caller: IpAddr::V4(Ipv4Addr::UNSPECIFIED) };
            let gone = excluded(&view, &nobody.bare(service));
            let first = view.home.and_then(|h| route.hall(h)).map_or(usize::MAX, |p| p.first);
            for (position, key) in route.targets.iter().enumerate() {
                let own = position.checked_sub(first).and_then(|i| route.own.get(i));
                targets.push(self.target_line(&view, *key, own, gone.contains(position)));
            }
            for place in &route.halls {
                loads.push(LoadLine {
                    service: view.world.services[service].name.clone(),
                    hall: view.world.halls[place.hall].name.clone(),
                    facts: place.load.facts(),
                });
            }
        }
        Ok(Targets { targets, loads })
    }

    fn target_line(
        &self,
        view: &View,
        key: crate::key::TargetKey,
        own: Option<&Arc<crate::load::TargetState>>,
        gone: bool,
    ) -> TargetLine {
        let target = &view.world.targets[key];
        let state = match own {
            _ if gone => "drained".to_owned(),
            None => "elsewhere".to_owned(),
            Some(state) => state.unusable().map_or("live".to_owned(), |u| format!("{u:?}").to_lowercase()),
        };
        let leased = self.instance.is_leased();
        TargetLine {
            target: target.name.clone(),
            service: view.world.services[target.service].name.clone(),
            hall: view.world.halls[target.hall].name.clone(),
            slots: target.slots,
            quota: own.map(|s| s.limit(leased)),
            flight: own.map(|s| s.flight()),
            latency_us: own.map(|s| s.latency.micros()),
            report_age_ms: own.and_then(|s| s.report_age()),
            state,
        }
    }

    fn shifts(&self) -> Result<Vec<ShiftLine>, (StatusCode, String)> {
        let view = self.view()?;
        let mut lines = Vec::new();
        for (key, policy) in view.world.policies.iter() {
            if let Action::Weight(weight) = policy.action {
                lines.push(ShiftLine {
                    policy: policy.name.clone(),
                    share: weight.share,
                    fraction: view.fractions[key].get(),
                    cap: policy.cap,
                });
            }
        }
        Ok(lines)
    }

    /// The document of a revision; of the one in force where none is named.
    async fn config(&self, revision: Option<u64>) -> Result<(u64, Document), (StatusCode, String)> {
        let held = self.instance.config.above(0);
        let (revision, value) = match revision {
            Some(wanted) if held.as_ref().is_none_or(|(r, _)| *r != wanted) => {
                let entry = fetch_revision(&self.instance.platform, wanted).await.map_err(unavailable)?;
                let missing =
                    || (StatusCode::NOT_FOUND, format!("no revision {wanted}; remedy: see `lockloft history`"));
                (wanted, entry.ok_or_else(missing)?.value)
            }
            _ => held.ok_or((StatusCode::NOT_FOUND, "no configuration yet; remedy: apply a declaration".into()))?,
        };
        let document = serde_json::from_slice(&value).map_err(unavailable)?;
        Ok((revision, document))
    }

    async fn history(&self) -> Result<Vec<HistoryLine>, (StatusCode, String)> {
        let newest = self.instance.config.revision();
        let mut lines = Vec::new();
        for revision in (newest.saturating_sub(HISTORY - 1).max(1)..=newest).rev() {
            let (revision, document) = self.config(Some(revision)).await?;
            lines.push(HistoryLine { revision, id: document.id, by: document.by, at_ms: document.at_ms });
        }
        Ok(lines)
    }

    /// The account of a decision, from the instance that made it.
    async fn explain(&self, decision: &str) -> Result<AccountLine, (StatusCode, String)> {
        let malformed = || {
            (
                StatusCode::BAD_REQUEST,
                format!("{decision:?} is no decision id; remedy: copy it from a lockloft-decision header"),
            )
        };
        let (id, _) = parse_decision(decision).ok_or_else(malformed)?;
        if let Some(line) = self.instance.own_account(decision) {
            return Ok(line);
        }
        // An instance that has just started may be on the platform's list
        // before any summary names it.
        let known = self.instance.roster.find(&id.name).map(|e| e.member.addresses.peer);
        let address = known.or(self.instance.listed.peer(&id.name)).filter(|_| id != self.instance.id);
        let line = match address {
            Some(address) => self.peers.explain(address, decision).await,
            None => None,
        };
        let gone = || {
            let text = format!(
                "{id} is gone or holds no account of it; remedy: lockloft explain {decision} --log FILE with collected logs"
            );
            (StatusCode::NOT_FOUND, text)
        };
        line.ok_or_else(gone)
    }

    /// A dry decision for a described request: nothing is spent or sent.
    fn why(&self, query: &str) -> Result<AccountLine, (StatusCode, String)> {
        let bad = |e: crate::failure::Failure| (StatusCode::BAD_REQUEST, e.to_string());
        let question = Question::try_from(query).map_err(bad)?;
        let view = self.view()?;
        let unknown = || {
            (StatusCode::NOT_FOUND, format!("no service is named {:?}; remedy: see `lockloft show`", question.service))
        };
        let service = view.world.service(&question.service).ok_or_else(unknown)?;
        let caller = question.caller.unwrap_or(IpAddr::V4(Ipv4Addr::LOCALHOST));
        let mut ask = Asker { view: &view, caller }.bare(service);
        for (name, value) in &question.labels {
            set_label(&view, &mut ask, name, value);
        }
        let mut dry = Trial { earned: true, paid: true, ..Trial::default() };
        let result = choose(&view, &ask, &mut dry, &Summaries);
        let account = dry_account(view, &ask, caller, result);
        Ok(account.line(&self.instance.id))
    }

    async fn apply(&self, body: Incoming) -> Result<Applied, (StatusCode, String)> {
        let read = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, MAX_APPLY).collect()).await;
        let Ok(Ok(body)) = read else {
            let text = "the declaration did not arrive whole, or exceeds 1 MB; remedy: split it, or send it again";
            return Err((StatusCode::PAYLOAD_TOO_LARGE, text.into()));
        };
        let request: ApplyRequest = serde_json::from_slice(&body.to_bytes())
            .map_err(|e| (StatusCode::BAD_REQUEST, format!("unreadable apply: {e}")))?;
        let world =
            Declaration::try_from(&request.sources).map_err(|e| (StatusCode::UNPROCESSABLE_ENTITY, e.to_string()))?;
        let expect = request.expect.unwrap_or(self.instance.config.revision());
        let mut document = Document {
            id: request.id,
            by: request.by,
            at_ms: wall_ms(),
            sources: request.sources,
            begun: std::collections::BTreeMap::new(),
        };
        let before = self.config(None).await.ok().filter(|(r, _)| *r == expect).map(|(_, d)| d);
        document.carry_shifts(&world, before.as_ref(), expect + 1);
        let applied = apply(&self.instance.platform, &document, expect).await.map_err(apply_refused)?;
        let value = serde_json::to_vec(&document).expect("a document is plain data");
        self.instance
            .offer(Offer { origin: Origin::Operator, revision: applied.revision, value: Bytes::from(value) })
            .await;
        Ok(applied)
    }

    async fn remove(&self, name: &str) -> Result<String, (StatusCode, String)> {
        let removed = self.membership.send(Remove { name: name.to_owned() }).await;
        match removed {
            Ok(Ok(id)) => {
                tracing::warn!(%id, "the reserve of a silent instance was released by an operator");
                Ok(id.to_string())
            }
            Ok(Err(error)) => Err((StatusCode::CONFLICT, error.to_string())),
            Err(_) => Err((StatusCode::SERVICE_UNAVAILABLE, "the instance is stopping; remedy: ask another".into())),
        }
    }
}

fn hall_status(news: &crate::roster::HallNews) -> HallStatus {
    HallStatus { hall: news.hall.clone(), revision: news.revision, age_ms: news.age(), members: news.members.len() }
}

fn dry_account(
    view: Arc<View>,
    ask: &crate::decision::Ask,
    caller: IpAddr,
    result: Result<crate::decision::Choice, crate::decision::NoPlace>,
) -> Account {
    let (choice, none) = match result {
        Ok(choice) => (Some(choice), None),
        Err(none) => (None, Some(none)),
    };
    let acted = choice.as_ref().map(|c| c.acted).or(none.as_ref().map(|n| n.acted)).unwrap_or_default();
    let alternatives = choice.as_ref().map(|c| c.alternatives.clone()).or(none.map(|n| n.alternatives));
    Account {
        seq: 0,
        kind: Kind::Lookup,
        view,
        at_ms: wall_ms(),
        service: ask.service,
        caller,
        labels: ask.labels.clone(),
        natural: choice.as_ref().map(|c| c.natural),
        hall: choice.as_ref().map(|c| c.hall),
        target: None,
        weight: choice.as_ref().and_then(|c| c.weight),
        acted,
        alternatives: alternatives.unwrap_or_default(),
        linked: None,
        result: "dry".to_owned(),
        tries: 0,
        took_us: 0,
    }
}

fn unavailable(error: impl std::fmt::Display) -> (StatusCode, String) {
    (StatusCode::SERVICE_UNAVAILABLE, error.to_string())
}

fn apply_refused(error: ApplyError) -> (StatusCode, String) {
    let status = match error {
        ApplyError::Conflict { .. } => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, error.to_string())
}

struct Query(HashMap<String, String>);

impl Query {
    fn new(text: &str) -> Self {
        Self(url::form_urlencoded::parse(text.as_bytes()).into_owned().collect())
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    fn number(&self, name: &str) -> Result<Option<u64>, (StatusCode, String)> {
        let bad = |_| (StatusCode::BAD_REQUEST, format!("{name} is not a number"));
        self.get(name).map(|t| t.parse().map_err(bad)).transpose()
    }
}

fn text(text: impl Into<Bytes>) -> Response<AnswerBody> {
    Response::new(AnswerBody::Own(Full::new(text.into())))
}

fn json<T: Serialize>(value: &T) -> Answer {
    let bytes = serde_json::to_vec(value).map_err(unavailable)?;
    let mut response = text(bytes);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

impl Front for OperatorFront {
    async fn serve(&self, request: Request<Incoming>, _from: SocketAddr) -> Response<AnswerBody> {
        match self.answer(request).await {
            Ok(response) => response,
            Err((status, message)) => {
                let mut response = json(&Refused { message }).unwrap_or_else(|_| text(""));
                *response.status_mut() = status;
                response
            }
        }
    }

    fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    fn is_bounded(&self) -> bool {
        false
    }
}
