#pragma once

#include "endpoint.h"

#include <deque>
#include <map>
#include <utility>
#include <vector>

/// An endpoint that answers when the test says so.
class FakeEndpoint : public RadishSwitch::Endpoint
{
public:
    struct Call : RadishSwitch::EndpointCall {
        void cancel() override
        {
            isCancelled = true;
        }

        RadishSwitch::EndpointRequest request;
        RadishSwitch::EndpointCallbacks callbacks;
        bool isCancelled = false;
    };
    using FetchCallback = std::function<void(absl::StatusOr<RadishSwitch::EndpointDocument>)>;

    std::shared_ptr<RadishSwitch::EndpointCall> call(RadishSwitch::EndpointRequest request,
                                                     RadishSwitch::EndpointCallbacks callbacks) override
    {
        const auto call = std::make_shared<Call>();
        call->request = std::move(request);
        call->callbacks = std::move(callbacks);
        calls.push_back(call);
        return call;
    }

    void fetch(RadishSwitch::EndpointQuery query, RadishSwitch::Duration, FetchCallback callback) override
    {
        queries.push_back(std::move(query));
        m_fetches.push_back(std::move(callback));
    }

    void answerFetch(absl::StatusOr<RadishSwitch::EndpointDocument> answer)
    {
        const FetchCallback callback = std::move(m_fetches.front());
        m_fetches.pop_front();
        callback(std::move(answer));
    }

    std::vector<std::shared_ptr<Call>> calls;
    std::vector<RadishSwitch::EndpointQuery> queries;

private:
    std::deque<FetchCallback> m_fetches;
};
