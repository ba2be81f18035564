#pragma once

#include "endpoint.h"
#include "httpclient.h"

#include <string>

namespace RadishSwitch
{

/// An endpoint that speaks HTTP/1.1.
class HttpEndpoint : public Endpoint
{
public:
    /// `address` is "address:port".
    HttpEndpoint(WorkerPool &workers, HttpClient &client, std::string address);

    std::shared_ptr<EndpointCall> call(EndpointRequest request, EndpointCallbacks callbacks) override;

    void fetch(EndpointQuery query, Duration timeout,
               std::function<void(absl::StatusOr<EndpointDocument>)> callback) override;

private:
    WorkerPool &m_workers;
    HttpClient &m_client;
    std::string m_address;
};

}
