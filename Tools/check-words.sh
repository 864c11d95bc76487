#!/usr/bin/env bash
# The platform's own names stand in platform/ and nowhere else in the sources.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
words='Attempt-Id|(^|[^-])Deadline-Ms|Token-Counts|Prompt-Prefix|Server-Seal|Server-Load|Server-Limit|Server-Leaving|Not-Executed'
words+='|Expect-Instance|Request-Urgency|Length-Hint|Instance-Id|Cold-Ms|Kv-[A-Z]|Pin-Ms'
words+='|/api/|kv-list|kv-watch|kv-range|latencySloMs|gapTargetMs|homeRegions|morePages|storeRevision'
words+='|coldLeftMs|remainingMs|portRange|tenant|retrySlack\"|Api-Key|apiKeys|ratePerS\b|billingUnit|plainTokens|strictRevoke|revokeMs|quota(WindowS|Slack|Overshoot)'
found=$(git ls-files Source | xargs grep -nE "$words" || true)
[ -z "$found" ] && exit 0
echo "names of the platform outside platform/:"
echo "$found"
exit 1
