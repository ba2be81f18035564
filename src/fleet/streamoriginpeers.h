#pragma once

#include "http2transport.h"
#include "serving/homedirectory.h"
#include "serving/streamoriginport.h"

#include <map>
#include <memory>

namespace RadishSwitch
{

/// Keeps origins of streams at homes and other gateways. Uses one stream to each of them, opened when first needed.
class StreamOriginPeers : public StreamOriginPort
{
public:
    StreamOriginPeers(MessageClients &clients, HomeDirectory &holders, TimerService &timers);
    ~StreamOriginPeers() override;

    void tell(const std::string &peer, const std::vector<StreamOriginRecord> &records) override;
    void keep(const std::string &peer, const StreamOriginRecord &record, Duration timeout,
              KeptCallback callback) override;
    void ask(const std::string &peer, const StreamOriginQuery &query, Duration timeout, Callback callback) override;

private:
    struct Pending {
        Callback callback;
        TimerId timer = 0;
    };

    struct Link {
        MessageStreamPointer stream;
        /// By the number of the message that is to be answered.
        std::map<std::uint64_t, Pending> pending;
    };

    void sendNumbered(const std::string &peer, std::uint64_t number, std::string frame, Duration timeout,
                      Callback callback);
    bool send(const std::string &peer, std::string frame);
    void handleAnswer(const std::string &peer, const std::string &frame);
    void handleClosed(const std::string &peer, const MessageStream *stream, const absl::Status &status);
    void finish(const std::string &peer, std::uint64_t number, const absl::StatusOr<StreamOriginAnswer> &answer);

    MessageClients &m_clients;
    HomeDirectory &m_holders;
    TimerService &m_timers;
    std::map<std::string, Link> m_links;
    std::uint64_t m_lastNumber = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
