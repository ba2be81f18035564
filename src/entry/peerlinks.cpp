#include "peerlinks.h"

#include "unarycall.h"
#include "wire.h"
#include "wireconversion.h"

#include <set>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kPullTimeout = std::chrono::milliseconds(600);

std::string heartbeatFrame(const EntryMember &member)
{
    wire::EntryHeartbeat message;
    message.set_incarnation(member.incarnation.value());
    message.set_address(member.address);
    message.set_zone(member.zone);
    message.set_region(member.region);
    message.set_state(member.isLeaving ? wire::PROCESS_LEAVING : wire::PROCESS_READY);
    message.set_table_revision(member.tableRevision);
    message.set_sequence(member.sequence);
    return message.SerializeAsString();
}

EntryMember memberFromWire(const wire::EntryHeartbeat &message)
{
    EntryMember member;
    member.incarnation = IncarnationId(message.incarnation());
    member.address = message.address();
    member.zone = message.zone();
    member.region = message.region();
    member.isLeaving = message.state() == wire::PROCESS_LEAVING;
    member.tableRevision = message.table_revision();
    member.sequence = message.sequence();
    return member;
}

}

// A stream to one peer that carries heartbeats; opened anew at the next beat after it has closed.
class PeerLinks::Link : public std::enable_shared_from_this<Link>
{
public:
    explicit Link(std::shared_ptr<MessageClient> client)
        : m_client(std::move(client))
    {
    }

    void send(std::string frame)
    {
        MessageStreamPointer fresh;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_stream) {
                m_stream->send(std::move(frame));
                return;
            }
            fresh = m_client->open("/peer", std::move(frame));
            m_stream = fresh;
        }
        fresh->start([](std::string) {},
                     [self = shared_from_this()](absl::Status) {
                         const std::lock_guard<std::mutex> lock(self->m_mutex);
                         self->m_stream.reset();
                     });
    }

    void close()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stream) {
            m_stream->cancel();
        }
    }

private:
    std::shared_ptr<MessageClient> m_client;
    std::mutex m_mutex;
    MessageStreamPointer m_stream;
};

PeerLinks::PeerLinks(MessageClients &clients, TimerService &timers, FleetMembership &membership, Monitor &monitor,
                     EntryMember self)
    : m_clients(clients)
    , m_timers(timers)
    , m_membership(membership)
    , m_monitor(monitor)
    , m_self(std::move(self))
{
}

PeerLinks::~PeerLinks()
{
    m_timers.cancel(m_timer);
    for (const auto &[address, link] : m_links) {
        link->close();
    }
}

void PeerLinks::serve(Http2MessageServer &server, TableFollower &follower)
{
    m_follower = &follower;
    server.handle("/peer", [this](MessageStreamPointer stream) {
        const auto onHeartbeat = [this, weak = std::weak_ptr(stream)](std::string frame) {
            const absl::StatusOr<wire::EntryHeartbeat> message = parseFrame<wire::EntryHeartbeat>(frame);
            if (message.ok()) {
                applyHeartbeat(memberFromWire(*message));
            } else if (const auto stream = weak.lock()) {
                stream->cancel();
            }
        };
        stream->start(onHeartbeat, [stream](absl::Status) {});
    });
    server.handle("/table", [this](MessageStreamPointer stream) {
        const auto onRequest = [this, weak = std::weak_ptr(stream)](std::string frame) {
            const absl::StatusOr<wire::TableRequest> request = parseFrame<wire::TableRequest>(frame);
            const auto stream = weak.lock();
            if (!stream || !request.ok()) {
                return;
            }
            wire::TableAnswer answer;
            answer.set_document(m_follower->documentSince(request->revision()));
            stream->send(answer.SerializeAsString());
            stream->finish();
        };
        stream->start(onRequest, [stream](absl::Status) {});
    });
}

void PeerLinks::start()
{
    m_timer = m_timers.every(kHeartbeatInterval, [this] {
        beat();
    });
}

void PeerLinks::setListed(const std::vector<PlatformInstance> &instances)
{
    std::map<std::string, bool> listed;
    for (const PlatformInstance &instance : instances) {
        if (instance.role == InstanceRole::Entry) {
            listed[instance.address] = instance.isLeaving;
        }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_monitor.run([&] {
        for (const auto &[address, isLeaving] : m_listed) {
            if (!listed.contains(address)) {
                m_membership.applyUnlisted(address, m_timers.now());
            }
        }
        for (const auto &[address, isLeaving] : listed) {
            m_membership.applyListed(address, isLeaving, m_timers.now());
        }
    });
    m_listed = std::move(listed);
}

void PeerLinks::setLeaving()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_self.isLeaving = true;
    }
    beat();
}

void PeerLinks::pullTable(const std::string &peer, std::uint64_t fromRevision,
                          std::function<void(absl::StatusOr<std::string>)> callback)
{
    wire::TableRequest request;
    request.set_revision(fromRevision);
    const auto onAnswer = [callback = std::move(callback)](absl::StatusOr<std::string> frame) {
        if (!frame.ok()) {
            return callback(frame.status());
        }
        const absl::StatusOr<wire::TableAnswer> answer = parseFrame<wire::TableAnswer>(*frame);
        callback(answer.ok() ? absl::StatusOr<std::string>(answer->document()) : answer.status());
    };
    unaryCall(*m_clients.client(peer), m_timers, "/table", request.SerializeAsString(), kPullTimeout, onAnswer);
}

// Peers are those listed and those heard from: the list lags, and misses entries that live.
void PeerLinks::beat()
{
    std::set<std::string> addresses;
    const std::vector<EntryMember> live = m_monitor.run([this] {
        m_membership.updateLiveness(m_timers.now());
        return m_membership.liveEntries(std::string());
    });
    for (const EntryMember &member : live) {
        addresses.insert(member.address);
    }
    std::string frame;
    std::vector<std::shared_ptr<Link>> links;
    EntryMember self;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_self.sequence += 1;
        m_self.tableRevision = m_follower == nullptr ? 0 : m_follower->current()->revision();
        self = m_self;
        for (const auto &[address, isLeaving] : m_listed) {
            addresses.insert(address);
        }
        addresses.erase(m_self.address);
        for (const std::string &address : addresses) {
            auto &link = m_links[address];
            if (!link) {
                link = std::make_shared<Link>(m_clients.client(address));
            }
            links.push_back(link);
        }
        std::erase_if(m_links, [&addresses](const auto &entry) {
            if (addresses.contains(entry.first)) {
                return false;
            }
            entry.second->close();
            return true;
        });
    }
    applyHeartbeat(self);
    for (const auto &link : links) {
        link->send(heartbeatFrame(self));
    }
}

void PeerLinks::applyHeartbeat(const EntryMember &member)
{
    m_monitor.run([&] {
        m_membership.applyHeartbeat(member, m_timers.now());
    });
    if (m_follower != nullptr && member.incarnation != m_self.incarnation) {
        m_follower->peerHasRevision(member.tableRevision, member.address);
    }
}

}
