//! `lockloft quota`: the tenants' quotas and what an instance lets through of each.

use super::client::Client;
use super::error::CommandError;
use super::output::Output;
use crate::operator::api::QuotaLine;

/// Lists the quotas of all tenants, or that of one.
///
/// # Errors
/// [`CommandError`]; one without a quota is refused.
pub async fn run(client: &Client, tenant: Option<&str>) -> Result<Output, CommandError> {
    let mut lines: Vec<QuotaLine> = client.get("/quotas").await?;
    if let Some(tenant) = tenant {
        lines.retain(|line| line.tenant == tenant);
        if lines.is_empty() {
            let problem = "has no quota in the configuration in force; remedy: lockloft quota lists those that have";
            return Err(CommandError::Refused(format!("{tenant} {problem}")));
        }
    }
    let text: String = lines.iter().map(line).collect();
    Output::new(&lines, text)
}

fn line(line: &QuotaLine) -> String {
    let QuotaLine { tenant, rate, burst, window_s, pass, part, answer_age_ms, head } = line;
    let told = match answer_age_ms {
        Some(age) => format!("answered {age} ms ago, else {part:.2}/s"),
        None => format!("no request so far, else {part:.2}/s"),
    };
    let known = head.as_ref().map_or_else(String::new, |head| {
        format!("; head: {:.0} in the window, {:.1}/s arrive", head.used, head.demand)
    });
    let share = pass * 100.0;
    format!("{tenant:<20} {rate}/s and {burst} in {window_s} s: {share:.0} in 100 pass ({told}){known}\n")
}
