#include "requests/retryrule.h"

namespace oriolerill::requests {

bool mayRetry(const RetryConditions &conditions)
{
    if (conditions.outcome == protocol::OUTCOME_ANSWERED)
        return false;
    if (conditions.hasSentData)
        return conditions.isResumable;
    if (conditions.outcome == protocol::OUTCOME_NOT_RUN || conditions.isIdempotent)
        return true;
    // A repeat joins the running order or receives its recorded answer, unless the ledger reported
    // that the outcome is unknown.
    return conditions.isOrder && !conditions.isFinal;
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
