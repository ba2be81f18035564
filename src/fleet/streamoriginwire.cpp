#include "streamoriginwire.h"

namespace RadishSwitch
{

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
    return message;
}

StreamOriginAnswer fromWire(const wire::StreamOriginAnswer &answer)
{
    StreamOriginAnswer result;
    if (answer.has_origin()) {
        result.origin = fromWire(answer.origin()).origin;
    }
    result.hasSeveralVersions = answer.has_several_versions();
    return result;
}

}
