//! Reports of instances to the head of their hall, and of heads to those of other halls.

use super::{Fleet, WINDOW};
use lockloft::decision::quota::heads::heads;
use lockloft::decision::quota::history::UncountedUsage;
use lockloft::decision::quota::totals::{InstanceIdentity, QuotaContext};
use lockloft::decision::quota::{FORWARD_INTERVAL, MIN_REPORT_INTERVAL, REPORT_INTERVAL};
use lockloft::model::usage::UsageReport;

/// A report of usage that another head has counted.
fn history_report(name: &str, hall: &str, usage: UncountedUsage) -> UsageReport {
    UsageReport {
        from: name.to_owned(),
        hall: hall.to_owned(),
        is_forwarded: true,
        period_ms: usage.period.as_millis() as u32,
        tenants: usage.tenants,
        ..Default::default()
    }
}

impl Fleet {
    fn head_of(&self, number: usize, hall: &str) -> Option<usize> {
        let instance = &self.instances[number];
        let may_report_to = |peer| instance.skipped_until.get(&peer).is_none_or(|until| *until <= self.now);
        let heads = heads(&self.members, may_report_to);
        let peer = heads.get(hall)?.peer;
        self.instances.iter().position(|other| other.peer == peer)
    }

    pub(super) fn report(&mut self, number: usize) {
        let instance = &self.instances[number];
        if !instance.is_up || instance.awaits_answer || instance.next_report > self.now {
            return;
        }
        let hall = instance.hall.clone();
        let Some(head) = self.head_of(number, &hall) else { return };
        let now = self.instant();
        let instance = &mut self.instances[number];
        instance.awaits_answer = true;
        instance.last_report = Some(self.now);
        let peer = self.instances[head].peer;
        let instance = &mut self.instances[number];
        if let Some(usage) = instance.history.uncounted_by(peer, WINDOW, now) {
            let report = history_report(&instance.name, &instance.hall, usage);
            return self.send(number, head, report);
        }
        instance.next_report = self.now + REPORT_INTERVAL.as_millis() as u64;
        let period_ms = instance.local_usage.unreported_for(now).as_millis() as u32;
        let tenants = instance.local_usage.begin_report(now);
        let report = UsageReport {
            from: instance.name.clone(),
            hall,
            is_forwarded: false,
            period_ms,
            tenants,
            ..Default::default()
        };
        self.send(number, head, report);
    }

    pub(super) fn forward(&mut self, number: usize) {
        let now = self.instant();
        let instance = &mut self.instances[number];
        let context = QuotaContext {
            tenants: &self.tenants,
            members: &self.members,
            window: WINDOW,
            slack: self.slack,
            own: InstanceIdentity { name: &instance.name, hall: &instance.hall },
        };
        if instance.totals.is_forward_urgent(context) {
            let gap = MIN_REPORT_INTERVAL.as_millis() as u64;
            let earliest = (instance.next_forward + gap).saturating_sub(FORWARD_INTERVAL.as_millis() as u64);
            instance.next_forward = instance.next_forward.min(earliest.max(self.now));
        }
        if !instance.is_up || instance.next_forward > self.now || !instance.totals.is_head(now) {
            return;
        }
        instance.next_forward = self.now + FORWARD_INTERVAL.as_millis() as u64;
        let own = instance.hall.clone();
        let mut halls: Vec<String> = self.members.iter().map(|(_, member)| member.hall.clone()).collect();
        halls.sort_unstable();
        halls.dedup();
        for hall in halls.into_iter().filter(|hall| *hall != own) {
            if self.instances[number].forwarding.contains(&hall) {
                continue;
            }
            let Some(head) = self.head_of(number, &hall) else { continue };
            let peer = self.instances[head].peer;
            let instance = &mut self.instances[number];
            instance.forwarding.push(hall.clone());
            let history = instance.forward_history.entry(hall.clone()).or_default();
            if let Some(usage) = history.uncounted_by(peer, WINDOW, now) {
                let report = history_report(&instance.name, &instance.hall, usage);
                self.send(number, head, report);
                continue;
            }
            let (tenants, period) = instance.totals.begin_forward(&hall, now);
            let period_ms = period.as_millis() as u32;
            let report = UsageReport {
                from: instance.name.clone(),
                hall: own.clone(),
                is_forwarded: true,
                period_ms,
                tenants,
                ..Default::default()
            };
            self.send(number, head, report);
        }
    }
}
