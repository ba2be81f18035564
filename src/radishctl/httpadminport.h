#pragma once

#include "adminport.h"
#include "httpclient.h"
#include "workerpool.h"

namespace RadishSwitch
{

/// Admin ports over HTTP/1.1.
class HttpAdminPort : public AdminPort
{
public:
    explicit HttpAdminPort(WorkerPool &workers);

    void ask(const std::string &address, const std::string &method, const std::string &target,
             std::function<void(absl::StatusOr<AdminAnswer>)> callback) override;

private:
    WorkerPool &m_workers;
    HttpClient m_client;
};

}
