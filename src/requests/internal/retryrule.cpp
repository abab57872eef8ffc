#include "requests/retryrule.h"

namespace oriolerill::requests {

bool mayRetry(const RetryConditions &facts)
{
    if (facts.outcome == protocol::OUTCOME_ANSWERED)
        return false;
    if (facts.hasSentData)
        return facts.isResumable;
    if (facts.outcome == protocol::OUTCOME_NOT_RUN || facts.isIdempotent)
        return true;
    // A repeat joins the running order or receives its recorded answer, unless the ledger reported
    // that the outcome is unknown.
    return facts.isOrder && !facts.isFinal;
}

protocol::Outcome combineOutcomes(protocol::Outcome earlier, protocol::Outcome last)
{
    if (last == protocol::OUTCOME_ANSWERED)
        return last;
    const bool isNotRun = last == protocol::OUTCOME_NOT_RUN
            && (earlier == protocol::OUTCOME_NOT_RUN || earlier == protocol::OUTCOME_UNSPECIFIED);
    return isNotRun ? protocol::OUTCOME_NOT_RUN : protocol::OUTCOME_UNKNOWN;
}

} // namespace oriolerill::requests
