#pragma once

#include "truthrecords.h"

#include <map>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Everything that is known of one request: what its callers saw and what the endpoints did.
struct RequestHistory {
    std::vector<const TryRecord *> tries;
    std::vector<const WorkRecord *> work;

    const TryRecord &first() const;

    /// The last try of the request's first chain; a duplicate sent beside it is another chain.
    const TryRecord &last() const;

    bool isAnswered() const;

    /// The usage that a whole answer told; zero without one.
    std::int64_t toldTokens() const;

    /// What the endpoints spent on it: each prompt that was begun with, and each token made. Reading the prompt again
    /// to go on with a broken answer is not the organisation's spending, and not counted.
    std::int64_t spentTokens() const;
};

/// The histories of all requests of a load, by the caller's id.
class RequestHistories
{
public:
    /// `records` must outlive the histories.
    explicit RequestHistories(const TruthRecords &records);

    const std::map<std::string, RequestHistory> &requests() const;

    /// Work at endpoints that no request of the load asked for.
    std::int64_t strayWork() const;

private:
    std::map<std::string, RequestHistory> m_requests;
    std::int64_t m_strayWork = 0;
};

}
