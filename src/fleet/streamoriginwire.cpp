#include "streamoriginwire.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace RadishSwitch
{

namespace
{

using std::chrono::milliseconds;

/// Bounds what a peer may claim, so that no sum with it overflows.
constexpr std::uint64_t kLongestMilliseconds = 1'000ULL * 3'600 * 24 * 365;

Duration toDuration(std::uint64_t count)
{
    return milliseconds(std::min(count, kLongestMilliseconds));
}

}

wire::StreamOriginRecord toWire(const StreamOriginRecord &record)
{
    wire::StreamOriginRecord message;
    message.set_call(record.call.value());
    message.set_organisation(record.origin.organisation.value());
    message.set_pool(record.origin.pool.value());
    message.set_software_version(record.origin.version.value());
    return message;
}

StreamOriginRecord fromWire(const wire::StreamOriginRecord &record)
{
    return {RequestId(record.call()),
            StreamOrigin{OrganisationId(record.organisation()), PoolId(record.pool()),
                         SoftwareVersion(record.software_version())}};
}

wire::StreamOriginQuestion toWire(const StreamOriginQuery &query)
{
    wire::StreamOriginQuestion question;
    question.set_call(query.call.value());
    question.set_organisation(query.organisation.value());
    for (const PoolId &pool : query.pools) {
        question.add_pools(pool.value());
    }
    return question;
}

StreamOriginQuery fromWire(const wire::StreamOriginQuestion &question)
{
    StreamOriginQuery query;
    query.call = RequestId(question.call());
    query.organisation = OrganisationId(question.organisation());
    for (const std::string &pool : question.pools()) {
        query.pools.emplace_back(pool);
    }
    return query;
}

wire::StreamOriginAnswer toWire(const StreamOriginAnswer &answer)
{
    wire::StreamOriginAnswer message;
    if (answer.origin) {
        *message.mutable_origin() = toWire(StreamOriginRecord{RequestId(), *answer.origin});
    }
    message.set_has_several_versions(answer.hasSeveralVersions);
    message.set_has_unnamed_record(answer.hasUnnamedRecord);
    message.set_kept_for_ms(static_cast<std::uint64_t>(std::chrono::floor<milliseconds>(answer.keptFor).count()));
    if (answer.soleVersionAge) {
        const auto age = std::chrono::ceil<milliseconds>(*answer.soleVersionAge);
        message.set_sole_version_age_ms(static_cast<std::uint64_t>(age.count()));
    }
    return message;
}

StreamOriginAnswer fromWire(const wire::StreamOriginAnswer &answer)
{
    StreamOriginAnswer result;
    if (answer.has_origin()) {
        result.origin = fromWire(answer.origin()).origin;
    }
    result.hasSeveralVersions = answer.has_several_versions();
    result.hasUnnamedRecord = answer.has_unnamed_record();
    result.keptFor = toDuration(answer.kept_for_ms());
    if (answer.has_sole_version_age_ms()) {
        result.soleVersionAge = toDuration(answer.sole_version_age_ms());
    }
    return result;
}

}
